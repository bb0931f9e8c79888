package gateway

import (
	"testing"
	"time"

	"gypsumbank/dispatch"
	"gypsumbank/turns"
	"gypsumbank/wire"
)

// TestTurnLink guards against requests that are sent though they were withdrawn before, turns that are granted late and never given
// back, waits that outlast their connection, and requests to agents that do not answer them.
func TestTurnLink(t *testing.T) {
	now := time.Unix(1000, 0)
	request := dispatch.TurnRequest{Rank: turns.Rank{Priority: 1, Objective: now.Add(800 * time.Millisecond), Prefill: 200 * time.Millisecond, Customer: 77, Weight: 2.5}, GiveUp: now.Add(4 * time.Second)}
	link := newTurnLink()
	if _, ok := link.ask(request); ok {
		t.Error("an agent was asked that has not said that it grants turns")
	}
	link.apply(&wire.TargetState{GrantsTurns: true})
	ask := func() dispatch.Turn {
		turn, ok := link.ask(request)
		if !ok {
			t.Fatal("the agent is not asked")
		}
		return turn
	}
	ask().End()
	if update := link.take("g", now); update != nil {
		t.Errorf("sent for a request that was withdrawn at once: %v", update)
	}
	first, second, third := ask(), ask(), ask()
	update := link.take("g", now)
	if len(update.GetPrefillRequests()) != 3 || update.GetPrefillRequests()[0].GetObjectiveMs() != 800 || update.GetPrefillRequests()[0].GetWaitMs() != 4000 {
		t.Fatalf("sent %v, want three requests", update)
	}
	if customer := update.GetPrefillRequests()[0].GetCustomer(); customer != 77 {
		t.Errorf("sent customer %d, want 77", customer)
	}
	if weight := update.GetPrefillRequests()[0].GetCustomerWeight(); weight != 2.5 {
		t.Errorf("sent weight %g of the customer, want 2.5", weight)
	}
	ids := []uint64{update.GetPrefillRequests()[0].GetId(), update.GetPrefillRequests()[1].GetId()}
	second.End()
	link.apply(&wire.TargetState{GrantsOnly: true, GrantsTurns: true, WaitingPrefills: []*wire.PrefillWait{{Id: ids[0], WaitMs: 300}}})
	link.apply(&wire.TargetState{GrantsOnly: true, GrantsTurns: true, GrantedPrefills: ids})
	if answer := <-first.Answers; answer.Kind != dispatch.TurnGranted {
		t.Errorf("first request got %+v, want the newest answer, a grant", answer)
	}
	first.End()
	first.End()
	if update := link.take("g", now); len(update.GetEndedPrefills()) != 2 {
		t.Errorf("sent %v, want the ends of the withdrawn request and of the turn, once", update)
	}
	link.close()
	if answer := <-third.Answers; answer.Kind != dispatch.TurnLost {
		t.Errorf("third request got %+v after the end of the connection", answer)
	}
	if _, ok := link.ask(request); ok {
		t.Error("an agent was asked over a connection that has ended")
	}
}
