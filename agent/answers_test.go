package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumbank/tally"
	"gypsumbank/wire"
)

// answersTable is an agent whose gateways, in three zones, report answers of the run 1 of target t.
type answersTable struct {
	w        *watchers
	clock    *fakeClock
	gateways []*watcher
}

func newAnswersTable(gateways int) *answersTable {
	a := &answersTable{}
	a.w, a.clock = newTestWatchers()
	for range gateways {
		a.gateways = append(a.gateways, a.w.add())
	}
	for i := range gateways {
		a.report(i, &wire.WatcherUpdate{AvailabilityZone: string(rune('a' + i%3))})
	}
	a.w.publish(&wire.TargetState{TargetId: "t", Born: 1})
	a.receiveAll()
	return a
}

func (a *answersTable) report(gateway int, update *wire.WatcherUpdate) {
	update.Node = fmt.Sprint("g", gateway)
	a.w.handleHeartbeat(a.gateways[gateway], update)
}

func (a *answersTable) reportAnswers(gateway int, failed uint32) {
	a.report(gateway, &wire.WatcherUpdate{Answers: &wire.Answers{TargetId: "t", Born: 1, Failed: failed}})
}

// receiveAll returns the states that are queued for the gateways.
func (a *answersTable) receiveAll() []*wire.TargetState {
	var states []*wire.TargetState
	for _, g := range a.gateways {
		states = append(states, received(a.w, g))
	}
	return states
}

// nextStates returns the states of the next heartbeat.
func (a *answersTable) nextStates(born int64) []*wire.TargetState {
	a.clock.advance(maxHeartbeatInterval)
	a.w.publish(&wire.TargetState{TargetId: "t", Born: born})
	return a.receiveAll()
}

// TestFailuresAreToldToOtherGateways guards against gateways that learn of a failing engine only by their own requests, and against such that
// get their own answers back.
func TestFailuresAreToldToOtherGateways(t *testing.T) {
	a := newAnswersTable(tally.MinGateways)
	a.reportAnswers(0, 9)
	states := a.nextStates(1)
	if got := states[0].GetOthersFailedPercent(); got != 0 {
		t.Errorf("the only gateway with answers is told that %d in 100 fail to others", got)
	}
	for g, state := range states[1:] {
		if state.GetOthersFailedPercent() == 0 {
			t.Errorf("gateway %d is not told of the failures of another", g+1)
		}
	}
	a.reportAnswers(0, 1)
	a.reportAnswers(4, 1)
	if got := a.nextStates(1)[1].GetOthersFailedPercent(); got < 10 {
		t.Errorf("%d in 100 after failures at two gateways of two zones, want at least 10", got)
	}
}

// TestSlownessIsToldToOtherGateways guards against gateways that learn of a slow engine only by their own requests.
func TestSlownessIsToldToOtherGateways(t *testing.T) {
	a := newAnswersTable(tally.MinGateways)
	for g := range 6 {
		a.report(g, &wire.WatcherUpdate{Answers: &wire.Answers{TargetId: "t", Born: 1, Served: 1, FirstByteMs: 800, ExpectedMs: 200}})
	}
	if got := a.nextStates(1)[6].GetOthersSlownessTenths(); got < 20 || got > 40 {
		t.Errorf("slowness of %d tenths of an engine that is 4 times slower, want 20 to 40", got)
	}
}

// TestFewGatewaysAreToldNothing guards deployments with few gateways against states other than those they had.
func TestFewGatewaysAreToldNothing(t *testing.T) {
	a := newAnswersTable(tally.MinGateways - 1)
	for g := range a.gateways {
		a.report(g, &wire.WatcherUpdate{Answers: &wire.Answers{TargetId: "t", Born: 1, Failed: 5, FirstByteMs: 5000, ExpectedMs: 500}})
	}
	for g, state := range a.nextStates(1) {
		if !proto.Equal(state, &wire.TargetState{TargetId: "t", Born: 1, Watchers: tally.MinGateways - 1, Planner: "g0"}) {
			t.Errorf("gateway %d received %v", g, state)
		}
	}
}

// TestAnswersEndWithTheRun guards against an engine that is avoided for what failed before its restart, also by reports that come late.
func TestAnswersEndWithTheRun(t *testing.T) {
	a := newAnswersTable(tally.MinGateways)
	for g := range 4 {
		a.reportAnswers(g, 2)
	}
	a.nextStates(2)
	a.reportAnswers(4, 2)
	if got := a.nextStates(2)[6].GetOthersFailedPercent(); got != 0 {
		t.Errorf("%d in 100 of a run without answers fail", got)
	}
}

// TestClearRiseOfFailuresIsSentAtOnce guards against states that tell of a failing engine only with the next heartbeat, and against such that
// are sent for each failure: the time between two is that of changes of the load.
func TestClearRiseOfFailuresIsSentAtOnce(t *testing.T) {
	const gateways = 30
	a := newAnswersTable(gateways)
	a.clock.advance(requestsIntervalPerWatcher * gateways)
	a.reportAnswers(0, 1)
	if state := a.receiveAll()[29]; state != nil {
		t.Errorf("a state was sent for the failure of a single request: %v", state)
	}
	a.reportAnswers(1, 1)
	a.reportAnswers(2, 1)
	if state := a.receiveAll()[29]; state.GetOthersFailedPercent() < 10 {
		t.Errorf("after failures at three gateways received %v, want a state with at least 10 in 100", state)
	}
	for g := range 15 {
		a.reportAnswers(3+g, 1)
	}
	if state := a.receiveAll()[29]; state != nil {
		t.Errorf("a second state was sent at the same moment: %v", state)
	}
	a.clock.advance(requestsIntervalPerWatcher * gateways)
	a.reportAnswers(18, 1)
	if state := a.receiveAll()[29]; state.GetOthersFailedPercent() < 30 {
		t.Errorf("after failures at 19 gateways received %v, want a state with at least 30 in 100", state)
	}
	sent := 0
	for n := range 100 { // a failure each 10 ms
		a.clock.advance(10 * time.Millisecond)
		a.reportAnswers(3+n%20, 1)
		if a.receiveAll()[29] != nil {
			sent++
		}
	}
	if most := int(time.Second / (requestsIntervalPerWatcher * gateways)); sent > most {
		t.Errorf("%d states were sent within a second for failures, at most %d are allowed", sent, most)
	}
}

// TestAnswersCostFewBytes guards against reports that make an agent send more messages: at the usual load of sent_bytes_test.go, with
// one in 100 answers that fails and first bytes that take 0.5 to 2 times as long as expected, the messages of 30 gateways are as many as
// without reports, and their bytes at most 2 in 100 more.
func TestAnswersCostFewBytes(t *testing.T) {
	t.Parallel()
	const played = 20 * time.Second
	perS := func(reports bool) (bytes, messages float64) {
		r := newRelayUnderLoad(30, meanLoad, thisRelease())
		if reports {
			r.answerRandom = rand.New(rand.NewPCG(3, 4))
		}
		r.play(2 * time.Second)
		r.bytes, r.messages = 0, 0
		r.play(played)
		return float64(r.bytes) / played.Seconds(), float64(r.messages) / played.Seconds()
	}
	bytes, messages := perS(false)
	withBytes, withMessages := perS(true)
	t.Logf("%.0f B/s and %.1f messages/s without reports, %.0f B/s and %.1f messages/s with them", bytes, messages, withBytes, withMessages)
	if withMessages > 1.01*messages || withBytes > 1.02*bytes {
		t.Errorf("%.0f B/s and %.1f messages/s with reports, want at most %.0f and %.1f", withBytes, withMessages, 1.02*bytes, 1.01*messages)
	}
}

// addAnswer adds a request that has ended to what its gateway reports. It draws from numbers of its own, so that the load is the same
// without reports.
func (r *relayUnderLoad) addAnswer(ended runningRequest) {
	if r.answerRandom == nil {
		return
	}
	answers := ended.gateway.answers
	if answers == nil {
		answers = &wire.Answers{TargetId: "i-0000000000", Born: 1796590000000000000}
		ended.gateway.answers = answers
	}
	expectedMs := 30 + ended.prefillMs
	answers.ExpectedMs += expectedMs
	answers.FirstByteMs += expectedMs * float32(0.5+1.5*r.answerRandom.Float64())
	if r.answerRandom.IntN(100) == 0 {
		answers.Failed++
		return
	}
	answers.Served++
}
