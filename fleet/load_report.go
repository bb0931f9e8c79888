package fleet

import (
	"gypsumbank/registry"
	"gypsumbank/tally"
)

// ModelUse is the number of this gateway's requests that use an adapter, or a model if the adapter has no name.
type ModelUse struct {
	registry.Adapter
	Requests int
}

// LoadReport is the part of a target's load that comes from this gateway, to be reported to the target's agent.
type LoadReport struct {
	Uses             []ModelUse
	PendingPrefillMs float64      // expected prefill time of the requests without a first byte
	Parts            []PromptPart // prompt parts sent since the last report
	Run              tally.Run    // the run of the target that Answers are of
	Answers          tally.Report // since the last report; empty among few gateways
}

// TakeLoadReport returns this gateway's load on the one target that matches, and removes the reported prompt parts and answers from
// what is to be reported.
func (f *Fleet) TakeLoadReport(matches func(registry.Target) bool) LoadReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.states {
		if !matches(s.Target) {
			continue
		}
		report := LoadReport{PendingPrefillMs: s.pendingPrefillMs, Parts: s.unsentParts}
		s.unsentParts = nil
		s.reportedInflight = s.inflight
		if answers := s.performance.takeUnreported(); s.watchers >= tally.MinGateways {
			report.Run, report.Answers = tally.Run{TargetID: s.ID, Born: s.Born}, answers
		}
		for a, n := range s.requestsByAdapter {
			report.Uses = append(report.Uses, ModelUse{Adapter: a, Requests: n})
		}
		for model, n := range s.requestsByModel {
			if n > 0 {
				report.Uses = append(report.Uses, ModelUse{Adapter: registry.Adapter{Model: model}, Requests: n})
			}
		}
		return report
	}
	return LoadReport{}
}
