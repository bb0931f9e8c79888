package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gypsumbank/fleet"
	"gypsumbank/registry"
	"gypsumbank/reply"
	"gypsumbank/request"
	"gypsumbank/route"
	"gypsumbank/standby"
)

// newCopyingDispatcher returns a dispatcher whose engines copy runs to each other, and the engines.
func newCopyingDispatcher(s *scriptedClient) (*Dispatcher, []registry.Target) {
	d := newDispatcher(s, time.Now)
	services := engineServices()
	engine := services[engineService].Engine
	engine.KVTokens, engine.Slots = 200000, 64
	engine.Copies = route.Copies{Backups: true, BytesPerToken: 330e3, LinkMbps: 550e3, Lifetime: 2 * time.Second}
	d.fleet.SetServices(services)
	targets := registerVersions(d, "v1", "v1")
	for i, id := range []string{"e1", "e2"} {
		targets[i].Born = 1
		d.fleet.Observe(id, fleet.Observation{Report: registry.Report{Born: 1, KVTotal: 200000, Models: []registry.Model{{Name: "m1"}}}, Watchers: 1}, time.Now())
	}
	d.fleet.UpdateTargets(targets, false, time.Now())
	return d, targets
}

// onceRoute is a route whose streams may not be repeated.
func onceRoute() *route.Route {
	return &route.Route{Kind: route.Streaming, Timeout: 5 * time.Second, MaxAttempts: 1}
}

// beginCopied begins a dispatch of a short stream.
func beginCopied(ctx context.Context, d *Dispatcher) *Dispatch {
	req := &request.Request{ID: "r", Model: "m1", PromptTokens: 800, MaxOutputTokens: 400, Arrived: time.Now(), Header: http.Header{}}
	return d.Begin(ctx, req, onceRoute(), engineService)
}

func lostWith(err error) func() reply.Result {
	return func() reply.Result { return reply.NoUsableResponse{Err: err} }
}

// TestRequestWithoutAnAnswerDoesNotGoOn guards against a second run of a request that ends each engine as it begins to run there.
func TestRequestWithoutAnAnswerDoesNotGoOn(t *testing.T) {
	s := &scriptedClient{replies: []func() reply.Result{lostWith(io.EOF), respond(200)}}
	d, _ := newCopyingDispatcher(s)
	dispatch := beginCopied(t.Context(), d)
	defer dispatch.Close()
	if got := dispatch.Run(); !sameOutcome(got, Failed{Reason: AnswerLost}) || len(s.sentTo) != 1 {
		t.Errorf("outcome %#v after %d sends, want that the answer is lost after one", got, len(s.sentTo))
	}
}

// TestRequestGoesOnAtItsCopy guards against second runs where the first engine may be at work, and against outcomes that say that a request has not
// run. The first engine begins to answer.
func TestRequestGoesOnAtItsCopy(t *testing.T) {
	cases := map[string]struct {
		first     error
		second    func() reply.Result
		change    func(d *Dispatcher)
		want      Outcome
		wantSends int
	}{
		"closed by the engine":     {first: io.EOF, second: respond(200), want: Answered{}, wantSends: 2},
		"reset by the engine":      {first: syscall.ECONNRESET, second: respond(200), want: Answered{}, wantSends: 2},
		"the link timed out":       {first: syscall.ETIMEDOUT, second: respond(200), want: Failed{Reason: AnswerLost}, wantSends: 1},
		"no route to the engine":   {first: syscall.EHOSTUNREACH, second: respond(200), want: Failed{Reason: AnswerLost}, wantSends: 1},
		"an answer that is no use": {first: reply.ErrInvalid, second: respond(200), want: Failed{Reason: AnswerLost}, wantSends: 1},
		"refused by the second":    {first: io.EOF, second: notRun, want: Failed{Reason: StreamBroken}, wantSends: 2},
		"503 of the second":        {first: io.EOF, second: respond(503), want: Failed{Reason: StreamBroken}, wantSends: 2},
		"500 of the second":        {first: io.EOF, second: respond(500), want: Failed{Reason: StreamBroken}, wantSends: 2},
		"second not reached":       {first: io.EOF, second: notSent, want: Failed{Reason: StreamBroken}, wantSends: 2},
		"second lost":              {first: io.EOF, second: noResponse, want: Failed{Reason: StreamBroken}, wantSends: 2},
		"targets crash under it": {
			first: io.EOF, second: respond(200), want: Failed{Reason: StreamBroken}, wantSends: 1,
			change: func(d *Dispatcher) {
				d.quarantine.(*scriptedQuarantine).blockFrom = time.Now().Add(-time.Millisecond)
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: []func() reply.Result{respond(200), c.second}}
			d, _ := newCopyingDispatcher(s)
			dispatch := beginCopied(t.Context(), d)
			defer dispatch.Close()
			answered, ok := dispatch.Run().(Answered)
			if !ok {
				t.Fatal("the first engine did not answer")
			}
			answered.Assignment.End(fleet.Failed, time.Now())
			if c.change != nil {
				c.change(d)
			}
			got, goesOn := dispatch.GoOn(answered.Assignment.Target(), "3", c.first)
			if !goesOn {
				got = Failed{Reason: AnswerLost}
			}
			if !sameOutcome(got, c.want) || len(s.sentTo) != c.wantSends {
				t.Errorf("outcome %#v after %d sends, want %#v after %d", got, len(s.sentTo), c.want, c.wantSends)
			}
		})
	}
}

// TestStreamDoesNotGoOn guards against a second run of a stream that has begun where it may not have one.
func TestStreamDoesNotGoOn(t *testing.T) {
	cases := map[string]struct {
		change func(d *Dispatch, leave func(), targets []registry.Target)
		want   Outcome
	}{
		"it may":                           {func(*Dispatch, func(), []registry.Target) {}, Answered{}},
		"the caller has left":              {func(_ *Dispatch, leave func(), _ []registry.Target) { leave() }, Abandoned{}},
		"the deadline is near":             {func(d *Dispatch, _ func(), _ []registry.Target) { d.deadline = time.Now().Add(25 * time.Millisecond) }, Failed{Reason: StreamBroken}},
		"the second restarted":             {func(d *Dispatch, _ func(), targets []registry.Target) { replaceSecond(d, targets, 2, "v1") }, Failed{Reason: StreamBroken}},
		"the second is of another version": {func(d *Dispatch, _ func(), targets []registry.Target) { replaceSecond(d, targets, 1, "v2") }, Failed{Reason: StreamBroken}},
		"the stream began at another version": {func(d *Dispatch, _ func(), _ []registry.Target) {
			version := registry.SoftwareVersion("v0")
			d.streamVersion = &version
		}, Failed{Reason: StreamBroken}},
		"no retries are left": {func(d *Dispatch, _ func(), _ []registry.Target) {
			for d.budget.AllowRetry(engineService, 1, time.Now()) {
			}
		}, Failed{Reason: StreamBroken}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: []func() reply.Result{respond(200)}}
			d, targets := newCopyingDispatcher(s)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			dispatch := beginCopied(ctx, d)
			defer dispatch.Close()
			answered, ok := dispatch.Run().(Answered)
			if !ok || !dispatch.HasCopy() {
				t.Fatalf("answered %v, with a copy %v", ok, dispatch.HasCopy())
			}
			answered.Assignment.End(fleet.Failed, time.Now())
			c.change(dispatch, leave, targets)
			got, _ := dispatch.GoOn(answered.Assignment.Target(), "3", io.ErrUnexpectedEOF)
			if !sameOutcome(got, c.want) {
				t.Errorf("outcome %#v, want %#v", got, c.want)
			}
			if again, ok := dispatch.GoOn(answered.Assignment.Target(), "3", io.ErrUnexpectedEOF); ok {
				t.Errorf("the stream goes on a second time: %#v", again)
			}
		})
	}
}

// replaceSecond lists the engines with another run, or version, of each one: either of them may be the second.
func replaceSecond(d *Dispatch, targets []registry.Target, born int64, version registry.SoftwareVersion) {
	for i := range targets {
		targets[i].Born, targets[i].SoftwareVersion = born, version
	}
	d.fleet.UpdateTargets(targets, false, time.Now())
}

// blockingSender is a Sender whose requests end with their context.
type blockingSender struct{ *scriptedClient }

func (blockingSender) Send(ctx context.Context, _ *request.Request, _ registry.Delivery) reply.Result {
	<-ctx.Done()
	return reply.NoUsableResponse{Err: context.Cause(ctx)}
}

// TestNewsEndsAttempts guards against attempts that go on at an engine that has ended, and against attempts that are ended by news of another run or
// by an end that is no proof.
func TestNewsEndsAttempts(t *testing.T) {
	cases := map[string]struct {
		news func(d *Dispatcher, first registry.Target)
		want bool // the attempt ends
	}{
		"ended":                     {func(d *Dispatcher, first registry.Target) { d.RecordEngine("", first.ID, 1, standby.Ended) }, true},
		"a later run of it answers": {func(d *Dispatcher, first registry.Target) { d.RecordEngine("", first.ID, 2, standby.Answers) }, true},
		"another run has its address": {func(d *Dispatcher, first registry.Target) {
			d.RecordEngine(registry.Host(first.Address), "e9", 2, standby.Answers)
		}, true},
		"it answers": {func(d *Dispatcher, first registry.Target) {
			d.RecordEngine(registry.Host(first.Address), first.ID, 1, standby.Answers)
		}, false},
		"an earlier run ended":        {func(d *Dispatcher, first registry.Target) { d.RecordEngine("", first.ID, 0, standby.Ended) }, false},
		"another engine ended":        {func(d *Dispatcher, _ registry.Target) { d.RecordEngine("", "e9", 1, standby.Ended) }, false},
		"it is silent, no answer yet": {func(d *Dispatcher, first registry.Target) { d.RecordEngine("", first.ID, 1, standby.Silent) }, false},
		"it leaves and stops to listen": {func(d *Dispatcher, first registry.Target) {
			d.fleet.Observe(first.ID, fleet.Observation{Report: registry.Report{Born: 1, Draining: true}}, time.Now())
			d.RecordEngine("", first.ID, 1, standby.Ended)
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{}
			d, targets := newCopyingDispatcher(s)
			d.sender = blockingSender{s}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = d.WatchEngines(ctx) }()
			attempt := d.attempts.begin(ctx, targets[0], "r", true, time.Now())
			time.Sleep(5 * time.Millisecond)
			c.news(d, targets[0])
			select {
			case <-attempt.ctx.Done():
				if !c.want || !attempt.isGivenUp() {
					t.Errorf("the attempt ended: %v", context.Cause(attempt.ctx))
				}
			case <-time.After(450 * time.Millisecond):
				if c.want {
					t.Error("the attempt goes on")
				}
			}
			d.attempts.remove(attempt)
			if len(d.attempts.byRun) != 0 {
				t.Error("attempts are kept that have ended")
			}
		})
	}
}

// TestSilenceOfAnAgentEndsNothing guards against streams that are given up by old news, as their agent has ended, too.
func TestSilenceOfAnAgentEndsNothing(t *testing.T) {
	d, targets := newCopyingDispatcher(&scriptedClient{})
	now := time.Unix(1000, 0)
	d.attempts.now = func() time.Time { return now }
	attempt := d.attempts.begin(t.Context(), targets[0], "r", true, now)
	attempt.lastByteAt.Store(now.UnixNano())
	d.RecordEngine("", targets[0].ID, 1, standby.Silent)
	for range 20 { // an event each 100 ms
		now = now.Add(100 * time.Millisecond)
		attempt.lastByteAt.Store(now.UnixNano())
		d.attempts.giveUpDue(now)
	}
	now = now.Add(time.Second)
	if d.attempts.giveUpDue(now); errors.Is(context.Cause(attempt.ctx), errGivenUp) {
		t.Error("the stream is given up by news that is three seconds old")
	}
}

// TestSlowCallerKeepsWhatHasArrived guards against answers that are cut on news of their engine's end though all of their bytes have arrived, as the
// caller takes them slowly.
func TestSlowCallerKeepsWhatHasArrived(t *testing.T) {
	d, targets := newCopyingDispatcher(&scriptedClient{})
	now := time.Unix(1000, 0)
	d.attempts.now = func() time.Time { return now }
	dispatch := beginCopied(t.Context(), d)
	defer dispatch.Close()
	dispatch.engineAttempt = d.attempts.begin(t.Context(), targets[0], "r", false, now)
	dispatch.RecordBytes(now.Add(time.Millisecond))
	now = now.Add(10 * time.Millisecond)
	d.RecordEngine("", targets[0].ID, 1, standby.Ended)
	now = now.Add(time.Second)
	if d.attempts.giveUpDue(now); dispatch.engineAttempt.isGivenUp() {
		t.Fatal("the attempt is given up while its caller takes what has arrived")
	}
	dispatch.RecordRead(now)
	if d.attempts.giveUpDue(now.Add(40 * time.Millisecond)); dispatch.engineAttempt.isGivenUp() {
		t.Fatal("the attempt is given up before its next bytes can be read")
	}
	if d.attempts.giveUpDue(now.Add(60 * time.Millisecond)); !dispatch.engineAttempt.isGivenUp() {
		t.Error("the attempt waits on for an engine that has ended")
	}
}
