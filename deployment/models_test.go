package deployment_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumbank/deployment"
	"gypsumbank/operator"
	"gypsumbank/standin/fault"
)

// checkModelsAnswer checks that each of the models and adapters answers a completion before the timeout, which is for
// all of them together. The entries take the requests in rotation.
func checkModelsAnswer(t *testing.T, d *deployment.Deployment, names []string, timeout time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	for i, name := range names {
		for {
			status, _, body := sendCompletion(ctx, d, i%len(d.Entries()), name, "[[length=2]]", 1)
			if status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				t.Errorf("%s did not answer before the timeout: status %d: %s", name, status, body)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// checkNoMemoryViolations checks that no engine got a load order that exceeds its memory.
func checkNoMemoryViolations(t *testing.T, d *deployment.Deployment) {
	t.Helper()
	for i, e := range d.Engines() {
		if e.Violations() > 0 {
			t.Errorf("engine %d: %d orders exceeded its memory", i, e.Violations())
		}
	}
}

// TestModelsStayReachableWhileListsChange replaces, adds and removes models while orders to the engines are delayed or
// lost. All listed models must answer, a removed one must not, and no engine's memory may be exceeded.
func TestModelsStayReachableWhileListsChange(t *testing.T) {
	tests := map[string]bool{"fences checked": true, "fences ignored": false}
	for name, checksFence := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			size := deployment.Small()
			size.ChecksFence = checksFence
			d := startDeployment(t, size)
			o, err := d.Operator()
			if err != nil {
				t.Fatal(err)
			}
			defer o.Close()
			for _, e := range d.Engines() {
				e.Faults().Put(fault.Faults{LateOrderMS: 50, LoseOrder: 0.02})
			}
			names := []string{"blend-00", "blend-01", "blend-02", "blend-03", "blend-04", "counter-00", "counter-01"}
			first := size.Allowances()
			second := strings.ReplaceAll(first, "[model blend-01]\nversion = 1", "[model blend-01]\nversion = 2")
			third := second + "\n[model fresh]\nmemory-mib = 14336\n[adapter fresh-rose]\nmodel = fresh\nmemory-mib = 64\n"
			fourth := strings.ReplaceAll(strings.ReplaceAll(third, "[model blend-05]\nversion = 1\nmemory-mib = 14336\n", ""), "[adapter counter-05]\nmodel = blend-05\nversion = 1\nmemory-mib = 64\n", "")
			for version, text := range []string{second, third, fourth} {
				if _, err := o.Apply(t.Context(), operator.Allowances, []byte(text), uint64(version+1)); err != nil {
					t.Fatal(err)
				}
				if version > 0 {
					names = append(names, "fresh", "fresh-rose")
				}
				checkModelsAnswer(t, d, names, 40*time.Second)
			}
			if status, _, _ := sendCompletion(t.Context(), d, 0, "blend-05", "x", 1); status != http.StatusNotFound {
				t.Errorf("request for a removed model: status %d, want 404", status)
			}
			checkNoMemoryViolations(t, d)
		})
	}
}

// TestModelsComeBackAfterTheLossOfTheirHolders crashes every engine in turn, then two at once. After each crash all
// models must be loaded again and answer, without exceeding the memory of an engine.
func TestModelsComeBackAfterTheLossOfTheirHolders(t *testing.T) {
	d := startDeployment(t, deployment.Small())
	var names []string
	for i := range d.Size().Models {
		names = append(names, deployment.ModelName(i))
	}
	for i := range d.Engines() {
		d.Engines()[i].Crash()
		checkModelsAnswer(t, d, names, 20*time.Second)
	}
	for _, i := range []int{0, 1} {
		d.Engines()[i].Crash()
	}
	checkModelsAnswer(t, d, names, 20*time.Second)
	checkNoMemoryViolations(t, d)
}

// TestRequestWaitsForMemoryInUse requests a new model while long requests use every resident model, so that none can be
// evicted for it. The request must wait for the memory and then succeed.
func TestRequestWaitsForMemoryInUse(t *testing.T) {
	size := deployment.Small()
	size.ModelReplicas, size.Models, size.Adapters = 2, 3, 0
	d := startDeployment(t, size)
	o, err := d.Operator()
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	var long sync.WaitGroup
	for i := range size.Models * len(d.Entries()) {
		long.Go(func() {
			status, _, body := sendCompletion(t.Context(), d, i%2, deployment.ModelName(i/2), "[[length=900]]", 1)
			if status != http.StatusOK {
				t.Errorf("long request %d: status %d: %s", i, status, body)
			}
		})
	}
	text := size.Allowances() + "\n[model fresh]\nmemory-mib = 14336\n"
	if _, err := o.Apply(t.Context(), operator.Allowances, []byte(text), 1); err != nil {
		t.Fatal(err)
	}
	for {
		status, _, body := sendCompletion(t.Context(), d, 0, "fresh", "[[length=2]]", 1)
		if status == http.StatusNotFound {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if status != http.StatusOK {
			t.Errorf("request for the new model: status %d: %s", status, body)
		}
		break
	}
	long.Wait()
}

// TestOutcomesAreTrue compares the outcome that callers of the ledger get with the number of runs that the ledger has
// counted, for calls with and without an idempotency key.
func TestOutcomesAreTrue(t *testing.T) {
	tests := map[string]struct {
		faults  fault.Faults
		key     bool
		allowed map[string]int // runs by outcome
	}{
		"no fault":                    {fault.Faults{}, false, map[string]int{"run": 1}},
		"answer lost without a key":   {fault.Faults{LoseAnswer: 1}, false, map[string]int{"unknown": 1}},
		"answer lost with a key":      {fault.Faults{LoseAnswer: 1}, true, map[string]int{"unknown": 1}},
		"service refuses with a key":  {fault.Faults{Refuse: true}, true, map[string]int{"run": 0}},
		"service slow":                {fault.Faults{DelayMS: 700}, true, map[string]int{"run": 1}},
		"service slow without a key":  {fault.Faults{DelayMS: 700}, false, map[string]int{"run": 1}},
		"answer lost, half the calls": {fault.Faults{LoseAnswer: 0.5}, true, map[string]int{"run": 1, "unknown": 1}},
	}
	d := startDeployment(t, deployment.Small())
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, l := range d.Ledgers() {
				l.Faults().Put(test.faults)
			}
			for i := range 4 {
				id := strings.ReplaceAll(name, " ", "-") + fmt.Sprint(i)
				headers := map[string]string{}
				if test.key {
					headers["Idempotency-Key"] = id
				}
				response, text := post(t, d, i%2, "/services/ledger/events", fmt.Sprintf(`{"id":%q}`, id), headers)
				outcome := response.Header.Get("Gypsumbank-Outcome")
				runs, ok := test.allowed[outcome]
				if !ok || runs != d.LedgerCounts().Runs(id) {
					t.Errorf("call %s: outcome %q, ran %d times: %s", id, outcome, d.LedgerCounts().Runs(id), text)
				}
			}
		})
	}
}
