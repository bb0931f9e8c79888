package crashcheck_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumbank/crashcheck"
	"gypsumbank/registry"
	"gypsumbank/request"
)

var target = registry.Target{ID: "e1", Born: 7, Address: "127.0.0.1:9"}

// TestCheckerReportsEndedRunsOnly has the answers of a target break off and the target end, or not.
func TestCheckerReportsEndedRunsOnly(t *testing.T) {
	refused := fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	cases := map[string]struct {
		dialErrs   []error // of the checks in turn, the last one repeated
		agentSays  bool
		laterRun   registry.Target // that becomes known meanwhile
		wantReport bool
	}{
		"nothing listens":                {dialErrs: []error{refused}, wantReport: true},
		"listens for a moment more":      {dialErrs: []error{nil, refused}, wantReport: true},
		"listens":                        {dialErrs: []error{nil}},
		"can't be reached":               {dialErrs: []error{errors.New("timeout")}},
		"started again, its agent knows": {dialErrs: []error{nil}, agentSays: true, wantReport: true},
		"started again with its id":      {dialErrs: []error{nil}, laterRun: registry.Target{ID: target.ID, Born: 8, Address: "127.0.0.1:10"}, wantReport: true},
		"another has its address":        {dialErrs: []error{nil}, laterRun: registry.Target{ID: "e2", Born: 8, Address: target.Address}, wantReport: true},
		"it is still listed":             {dialErrs: []error{nil}, laterRun: target},
		"another has another address":    {dialErrs: []error{nil}, laterRun: registry.Target{ID: "e2", Born: 8, Address: "127.0.0.1:10"}},
		"an earlier one had its address": {dialErrs: []error{nil}, laterRun: registry.Target{ID: "e0", Born: 6, Address: target.Address}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			dials := 0
			var reports []crashcheck.Crash
			dial := func(context.Context, string) error {
				mu.Lock()
				defer mu.Unlock()
				dials++
				return test.dialErrs[min(dials, len(test.dialErrs))-1]
			}
			checker := crashcheck.New(dial, func(crash crashcheck.Crash) {
				mu.Lock()
				defer mu.Unlock()
				reports = append(reports, crash)
			}, time.Now)
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			defer cancel()
			first, second, late := request.Content{Hash: 1}, request.Content{Hash: 2}, request.Content{Hash: 3}
			checker.Suspect(target, []request.Content{first})
			checker.Suspect(target, []request.Content{second})
			if test.agentSays {
				time.AfterFunc(300*time.Millisecond, func() { checker.MarkEnded(target.ID, target.Born, "agent") })
			}
			if test.laterRun.ID != "" {
				time.AfterFunc(300*time.Millisecond, func() { checker.MarkRuns([]registry.Target{test.laterRun}, "registry") })
			}
			if err := checker.Run(ctx); !errors.Is(err, context.DeadlineExceeded) {
				t.Fatal(err)
			}
			checker.Suspect(target, []request.Content{late})
			mu.Lock()
			defer mu.Unlock()
			if !test.wantReport {
				if len(reports) > 0 {
					t.Errorf("reported %v", reports)
				}
				return
			}
			if len(reports) != 2 || !slices.Equal(reports[0].Contents, []request.Content{first, second}) || !slices.Equal(reports[1].Contents, []request.Content{late}) {
				t.Errorf("reported %v, want the two broken answers together and the late one", reports)
			}
		})
	}
}
