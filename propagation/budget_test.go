package propagation_test

import (
	"testing"
	"time"

	"gypsumbank/propagation"
)

// applyTimes are those of the deployments known, and others that may come.
var applyTimes = map[string]time.Duration{
	"none named": 0, "short": time.Second, "first deployments": 2 * time.Second, "customers' deployments": 3 * time.Second, "long": 10 * time.Second,
}

// applyTime returns the time that a budget of it must keep to.
func applyTime(named time.Duration) time.Duration {
	if named == 0 {
		return propagation.DefaultApplyTime
	}
	return named
}

// TestReadsOfAGatewayFitIntoTheApplyTime guards against a gateway that gets a change too late from a store that answers it, as one read was lost, the
// wait before the next one was long, and that one took all of its time.
func TestReadsOfAGatewayFitIntoTheApplyTime(t *testing.T) {
	for name, named := range applyTimes {
		t.Run(name, func(t *testing.T) {
			b, allowed := propagation.New(named), applyTime(named)
			steps := map[string]time.Duration{
				"while the store does not answer": b.ReadTimeout() + b.RetryWait() + b.ReadTimeout(),
				"after a wait for changes":        b.PollTimeout() + b.ReadTimeout(),
				"after agents have told the last": b.AgentReadAge() + b.ReadTimeout(),
			}
			for at, took := range steps {
				if took >= allowed {
					t.Errorf("%s: %s, must be below %s", at, took, allowed)
				}
			}
			for step, took := range map[string]time.Duration{"read": b.ReadTimeout(), "wait": b.RetryWait(), "poll": b.PollWait(), "agent's poll": b.AgentPollWait()} {
				if took < 100*time.Millisecond {
					t.Errorf("%s of %s: the store would be read without a pause", step, took)
				}
			}
		})
	}
}

// TestAgentsThatReadAreReliedOn guards against gateways that read the store although agents read it and tell them without a fault.
func TestAgentsThatReadAreReliedOn(t *testing.T) {
	const (
		statesInterval = 600 * time.Millisecond // the longest between states of an agent that reads, among many gateways
		messageTime    = 100 * time.Millisecond // between availability zones, beside other work
	)
	for name, named := range applyTimes {
		if named == time.Second {
			continue // too short for agents of many gateways: gateways read the store themselves
		}
		t.Run(name, func(t *testing.T) {
			b := propagation.New(named)
			if oldest := b.AgentPollWait() + statesInterval + messageTime; oldest > b.AgentReadAge() {
				t.Errorf("a read without a change is %s old when the next one is known, relied on for %s", oldest, b.AgentReadAge())
			}
		})
	}
}
