package fleet

import (
	"testing"
	"time"

	"gypsumbank/registry"
)

// TestNewCopyFetchesWhatAnotherKeeps names its load: sessions with long prompts come back while a further copy of their model
// has just been loaded and the first one is busy reading.
func TestNewCopyFetchesWhatAnotherKeeps(t *testing.T) {
	tests := map[string]struct {
		kept   string // session that e0 keeps
		silent bool   // e0's agent has missed a heartbeat
		idle   bool   // e0 reads nothing else
		target string
		from   string
	}{
		"first copy is idle":       {kept: "s", idle: true, target: "e0"},
		"first copy is busy":       {kept: "s", target: "e1", from: "10.0.0.1:80"},
		"first copy may be frozen": {kept: "s", silent: true, target: "e1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := engines([]string{"hot"}, []string{"hot"})
			now := start
			first := registry.Target{ID: "e0", Service: service}
			a := f.Assign(Choice{Target: first}, draft("hot", test.kept), now)
			a.End(Served, now)
			if !test.idle {
				f.Assign(Choice{Target: first, expectedUnread: 600}, ask("hot"), now)
			}
			later := now.Add(600 * time.Millisecond)
			f.Observe("e1", observation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}}), later)
			if !test.silent {
				f.Observe("e0", observation(registry.Report{Born: 1, Models: []registry.Model{{Name: "hot"}}}), later)
			}
			choice, ok := f.Choose(Query{Service: service, Request: draft("hot", test.kept)}, later)
			if !ok || choice.Target.ID != test.target || choice.FetchFrom != test.from {
				t.Errorf("choice %s, fetching from %q, want %s and %q", choice.Target.ID, choice.FetchFrom, test.target, test.from)
			}
			if fetches := choice.FetchTokens > 0; fetches != (test.from != "") {
				t.Errorf("%d tokens fetched", choice.FetchTokens)
			}
		})
	}
}

// TestShortPromptsAreReadAgain has a part so short that its transfer costs more than reading it.
func TestShortPromptsAreReadAgain(t *testing.T) {
	f := engines([]string{"hot"}, []string{"hot"})
	first := registry.Target{ID: "e0", Service: service}
	f.Assign(Choice{Target: first}, ask("hot"), start).End(Served, start)
	f.Assign(Choice{Target: first, expectedUnread: 600}, draft("hot", "other"), start)
	choice, ok := f.Choose(Query{Service: service, Request: ask("hot")}, start)
	if !ok || choice.Target.ID != "e1" || choice.FetchFrom != "" {
		t.Errorf("choice %+v", choice)
	}
}
