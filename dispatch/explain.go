package dispatch

import (
	"time"

	"gypsumbank/fleet"
	"gypsumbank/origin"
	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/route"
	"gypsumbank/waitlist"
)

// Prospect is what is expected of a request that would come now.
type Prospect struct {
	Fleet           fleet.Explanation
	SoftwareVersion *registry.SoftwareVersion // at which alone the stream goes on; nil for any
	UnknownVersion  bool                      // others are to be asked at which version the stream began
	Refused         *Refused                  // why the request would be refused; nil if it would not be
	Stopping        bool                      // the process stops, and refuses what may not end in time
	Left            time.Duration             // until the answer must have ended
	FirstByteLeft   time.Duration             // until it must have begun
	ModelETA        time.Duration             // until a target has loaded the model; 0 if one holds it
	Room            *RoomWait                 // nil if the request needs not wait for room
	LoadsAdapter    bool
	NeedsTurn       bool          // to have a long prompt prefilled
	TurnWait        time.Duration // until that turn, as expected
}

// RoomWait is an expected wait for room at a target.
type RoomWait struct {
	Ahead    int // requests that are served before
	Expected time.Duration
}

// Explain returns what is expected of a request on a route to a service, without the targets that are excluded. It changes nothing, and
// asks nobody.
func (d *Dispatcher) Explain(req *request.Request, r *route.Route, service string, excluded map[string]bool) Prospect {
	contents := req.Contents()
	e := &Dispatch{
		Dispatcher: d, request: req, contents: contents, route: r, service: service, excluded: excluded, log: d.log,
		returned: d.returns.has(contents[len(contents)-1].Hash, d.now()), deadline: Deadline(req, r),
	}
	p := Prospect{}
	if r.Kind == route.Streaming && req.LastEventID != "" {
		e.streamVersion = e.knownOrigin()
		p.SoftwareVersion, p.UnknownVersion = e.streamVersion, e.streamVersion == nil
	}
	now := d.now()
	p.Left, p.FirstByteLeft = e.deadline.Sub(now), e.firstByteDeadline().Sub(now)
	p.Stopping = d.stop.answerBy.Load() != nil
	p.Fleet = d.fleet.Explain(e.query(), now)
	if left := d.quarantine.Blocked(contents); left > 0 {
		p.Refused = &Refused{Reason: CrashesTargets, RetryAfter: left}
		return p
	}
	e.explainChoice(&p, now)
	return p
}

// knownOrigin returns the version at which the stream began, if this gateway has seen that.
func (d *Dispatch) knownOrigin() *registry.SoftwareVersion {
	if d.request.FirstRequestID == "" {
		return nil
	}
	version, _, ok := d.origins.Lookup(origin.Stream(d.request.FirstRequestID))
	if !ok {
		return nil
	}
	return &version
}

// explainChoice sets what follows from the choice of the likeliest target, as in chooseTarget.
func (d *Dispatch) explainChoice(p *Prospect, now time.Time) {
	switch {
	case p.Fleet.LacksModel:
		eta, _, inTime := d.modelETA(p.FirstByteLeft)
		p.ModelETA = eta
		if !inTime {
			p.Refused = &Refused{Reason: NoModel, RetryAfter: max(defaultRetryAfter, min(eta, p.FirstByteLeft/3))}
		}
		return
	case len(p.Fleet.Candidates) == 0:
		p.Refused = &Refused{Reason: NoTarget, RetryAfter: defaultRetryAfter}
		return
	}
	choice := d.likelyChoice(p.Fleet.Candidates, now)
	left := d.beginDeadline(choice).Sub(now)
	if choice.Expected+minResponseTime > left {
		p.Refused = &Refused{Reason: Overload, RetryAfter: max(choice.Expected/2, choice.TurnWait)}
		return
	}
	key := waitlist.Key{Service: d.service, Model: d.request.Model}
	if ahead := d.waits.AheadOf(key, d.waitRank(choice), now); ahead > 0 || !choice.HasRoom {
		p.Room = &RoomWait{Ahead: ahead, Expected: choice.Expected + time.Duration(ahead)*choice.SlotInterval}
		if p.Room.Expected+minResponseTime > d.admissionTime(left, now) {
			p.Refused = &Refused{Reason: Overload, RetryAfter: p.Room.Expected}
			return
		}
	}
	p.LoadsAdapter = choice.LacksAdapter
	p.NeedsTurn = d.needsPrefillTurn(choice)
	if p.NeedsTurn {
		p.TurnWait = choice.PrefillQueue
	}
}

// likelyChoice returns the choice of the likeliest candidate at which the answer ends in time, as chooseInTime makes it.
func (d *Dispatch) likelyChoice(candidates []fleet.Candidate, now time.Time) fleet.Choice {
	first := candidates[0].Choice
	if !d.endsTooLate(first, now) {
		return first
	}
	for _, other := range candidates[1:min(len(candidates), 1+maxOtherHolders)] {
		if d.beginsInTime(other.Choice, now) {
			return other.Choice
		}
	}
	return first
}
