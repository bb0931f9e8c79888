package calltime_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gypsumbank/calltime"
	"gypsumbank/jsonclient"
)

const least = 600 * time.Millisecond

// take returns a call that is answered after a time, unless its context ends before.
func take(took time.Duration, err error) func(context.Context) (int, error) {
	return func(ctx context.Context) (int, error) {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(took):
			return 1, err
		}
	}
}

// run makes a call that is given the time that the tracker says.
func run(t *testing.T, tracker *calltime.Tracker, waits time.Duration, call func(context.Context) (int, error)) error {
	ctx, cancel := context.WithTimeout(t.Context(), tracker.Limit(least)+waits)
	defer cancel()
	_, err := calltime.Run(ctx, tracker, waits, call)
	return err
}

// TestCallsGetTheTimeThatTheyNeed guards against calls that all fail on a way that takes longer than a call is given.
func TestCallsGetTheTimeThatTheyNeed(t *testing.T) {
	for name, c := range map[string]struct {
		took, waits time.Duration
		err         error
	}{
		"answered": {took: time.Second}, "very late": {took: 2500 * time.Millisecond}, "refused": {took: time.Second, err: &jsonclient.StatusError{Status: 503}},
		"after a wait": {took: 2 * time.Second, waits: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := &calltime.Tracker{}
				if err := run(t, tracker, c.waits, take(c.took, c.err)); !errors.Is(err, context.DeadlineExceeded) {
					t.Fatalf("first call: %v", err)
				}
				time.Sleep(c.took)
				if err := run(t, tracker, c.waits, take(c.took, c.err)); !errors.Is(err, c.err) {
					t.Errorf("second call: %v, want %v", err, c.err)
				}
				for range 5 {
					if err := run(t, tracker, 0, take(time.Millisecond, nil)); err != nil {
						t.Error(err)
					}
				}
				if limit := tracker.Limit(least); limit != least {
					t.Errorf("calls are given %s on a way that is fast again, want %s", limit, least)
				}
			})
		})
	}
}

// TestServiceThatIsAwayDoesNotRaiseTheTime guards against calls that take long to be tried again after an outage.
func TestServiceThatIsAwayDoesNotRaiseTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := &calltime.Tracker{}
		for range 5 {
			if err := run(t, tracker, 0, take(time.Hour, nil)); err == nil {
				t.Error("a call without an answer succeeds")
			}
		}
		if limit := tracker.Limit(least); limit != least {
			t.Errorf("calls are given %s, want %s", limit, least)
		}
		time.Sleep(10 * time.Second) // until the calls are no longer observed
	})
}
