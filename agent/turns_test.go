package agent

import (
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/wire"
)

// newTestTurns returns watchers with turns, on a fake clock.
func newTestTurns() (*watchers, *prefillTurns, *fakeClock) {
	w, clock := newTestWatchers()
	log := logrus.New()
	log.SetOutput(io.Discard)
	w.prefillTurns = newPrefillTurns(clock.now, logrus.NewEntry(log), w.loadChanged)
	return w, w.prefillTurns, clock
}

func ask(ids ...uint64) *wire.WatcherUpdate {
	update := &wire.WatcherUpdate{TurnsOnly: true}
	for _, id := range ids {
		update.PrefillRequests = append(update.PrefillRequests, &wire.PrefillRequest{Id: id, PrefillMs: 200, Priority: 1, ObjectiveMs: 800, WaitMs: 4000})
	}
	return update
}

// decided returns what is queued for a gateway, or nil.
func decided(p *prefillTurns, owner *turnOwner) *wire.TargetState {
	select {
	case <-owner.ready:
		return p.take(owner)
	default:
		return nil
	}
}

// TestTurnsOfGateways has two gateways ask for turns. The first must get one at once, the others be told their wait, the next be
// granted when the first gateway disconnects with its turn, and a request that can't wait be refused.
func TestTurnsOfGateways(t *testing.T) {
	_, p, _ := newTestTurns()
	first, second := p.add(), p.add()
	p.handle(first, ask(1))
	if got := decided(p, first); !got.GetGrantsOnly() || len(got.GetGrantedPrefills()) != 1 || got.GetGrantedPrefills()[0] != 1 {
		t.Errorf("first gateway got %v, want a grant of 1", got)
	}
	p.handle(second, ask(1, 2))
	if got := decided(p, second); len(got.GetGrantedPrefills()) != 0 || len(got.GetWaitingPrefills()) != 2 || got.GetWaitingPrefills()[1].GetWaitMs() < 300 {
		t.Errorf("second gateway got %v, want two waits", got)
	}
	hasty := ask(3)
	hasty.PrefillRequests[0].WaitMs = 20
	p.handle(second, hasty)
	if got := decided(p, second); len(got.GetWaitingPrefills()) != 1 || !got.GetWaitingPrefills()[0].GetRefused() {
		t.Errorf("request that can't wait got %v, want a refusal", got)
	}
	p.remove(first)
	if got := decided(p, second); len(got.GetGrantedPrefills()) != 1 {
		t.Errorf("after the loss of the first gateway the second got %v, want a grant", got)
	}
}

// TestPromptsThatWaitForTurnsAreLoad guards against gateways that choose an engine for its short queue while many prompts wait at its
// agent, and against prompts that are counted twice once their gateway has told that it has sent them.
func TestPromptsThatWaitForTurnsAreLoad(t *testing.T) {
	w, p, clock := newTestTurns()
	watcher, owner := w.add(), p.add()
	heartbeat := func(sentMs float32) {
		clock.advance(time.Second)
		update := &wire.WatcherUpdate{Node: "g1", UnreadMs: sentMs}
		p.handle(owner, update)
		w.handleHeartbeat(watcher, update)
		w.publish(&wire.TargetState{TargetId: "t"})
	}
	heartbeat(0)
	received(w, watcher)
	p.handle(owner, ask(1, 2, 3))
	w.publish(&wire.TargetState{TargetId: "t", Busy: true})
	if state := received(w, watcher); state.GetUnreadMs() != 600 || state.GetWaitingMs() != 400 {
		t.Errorf("%v ms unread, of these %v wait for a turn; want 600 and 400", state.GetUnreadMs(), state.GetWaitingMs())
	}
	p.handle(owner, &wire.WatcherUpdate{TurnsOnly: true, EndedPrefills: []uint64{2, 3}})
	heartbeat(200)
	if state := received(w, watcher); state.GetUnreadMs() != 200 || state.GetWaitingMs() != 0 {
		t.Errorf("%v ms unread, of these %v wait for a turn; want 200, as the gateway has told of its prompt, and 0", state.GetUnreadMs(), state.GetWaitingMs())
	}
}

// TestCustomersShareTurns has a gateway ask for many turns for one customer and a second one for two of others, equally urgent, one of them
// without a name as from an older gateway. It guards against customers whose prompts wait for all of the first one's.
func TestCustomersShareTurns(t *testing.T) {
	_, p, clock := newTestTurns()
	byShare := metrics.GetOrCreateCounter(`gypsumbank_agent_turns_by_share_total`)
	before := byShare.Get()
	first, second := p.add(), p.add()
	request := func(id, customer uint64) *wire.PrefillRequest {
		return &wire.PrefillRequest{Id: id, PrefillMs: 200, Priority: 1, ObjectiveMs: 5000, WaitMs: 9000, Customer: customer}
	}
	busy := &wire.WatcherUpdate{TurnsOnly: true}
	for id := range uint64(6) {
		busy.PrefillRequests = append(busy.PrefillRequests, request(id+1, 77))
	}
	p.handle(first, busy)
	decided(p, first)
	p.handle(second, &wire.WatcherUpdate{TurnsOnly: true, PrefillRequests: []*wire.PrefillRequest{request(1, 78), request(2, 0)}})
	decided(p, second)
	clock.advance(200 * time.Millisecond)
	p.handle(first, &wire.WatcherUpdate{TurnsOnly: true, EndedPrefills: []uint64{1}})
	if got := decided(p, second); len(got.GetGrantedPrefills()) != 1 {
		t.Errorf("after the first turn the second gateway got %v, want a grant", got)
	}
	clock.advance(200 * time.Millisecond)
	p.handle(second, &wire.WatcherUpdate{TurnsOnly: true, EndedPrefills: []uint64{1}})
	if got := decided(p, second); len(got.GetGrantedPrefills()) != 1 {
		t.Errorf("after the second turn the second gateway got %v, want a grant to the request without a customer", got)
	}
	clock.advance(200 * time.Millisecond)
	p.handle(second, &wire.WatcherUpdate{TurnsOnly: true, EndedPrefills: []uint64{2}})
	if got := decided(p, first); len(got.GetGrantedPrefills()) != 1 {
		t.Errorf("after the third turn the first gateway got %v, want a grant", got)
	}
	if got := byShare.Get() - before; got != 2 {
		t.Errorf("%d turns counted as granted by share, want 2", got)
	}
}
