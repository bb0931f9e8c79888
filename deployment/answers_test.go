package deployment_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumbank/deployment"
	client "gypsumbank/engine"
	"gypsumbank/link"
	"gypsumbank/standin/engine"
	"gypsumbank/standin/fault"
	"gypsumbank/standin/ledger"
	"gypsumbank/timeline"
)

// linkSidecars starts a link to every model sidecar and puts its address into the VM lists in place of the sidecar's. It
// waits until the roles have read the lists and returns the links, through which a test injects network faults.
func linkSidecars(t *testing.T, d *deployment.Deployment) []*link.Link {
	t.Helper()
	o, err := d.Operator()
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	vms, err := o.VMs(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var links []*link.Link
	for _, vm := range vms {
		if vm.Role != "model" {
			continue
		}
		l, err := link.New(vm.Address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		vm.Address = l.Address()
		if err := d.PutVM(vm); err != nil {
			t.Fatal(err)
		}
		links = append(links, l)
	}
	time.Sleep(d.Size().ListLag + 500*time.Millisecond)
	return links
}

// expectedText returns the complete answer of the stand-in engines to a prompt, which depends only on the arguments.
func expectedText(model, prompt string, seed uint64) string {
	request := client.Request{Model: model + "@1", Prompt: prompt, Seed: seed, MaxTokens: 4096}
	var text strings.Builder
	for i := range engine.AnswerTokens(request) {
		text.WriteString(engine.Token(request, i))
	}
	return text.String()
}

// sendCompletion sends a completion that is not streamed and returns its status, outcome and body. If there is no
// response, the status is 0 and the body is the error.
func sendCompletion(ctx context.Context, d *deployment.Deployment, entry int, model, prompt string, seed uint64) (status int, outcome, body string) {
	text := fmt.Sprintf(`{"model":%q,"prompt":%q,"seed":%d,"max_tokens":4096}`, model, prompt, seed)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.URL(entry)+"/v1/completions", strings.NewReader(text))
	if err != nil {
		return 0, "", err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+d.Size().Key(d.Size().Members[0]))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err.Error()
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", err.Error()
	}
	return response.StatusCode, response.Header.Get("Gypsumbank-Outcome"), string(answer)
}

// checkCompleteAnswers sends concurrent requests, calls injectFault while they run and checks that each gets the
// complete answer to its own prompt.
func checkCompleteAnswers(t *testing.T, d *deployment.Deployment, requests, tokens int, injectFault func()) {
	t.Helper()
	var callers sync.WaitGroup
	for i := range requests {
		callers.Add(1)
		go func() {
			defer callers.Done()
			model := deployment.ModelName(i % d.Size().Models)
			prompt := fmt.Sprintf("question %d [[length=%d]]", i, tokens)
			status, _, body := sendCompletion(t.Context(), d, i%len(d.Entries()), model, prompt, uint64(i))
			if status != http.StatusOK || !strings.Contains(body, fmt.Sprintf("%q", expectedText(model, prompt, uint64(i)))) {
				t.Errorf("request %d got no complete answer: status %d, body %.300s", i, status, body)
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	injectFault()
	callers.Wait()
}

// TestAnswersAreWholeUnderFaults injects faults of links, targets and the table service while requests run. Each
// request must get its complete answer, without lost, repeated or foreign tokens.
func TestAnswersAreWholeUnderFaults(t *testing.T) {
	const requests, tokens = 24, 120
	tests := map[string]func(d *deployment.Deployment, links []*link.Link){
		"no fault": func(*deployment.Deployment, []*link.Link) {},
		"open connections pass no more data": func(_ *deployment.Deployment, links []*link.Link) {
			for _, l := range links {
				l.SilenceOpen()
			}
		},
		"connections are cut": func(_ *deployment.Deployment, links []*link.Link) {
			for range 3 {
				for _, l := range links {
					l.CloseConnections()
				}
				time.Sleep(200 * time.Millisecond)
			}
		},
		"a target crashes": func(d *deployment.Deployment, _ []*link.Link) { d.Engines()[0].Crash() },
		"a sidecar drains": func(d *deployment.Deployment, _ []*link.Link) { _ = d.Sidecars()[0].Stop() },
		"a target is 50 times slower for a second": func(d *deployment.Deployment, _ []*link.Link) {
			d.Engines()[3].Faults().Put(fault.Faults{Slowdown: 50})
			time.Sleep(time.Second)
			d.Engines()[3].Faults().Put(fault.Faults{})
		},
		"the table service does not answer": func(d *deployment.Deployment, _ []*link.Link) {
			d.Table().Faults().Put(fault.Faults{Silent: true})
		},
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t, deployment.Small())
			links := linkSidecars(t, d)
			checkCompleteAnswers(t, d, requests, tokens, func() { injectFault(d, links) })
		})
	}
}

// TestCrashingRequestTakesDownTwoTargetsAtMost sends a request that crashes its target, again and again through both
// entries and beside other requests. It must be refused once it has crashed two targets, and the other requests must
// be answered.
func TestCrashingRequestTakesDownTwoTargetsAtMost(t *testing.T) {
	d := startDeployment(t, deployment.Small())
	checkCompleteAnswers(t, d, 12, 150, func() {
		for i := range 6 {
			status, outcome, body := sendCompletion(t.Context(), d, i%2, deployment.ModelName(0), "[[crash]]", 1)
			if status != http.StatusUnprocessableEntity {
				t.Errorf("submission %d of the crashing request: status %d, outcome %s, body %s", i, status, outcome, body)
			}
		}
	})
	crashes := 0
	for _, e := range d.Engines() {
		crashes += e.Crashes()
	}
	if crashes > 2 {
		t.Errorf("targets crashed %d times, want at most 2", crashes)
	}
}

// TestCrashingCallTakesDownTwoTargetsAtMost guards against a call of a plain service that crashes a replica each time that it comes,
// also under another idempotency key. Other calls must be answered.
func TestCrashingCallTakesDownTwoTargetsAtMost(t *testing.T) {
	cases := map[string]func(submission int) map[string]string{
		"without a key":  func(int) map[string]string { return nil },
		"under new keys": func(n int) map[string]string { return map[string]string{"Idempotency-Key": fmt.Sprint("key", n)} },
	}
	for name, headers := range cases {
		t.Run(name, func(t *testing.T) {
			d := startDeployment(t, deployment.Small())
			last := 0
			for i := range 6 {
				response, text := post(t, d, i%2, "/services/ledger/events", `{"id":"`+ledger.CrashingID+`"}`, headers(i))
				last = response.StatusCode
				t.Logf("submission %d: status %d: %s", i, response.StatusCode, text)
				time.Sleep(600 * time.Millisecond)
			}
			if last != http.StatusUnprocessableEntity {
				t.Errorf("the last submission got status %d, want %d", last, http.StatusUnprocessableEntity)
			}
			crashes := 0
			for _, l := range d.Ledgers() {
				crashes += l.Crashes()
			}
			if crashes > 2 || crashes == 0 {
				t.Errorf("targets crashed %d times, want 1 or 2", crashes)
			}
			if response, text := post(t, d, 0, "/services/ledger/events", `{"id":"sound"}`, headers(99)); response.StatusCode != http.StatusCreated {
				t.Errorf("another call got status %d: %s", response.StatusCode, text)
			}
		})
	}
}

// TestNeighboursOfACrashAreNotBlamedForLong crashes a target twice while the same prompts run, though none of them is
// the cause. The prompts become crash suspects and must still be answered, and not be refused as the cause.
func TestNeighboursOfACrashAreNotBlamedForLong(t *testing.T) {
	d := startDeployment(t, deployment.Small())
	for range 2 {
		checkCompleteAnswers(t, d, 12, 100, func() { d.Engines()[0].Crash() })
		time.Sleep(2 * time.Second)
	}
}

// TestLeavingTargetGetsNoNewWork drains a target whose long run keeps it up, while the entry of the same availability
// zone, which would prefer it, sends requests. The VM list never shows that the target leaves, so the entry must learn
// it from the target itself.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	size := deployment.Small()
	size.ModelReplicas, size.Models = 2, 2
	size.Grace = 8 * time.Second
	d := startDeployment(t, size)
	leaving := d.Sidecars()[0]
	go sendCompletion(t.Context(), d, 0, deployment.ModelName(0), "[[length=1000]]", 1)
	time.Sleep(200 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- leaving.Stop() }()
	time.Sleep(3 * time.Second)
	settledAt := time.Now()
	for i := range 60 {
		_, _, _ = sendCompletion(t.Context(), d, 0, deployment.ModelName(i%size.Models), "[[length=3]]", 1)
	}
	for _, entry := range d.Entries() {
		events, _ := entry.Node.Ring().After(0)
		for _, event := range events {
			if event.GetTarget() == leaving.Name && event.GetKind() == "request-routed" && timeline.Time(event.GetClock()).After(settledAt) {
				t.Errorf("%s routed request %s to the draining target: %v", entry.Name, event.GetRequestId(), event)
			}
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestRestartedTargetsGetWorkAgain restarts every sidecar under its name while callers send requests. Afterwards no
// entry may take the new incarnations for draining targets, and completions and calls without a key must succeed.
func TestRestartedTargetsGetWorkAgain(t *testing.T) {
	size := deployment.Small()
	size.ModelReplicas, size.Models = 2, 2
	d := startDeployment(t, size)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 4 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				_, _, _ = sendCompletion(t.Context(), d, i%2, deployment.ModelName(i%2), "[[length=100]]", 1)
				post(t, d, i%2, "/services/ledger/events", fmt.Sprintf(`{"id":"during-%d-%d"}`, i, n), nil)
			}
		})
	}
	for i, role := range d.Sidecars() {
		if err := role.Stop(); err != nil {
			t.Fatal(err)
		}
		if err := d.Restart(i); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	callers.Wait()
	time.Sleep(4 * time.Second)
	for _, entry := range d.Entries() {
		for _, vm := range entry.Node.Roster().All() {
			if vm.Leaving {
				t.Errorf("%s still lists the restarted %s as leaving", entry.Name, vm.Name)
			}
		}
	}
	for i := range 4 {
		status, _, body := sendCompletion(t.Context(), d, i%2, deployment.ModelName(i%2), "[[length=2]]", 1)
		if status != http.StatusOK {
			t.Errorf("completion after the restarts: status %d: %s", status, body)
		}
		response, text := post(t, d, i%2, "/services/ledger/events", fmt.Sprintf(`{"id":"after-%d"}`, i), nil)
		if response.StatusCode != http.StatusCreated {
			t.Errorf("event without a key after the restarts: status %d: %s", response.StatusCode, text)
		}
	}
}

// TestCallsWaitForRestartOfKeyOwner stops a ledger sidecar, which may own the slots of some keys, for 1.5 s. Calls sent
// in that time must wait for its restart and run exactly once, instead of failing.
func TestCallsWaitForRestartOfKeyOwner(t *testing.T) {
	size := deployment.Small()
	size.ModelReplicas, size.Models, size.Adapters = 1, 1, 1
	d := startDeployment(t, size)
	time.Sleep(5 * time.Second)
	ledger := size.ModelReplicas
	if err := d.Sidecars()[ledger].Stop(); err != nil {
		t.Fatal(err)
	}
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() {
			id := fmt.Sprintf("waits-%d", i)
			headers := map[string]string{"Idempotency-Key": id}
			response, text := post(t, d, i%2, "/services/ledger/events", fmt.Sprintf(`{"id":%q}`, id), headers)
			if response.StatusCode != http.StatusCreated || d.LedgerCounts().Runs(id) != 1 {
				t.Errorf("call with key %s: status %d, ran %d times: %s", id, response.StatusCode, d.LedgerCounts().Runs(id), text)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if err := d.Restart(ledger); err != nil {
		t.Fatal(err)
	}
	callers.Wait()
}
