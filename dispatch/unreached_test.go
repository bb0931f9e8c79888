package dispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"gypsumbank/fleet"
	"gypsumbank/registry"
	"gypsumbank/reply"
	"gypsumbank/request"
)

// dialingSender is a Sender whose connections fail after the given times, or once the caller leaves.
type dialingSender struct {
	scriptedClient
	dialTimes []time.Duration
	dials     []registry.Target
}

func (s *dialingSender) Send(ctx context.Context, _ *request.Request, delivery registry.Delivery) reply.Result {
	s.dials = append(s.dials, delivery.Target)
	select {
	case <-ctx.Done():
		return reply.NotSent{Err: ctx.Err()}
	case <-time.After(s.dialTimes[len(s.dials)-1]):
		return reply.NotSent{Err: errors.New("refused")}
	}
}

// TestDialThatEndsWithItsCallerIsNoFailure has a caller leave while a connection to a target is opened. The target must not be avoided, unless
// the connection had taken long, as it does at a target that is gone.
func TestDialThatEndsWithItsCallerIsNoFailure(t *testing.T) {
	t.Parallel()
	const targets = 2
	tests := map[string]struct {
		dialTimes    []time.Duration
		callerLeaves time.Duration
		wantAvoided  int
	}{
		"caller leaves at once":       {dialTimes: []time.Duration{time.Second}, callerLeaves: 5 * time.Millisecond},
		"caller leaves after long":    {dialTimes: []time.Duration{time.Second}, callerLeaves: 150 * time.Millisecond, wantAvoided: 1},
		"first fails, caller leaves":  {dialTimes: []time.Duration{0, time.Second}, callerLeaves: 20 * time.Millisecond, wantAvoided: 1},
		"both fail before it leaves":  {dialTimes: []time.Duration{0, 0}, callerLeaves: time.Minute},
		"first fails, second is slow": {dialTimes: []time.Duration{0, time.Second}, callerLeaves: 150 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &dialingSender{dialTimes: test.dialTimes}
			d := newDispatcher(&s.scriptedClient, time.Now)
			d.sender = s
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			time.AfterFunc(test.callerLeaves, leave)
			dispatched := d.Begin(ctx, &request.Request{ID: "r", Arrived: time.Now()}, unsafeRoute(), plainService)
			defer dispatched.Close()
			dispatched.Run()
			if len(s.dials) != len(test.dialTimes) {
				t.Fatalf("%d connections were tried, want %d", len(s.dials), len(test.dialTimes))
			}
			// With all targets avoided, all are candidates again.
			choice, _ := d.fleet.Choose(fleet.Query{Service: plainService, Request: &request.Request{ID: "r2"}, Exclude: map[string]bool{}}, time.Now())
			if avoided := targets - choice.Candidates; avoided != test.wantAvoided {
				t.Errorf("%d of %d targets are avoided, want %d", avoided, targets, test.wantAvoided)
			}
		})
	}
}
