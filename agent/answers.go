package agent

import (
	"math"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"gypsumbank/tally"
	"gypsumbank/wire"
)

const (
	// errorRateRise is a rise of the error rate that is sent at once, as far as changes of the load may be: about that of two gateways'
	// first failures at a usual load.
	errorRateRise = 0.1
	// loggedErrorRate is the error rate from which the failures that gateways report are logged, until it is below minLoggedErrorRate.
	loggedErrorRate    = 0.2
	minLoggedErrorRate = 0.05
)

// recordAnswers adds what a gateway reports of the answers of the target; the caller holds the lock.
func (w *watchers) recordAnswers(from *watcher, heartbeat *wire.WatcherUpdate) {
	if zone := heartbeat.GetAvailabilityZone(); zone != "" {
		from.zone = zone
	}
	answers := heartbeat.GetAnswers()
	if answers == nil {
		return
	}
	report := tally.Report{
		Served: int(answers.GetServed()), Failed: int(answers.GetFailed()), TookMs: float64(answers.GetFirstByteMs()), ExpectedMs: float64(answers.GetExpectedMs()),
	}
	w.answers.Add(from.node, from.zone, tally.Run{TargetID: answers.GetTargetId(), Born: answers.GetBorn()}, report, w.now())
	metrics.GetOrCreateCounter(`gypsumbank_agent_reported_answers_total{result="served"}`).Add(report.Served)
	metrics.GetOrCreateCounter(`gypsumbank_agent_reported_answers_total{result="failed"}`).Add(report.Failed)
}

// sharesAnswers reports whether there are so many gateways that each is told what the others have seen; the caller holds the lock.
func (w *watchers) sharesAnswers() bool { return len(w.members) >= tally.MinGateways }

// addOthers returns a state with what the other gateways have seen of the answers of the target, if that is worth telling; the caller holds
// the lock.
func (w *watchers) addOthers(state *wire.TargetState, recipient *watcher) *wire.TargetState {
	if !w.sharesAnswers() || state.GetEngineDown() {
		return state
	}
	others := w.answers.Others(recipient.node, recipient.zone, w.now())
	if others == (tally.Estimate{}) {
		return state
	}
	message := proto.Clone(state).(*wire.TargetState)
	message.OthersFailedPercent, message.OthersSlownessTenths = uint32(math.Round(100*others.ErrorRate)), uint32(math.Round(10*others.Slowness))
	return message
}

// errorRate returns the error rate by the reports of all gateways; 0 with few gateways. The caller holds the lock.
func (w *watchers) errorRate() float64 {
	if !w.sharesAnswers() {
		return 0
	}
	return w.answers.All(w.now()).ErrorRate
}

// errorRateRiseDue reports whether the error rate has risen so much since the last state that it is to be sent now; the caller holds
// the lock.
func (w *watchers) errorRateRiseDue(gateways int) bool {
	return w.errorRate() >= w.errorRateSent+errorRateRise && w.loadChangeDue(gateways)
}

// reportedErrorRate returns the error rate of the target by the reports of all gateways; 0 with few gateways.
func (w *watchers) reportedErrorRate() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.errorRate()
}

// logErrorRate logs that gateways begin to report many failures of the engine, and that they no longer do.
func (a *Agent) logErrorRate() {
	rate := a.watchers.reportedErrorRate()
	switch log := a.log.WithFields(logrus.Fields{"target": a.targetID, "error-rate": rate}); {
	case rate >= loggedErrorRate && !a.answersFail:
		a.answersFail = true
		log.Warn("gateways report failures of the engine")
	case rate < minLoggedErrorRate && a.answersFail:
		a.answersFail = false
		log.Info("gateways report no more failures of the engine")
	}
}
