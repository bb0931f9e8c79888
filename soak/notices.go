package soak

import (
	"fmt"
	"strings"
	"time"
)

const (
	// leavingReaction is the time after an answer that says that its target leaves from which on its gateway sends it nothing more.
	leavingReaction = 2 * time.Second
	// restReaction is the time after a refusal with a rest from which on its gateway may send restSends requests until the rest ends.
	restReaction = 500 * time.Millisecond
	restSends    = 2
	// disturbanceTail is how long after a disturbance requests may be late for it.
	disturbanceTail = 1500 * time.Millisecond
	// Later than endsReaction after endsKnown targets have ended under one content, undisturbed processes may forward it lateEnds
	// times more.
	endsKnown    = 3
	endsReaction = 3 * time.Second
	lateEnds     = 3
)

// Arrival is a request that has reached a target.
type Arrival struct {
	RequestID string
	Target    string
	Run       string // of the target
	At        time.Time
	Rest      time.Duration // that its refusal asked for; 0 if it was not refused
}

// notices holds what targets have said of themselves and where requests went.
type notices struct {
	sends        map[string]send // by the id of the request
	arrivals     []Arrival
	leavingSince map[sending]time.Time
	disturbed    map[string][]span // by the name of a target or a node
	ends         map[string][]end  // by content
}

// send is the send of a request through a process.
type send struct {
	process string
	at      time.Time
	longest time.Duration // that its route allows it to take
}

// end is the end of a target under a request that a process has forwarded.
type end struct {
	process string
	at      time.Time
}

// sending is a process that sends requests to a run of a target.
type sending struct{ process, run string }

type span struct{ from, until time.Time }

func newNotices() notices {
	return notices{sends: map[string]send{}, leavingSince: map[sending]time.Time{}, disturbed: map[string][]span{}, ends: map[string][]end{}}
}

// RecordSender records through which process a request is sent, when, and how long its route allows it to take.
func (c *Checker) RecordSender(id, process string, at time.Time, longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices.sends[id] = send{process, at, longest}
}

// RecordArrival records that a request has reached a target.
func (c *Checker) RecordArrival(arrival Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices.arrivals = append(c.notices.arrivals, arrival)
}

// RecordLeaving records that a process has passed on an answer which says that a run of a target leaves.
func (c *Checker) RecordLeaving(process, run string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := sending{process, run}
	if since, known := c.notices.leavingSince[key]; !known || at.Before(since) {
		c.notices.leavingSince[key] = at
	}
}

// RecordDisturbance records that a target, the link to it or a node was disturbed for a time.
func (c *Checker) RecordDisturbance(name string, from, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices.disturbed[name] = append(c.notices.disturbed[name], span{from, until.Add(disturbanceTail)})
}

// RecordEnd records that a target has ended under a request with a content.
func (c *Checker) RecordEnd(content, requestID string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices.ends[content] = append(c.notices.ends[content], end{c.notices.sends[requestID].process, at})
}

// node returns the node of a process, whose name has the number of the start in addition.
func node(process string) string { return process[:max(0, strings.LastIndexByte(process, '-'))] }

// arrivalsByRequest returns the last arrival of each request at a target.
func (n *notices) arrivalsByRequest() map[string]Arrival {
	arrivals := map[string]Arrival{}
	for _, a := range n.arrivals {
		arrivals[a.RequestID] = a
	}
	return arrivals
}

// calm reports whether a target or a node was not disturbed between two times.
func (n *notices) calm(name string, from, until time.Time) bool {
	for _, s := range n.disturbed[name] {
		if s.from.Before(until) && s.until.After(from) {
			return false
		}
	}
	return true
}

// violations returns the arrivals that what targets have said of themselves does not allow.
func (n *notices) violations() []string {
	var violations []string
	for i, a := range n.arrivals {
		sent, known := n.sends[a.RequestID]
		if !known {
			continue
		}
		process := sent.process
		if since, leaving := n.leavingSince[sending{process, a.Run}]; leaving && a.At.Sub(since) > leavingReaction && n.calm(a.Target, since, a.At) && n.calm(node(process), since, a.At) {
			violations = append(violations, fmt.Sprintf("request %s reached %s from %s %s after an answer had told that it leaves", a.RequestID, a.Run, process, a.At.Sub(since)))
		}
		if a.Rest > 0 {
			violations = append(violations, n.restViolation(process, a, n.arrivals[i+1:])...)
		}
	}
	for content, ends := range n.ends {
		late := 0
		for _, e := range ends {
			if len(ends) > endsKnown && e.at.Sub(ends[endsKnown-1].at) > endsReaction && n.calm(node(e.process), e.at.Add(-endsReaction), e.at) {
				late++
			}
		}
		if late > lateEnds {
			violations = append(violations, fmt.Sprintf("%d targets ended under %s, %d of them late", len(ends), content, late))
		}
	}
	return violations
}

// restViolation checks the requests that reached a target after a refusal.
func (n *notices) restViolation(process string, refusal Arrival, later []Arrival) []string {
	sends := 0
	for _, a := range later {
		since := a.At.Sub(refusal.At)
		if a.Run != refusal.Run || n.sends[a.RequestID].process != process || since < restReaction || since > refusal.Rest {
			continue
		}
		sends++
		if from := refusal.At.Add(-disturbanceTail); sends > restSends && n.calm(a.Target, from, a.At) && n.calm(node(process), from, a.At) {
			return []string{fmt.Sprintf("%s got %d requests from %s within a rest of %s", a.Run, sends, process, refusal.Rest)}
		}
	}
	return nil
}
