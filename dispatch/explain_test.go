package dispatch

import (
	"testing"
	"time"

	"gypsumbank/reply"
	"gypsumbank/request"
	"gypsumbank/route"
	"gypsumbank/waitlist"
)

// TestProspectIsWhatHappens guards against an explanation that tells of another outcome, wait or turn than the request then gets, and
// against one that sends, asks or counts something.
func TestProspectIsWhatHappens(t *testing.T) {
	stream := streamRoute(true)
	stream.Timeout, stream.LatencyObjective = 3*time.Second, 300*time.Millisecond
	short := request.Request{Model: "m1", PromptTokens: 100, MaxOutputTokens: 100}
	resumed := short
	resumed.LastEventID, resumed.FirstRequestID = "3", "first"
	cases := map[string]struct {
		route    *route.Route
		service  string
		request  request.Request
		gateways int // reported by agents; 0 for no report
		requests int // at each engine, of other gateways
		excluded []string
		blocked  bool
		refused  Reason // empty for none
		unknown  bool
		room     bool
		model    bool
		adapter  bool
		turn     bool
	}{
		"plain":                  {route: unsafeRoute(), service: plainService},
		"plain, one excluded":    {route: unsafeRoute(), service: plainService, excluded: []string{"p1"}},
		"plain, all excluded":    {route: unsafeRoute(), service: plainService, excluded: []string{"p1", "p2"}, refused: NoTarget},
		"unknown service":        {route: unsafeRoute(), service: "none", refused: NoTarget},
		"held model":             {route: stream, service: engineService, request: short},
		"model to be loaded":     {route: stream, service: engineService, request: request.Request{Model: "m2"}, model: true},
		"unlisted model":         {route: stream, service: engineService, request: request.Request{Model: "m9"}, model: true, refused: NoModel},
		"adapter to be loaded":   {route: stream, service: engineService, request: request.Request{Model: "m1", Adapter: "a1"}, adapter: true},
		"full engines":           {route: stream, service: engineService, request: short, gateways: 2, requests: 75, room: true},
		"crowded engines":        {route: stream, service: engineService, request: short, gateways: 2, requests: 5000, refused: Overload},
		"long prompt":            {route: stream, service: engineService, request: *longRequest(), gateways: 29, turn: true},
		"long, few gateways":     {route: stream, service: engineService, request: *longRequest(), gateways: 6},
		"short, many gateways":   {route: stream, service: engineService, request: short, gateways: 29},
		"crashes targets":        {route: unsafeRoute(), service: plainService, blocked: true, refused: CrashesTargets},
		"resumed, not seen here": {route: stream, service: engineService, request: resumed, unknown: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			turns := &askedTurns{answers: map[int][]TurnAnswer{0: {{Kind: TurnGranted}}}}
			s := &scriptedClient{replies: []func() reply.Result{respond(200)}, askTurn: turns.ask}
			d := newDispatcher(s, time.Now)
			if c.gateways > 0 {
				reportGateways(d, c.gateways)
			}
			if c.requests > 0 {
				fillEngines(d, c.requests)
			}
			if c.blocked {
				d.quarantine = &scriptedQuarantine{blockFrom: time.Unix(1, 0)}
			}
			excluded := map[string]bool{}
			for _, id := range c.excluded {
				excluded[id] = true
			}
			req := c.request
			req.ID, req.Arrived = "r", time.Now()
			p := d.Explain(&req, c.route, c.service, excluded)
			if len(s.sentTo)+len(turns.asked)+s.ensureCalls+d.waits.Len(waitlist.Key{Service: c.service, Model: req.Model}) > 0 {
				t.Error("the explanation has sent or asked something, or waits")
			}
			if got := (p.ModelETA > 0 || p.Fleet.LacksModel); got != c.model || (p.Room != nil && p.Refused == nil) != c.room || p.LoadsAdapter != c.adapter || p.NeedsTurn != c.turn || p.UnknownVersion != c.unknown {
				t.Errorf("explained %+v", p)
			}
			if (p.Refused == nil) != (c.refused == "") || (p.Refused != nil && p.Refused.Reason != c.refused) {
				t.Errorf("refused %+v, want %q", p.Refused, c.refused)
			}
			if len(c.excluded) == 0 && !c.unknown {
				checkProspect(t, d, s, turns, &req, c.route, c.service, p)
			}
		})
	}
}

// checkProspect dispatches the request and compares what becomes of it. Nothing becomes free while it waits.
func checkProspect(t *testing.T, d *Dispatcher, s *scriptedClient, turns *askedTurns, req *request.Request, r *route.Route, service string, p Prospect) {
	t.Helper()
	req.Arrived = time.Now()
	dispatch := d.Begin(t.Context(), req, r, service)
	defer dispatch.Close()
	if p.Room != nil && p.Refused == nil {
		time.AfterFunc(100*time.Millisecond, func() { fillEngines(d, 1) })
	}
	if p.Fleet.LacksModel && p.Refused == nil {
		time.AfterFunc(100*time.Millisecond, func() { d.fleet.MarkHeld("e1", req.Model, "") })
	}
	outcome := dispatch.Run()
	refused, isRefused := outcome.(Refused)
	if isRefused != (p.Refused != nil) || (isRefused && refused.Reason != p.Refused.Reason) {
		t.Errorf("outcome %+v, explained %+v", outcome, p.Refused)
	}
	if isRefused {
		return
	}
	if (len(turns.asked) > 0) != p.NeedsTurn || (s.ensureCalls > 0) != p.LoadsAdapter {
		t.Errorf("%d turns and %d loads, explained %+v", len(turns.asked), s.ensureCalls, p)
	}
	if took := time.Since(req.Arrived); (p.Room != nil || p.Fleet.LacksModel) && took < 100*time.Millisecond {
		t.Errorf("took %s, explained as a wait: %+v", took, p)
	}
}
