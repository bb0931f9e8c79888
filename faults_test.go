package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumbank/deployment"
	"gypsumbank/standin/fault"
	"gypsumbank/vmlist"
)

const (
	seedVariable   = "GYPSUMBANK_SEED"
	roundsVariable = "GYPSUMBANK_ROUNDS"
	defaultRounds  = 6
)

// envUint returns the value of an environment variable, or fallback if it is not set.
func envUint(t *testing.T, variable string, fallback uint64) uint64 {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("environment variable %s: %v", variable, err)
	}
	return value
}

// outcomeLog holds the outcomes that callers received for each event, by event id.
type outcomeLog struct {
	mu       sync.Mutex
	outcomes map[string][]string
}

func (l *outcomeLog) add(id string, got result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcome := got.outcome()
	if got.err != nil || outcome == "" {
		outcome = "no answer"
	}
	l.outcomes[id] = append(l.outcomes[id], outcome)
}

// hasOutcome reports whether a caller received an outcome for an event. It does not lock: the callers must have ended.
func (l *outcomeLog) hasOutcome(id, outcome string) bool {
	for _, reported := range l.outcomes[id] {
		if reported == outcome {
			return true
		}
	}
	return false
}

// TestTwoFaultsAtOnce injects two random faults at once in each round, in a deployment of processes, while callers send each
// event several times through all entries and request completions. GYPSUMBANK_SEED and GYPSUMBANK_ROUNDS set the seed and the
// number of rounds.
func TestTwoFaultsAtOnce(t *testing.T) {
	seed := envUint(t, seedVariable, 1)
	rounds := int(envUint(t, roundsVariable, defaultRounds))
	t.Logf("seed %d, %d rounds", seed, rounds)
	rng := rand.New(rand.NewPCG(seed, seed))
	c := startCluster(t, twoReplicaSize())
	log := &outcomeLog{outcomes: map[string][]string{}}
	for round := range rounds {
		stop := make(chan struct{})
		var callers sync.WaitGroup
		for caller := range 4 {
			callers.Add(1)
			go func() {
				defer callers.Done()
				c.sendEvents(log, stop, fmt.Sprintf("event-%d-%d", round, caller))
			}()
			callers.Add(1)
			go func() {
				defer callers.Done()
				c.checkCompletions(stop, caller)
			}()
		}
		first, second := c.randomFault(rng), c.randomFault(rng)
		for second.component == first.component {
			second = c.randomFault(rng)
		}
		t.Logf("round %d: %s and %s", round, first.name, second.name)
		time.Sleep(300 * time.Millisecond)
		first.begin()
		second.begin()
		time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
		second.end()
		first.end()
		time.Sleep(time.Second)
		close(stop)
		callers.Wait()
	}
	c.checkEvents(log)
	for i := range c.size.ModelReplicas {
		if violations := c.memoryViolations(i); violations > 0 {
			t.Errorf("engine %d: %d orders would have overrun its memory", i, violations)
		}
	}
}

// sendEvents sends each event three times, through the entries in turn: one after another for even numbers, all at once for
// odd ones.
func (c *cluster) sendEvents(log *outcomeLog, stop <-chan struct{}, prefix string) {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%s-%d", prefix, i)
		var attempts sync.WaitGroup
		for attempt := range 3 {
			send := func() { log.add(id, c.sendEvent((i+attempt)%c.size.Entries, id)) }
			if i%2 == 0 {
				send()
				continue
			}
			attempts.Go(send)
		}
		attempts.Wait()
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// checkCompletions requests completions one after another until stop is closed. Each stream must be complete (40 tokens, a
// finish event and the end mark [DONE]) or end with an error.
func (c *cluster) checkCompletions(stop <-chan struct{}, caller int) {
	for i := 0; ; i++ {
		body := fmt.Sprintf(`{"model":%q,"prompt":"question %d of %d [[length=40]]","stream":true}`, deployment.ModelName(i%c.size.Models), i, caller)
		got := c.sendRequest(i%c.size.Entries, http.MethodPost, "/v1/completions", body, "")
		ended := strings.HasSuffix(got.body, "data: [DONE]\n\n")
		if got.err == nil && got.status == http.StatusOK && ended && strings.Count(got.body, "data: ") != 42 {
			c.t.Errorf("a stream with the end mark [DONE] is not complete: %s", got.body)
		}
		if got.err == nil && got.status == http.StatusOK && !ended && !strings.Contains(got.body, `{"error"`) {
			c.t.Errorf("a stream has neither the end mark [DONE] nor an error: %s", got.body)
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// checkEvents checks that each event ran at most once and that the outcomes that callers received agree with the runs that the
// ledger counted. An event that did not run is sent again until it runs or its outcome is unknown.
func (c *cluster) checkEvents(log *outcomeLog) {
	c.t.Helper()
	uncertain := 0
	for id := range log.outcomes {
		runs := c.ledgerRuns(id)
		reported := log.outcomes[id]
		if runs > 1 {
			c.t.Errorf("event %s ran %d times; outcomes that callers received: %v", id, runs, reported)
		}
		if runs == 0 && log.hasOutcome(id, "run") {
			c.t.Errorf("event %s did not run; outcomes that callers received: %v", id, reported)
		}
		if runs > 0 && !log.hasOutcome(id, "run") && !log.hasOutcome(id, "unknown") && !log.hasOutcome(id, "no answer") {
			c.t.Errorf("event %s ran; outcomes that callers received: %v", id, reported)
		}
		if runs == 0 && !c.retryUntilRun(id) {
			uncertain++
		}
	}
	c.t.Logf("%d events, of which %d did not run and have an unknown outcome", len(log.outcomes), uncertain)
}

// retryUntilRun sends an event again until it runs or its outcome is unknown, and reports whether it ran.
func (c *cluster) retryUntilRun(id string) bool {
	c.t.Helper()
	var last result
	deadline := time.Now().Add(40 * time.Second)
	for time.Now().Before(deadline) {
		last = c.sendEvent(0, id)
		if last.outcome() == "run" {
			return true
		}
		if last.outcome() == "unknown" {
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.t.Errorf("event %s did not run before the deadline for retries; last result: %+v", id, last)
	return false
}

// clusterFault is a fault of one component of the cluster.
type clusterFault struct {
	name      string
	component string
	begin     func()
	end       func()
}

// randomFault draws one fault out of all kinds, on components that it draws first.
func (c *cluster) randomFault(rng *rand.Rand) clusterFault {
	ledger := fmt.Sprintf("ledger-%02d", rng.IntN(c.size.LedgerReplicas))
	model := fmt.Sprintf("model-%02d", rng.IntN(c.size.ModelReplicas))
	entry := c.entries[rng.IntN(len(c.entries))]
	target := "target-" + ledger
	standinFault := func(name, kind string, faults fault.Faults) clusterFault {
		return clusterFault{
			name:      kind + " of " + name,
			component: name,
			begin:     func() { c.setFaults(name, faults) },
			end:       func() { c.setFaults(name, fault.Faults{}) },
		}
	}
	freezeFault := func(name string, p *process) clusterFault {
		return clusterFault{
			name:      "freeze of " + name,
			component: name,
			begin:     func() { p.signal(syscall.SIGSTOP) },
			end:       func() { p.signal(syscall.SIGCONT) },
		}
	}
	faults := []clusterFault{
		{
			name:      "kill of " + ledger,
			component: ledger,
			begin:     func() { c.sidecars[ledger].kill() },
			end:       func() { c.startSidecar(ledger) },
		},
		{
			name:      "kill of " + model,
			component: model,
			begin:     func() { c.sidecars[model].kill() },
			end:       func() { c.startSidecar(model) },
		},
		freezeFault(ledger, c.sidecars[ledger]),
		freezeFault(model, c.sidecars[model]),
		freezeFault(entry.name, entry),
		freezeFault("table", c.table),
		freezeFault("vms", c.vmList),
		standinFault("table", "refusal", fault.Faults{Refuse: true}),
		standinFault("table", "lost answers", fault.Faults{LoseAnswer: 0.5}),
		standinFault("table", "delay", fault.Faults{DelayMS: 400}),
		standinFault(target, "lost answers", fault.Faults{LoseAnswer: 0.5}),
		standinFault(target, "silence", fault.Faults{Silent: true}),
		standinFault(target, "delay", fault.Faults{DelayMS: 500}),
	}
	return faults[rng.IntN(len(faults))]
}

// TestRollingRestartFailsNoRequest restarts every sidecar and then every entry, one at a time and by SIGTERM, under load that
// includes long streams. No request may fail.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	size := twoReplicaSize()
	size.ModelReplicas = 3
	size.Grace = time.Second
	c := startCluster(t, size)
	balancer := &loadBalancer{cluster: c}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	failures := make(chan string, 1000)
	for caller := range 6 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			balancer.sendRequests(stop, caller, failures)
		}()
	}
	for _, name := range []string{"model-00", "model-01", "model-02", "ledger-00", "ledger-01"} {
		if err := c.sidecars[name].stop(t, 4*time.Second); err != nil {
			t.Errorf("%s exited with %v", name, err)
		}
		c.startSidecar(name)
		c.waitReady()
	}
	for i, p := range c.entries {
		if err := p.stop(t, 40*time.Second); err != nil {
			t.Errorf("%s exited with %v", p.name, err)
		}
		c.entries[i] = startProcess(t, p.name, "entry", "--config="+c.dir+"/"+p.name+".ini")
		c.waitReady()
	}
	c.waitUntil(time.Minute, "100 requests sent", func() error {
		if balancer.requestsSent() < 100 {
			return fmt.Errorf("%d requests sent", balancer.requestsSent())
		}
		return nil
	})
	close(stop)
	callers.Wait()
	close(failures)
	for failure := range failures {
		t.Error(failure)
	}
}

// loadBalancer sends requests to entries that report that they are ready, as the platform's load balancer does.
type loadBalancer struct {
	cluster   *cluster
	mu        sync.Mutex
	sentCount int
}

func (b *loadBalancer) requestsSent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sentCount
}

// sendRequests sends completions and events in turn until stop is closed, and reports each failure.
func (b *loadBalancer) sendRequests(stop <-chan struct{}, caller int, failures chan<- string) {
	for i := caller; ; i++ {
		entry := b.nextReadyEntry(i)
		outputTokens := []int{20, 20, 20, 800}[i%4]
		body := fmt.Sprintf(`{"model":%q,"prompt":"question %d [[length=%d]]","stream":true,"max_tokens":1000}`, deployment.ModelName(i%b.cluster.size.Models), i, outputTokens)
		got := b.cluster.sendRequest(entry, http.MethodPost, "/v1/completions", body, "")
		if got.err != nil || got.status != http.StatusOK || !strings.HasSuffix(got.body, "[DONE]\n\n") || strings.Count(got.body, "data: ") != outputTokens+2 {
			failures <- fmt.Sprintf("completion through entry %d: error %v, status %d, end of body %.300q", entry, got.err, got.status, got.body[max(0, len(got.body)-300):])
		}
		if got := b.cluster.sendEvent(b.nextReadyEntry(i), fmt.Sprintf("planned-%d-%d", caller, i)); got.err != nil || got.status != http.StatusCreated {
			failures <- fmt.Sprintf("event: error %v, status %d, body %s", got.err, got.status, got.body)
		}
		b.mu.Lock()
		b.sentCount += 2
		b.mu.Unlock()
		select {
		case <-stop:
			return
		default:
		}
	}
}

// nextReadyEntry returns the first entry that is ready, in turn from firstEntry on.
func (b *loadBalancer) nextReadyEntry(firstEntry int) int {
	for i := firstEntry; ; i++ {
		entry := i % b.cluster.size.Entries
		if got := b.cluster.get(entry, "/readyz"); got.err == nil && got.status == http.StatusOK {
			return entry
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestReplacedSidecarExitsWhenResumed checks that a sidecar that was frozen while another took over its engine exits once it
// runs again, and that no order overruns the memory of the engine.
func TestReplacedSidecarExitsWhenResumed(t *testing.T) {
	size := twoReplicaSize()
	size.LedgerReplicas = 1
	c := startCluster(t, size)
	frozen := c.sidecars["model-00"]
	frozen.signal(syscall.SIGSTOP)
	section := fmt.Sprintf("[sidecar]\nkind = model\ntarget = %s\nmemory-mib = 65536\nkv-reserve-mib = 16384\ntarget-checks-fence = yes\n", c.address("engine-00"))
	c.addSidecar("replacement", c.size.Zone(0), vmlist.VM{Role: vmlist.RoleModel}, section)
	c.registerVM(vmlist.VM{Name: "model-00", Address: c.address("replacement"), AvailabilityZone: c.size.Zone(0), Role: vmlist.RoleModel})
	c.waitUntil(10*time.Second, "engine answers the replacement", func() error {
		if !strings.Contains(c.sidecars["replacement"].output.String(), "target answers") {
			return fmt.Errorf("output of the replacement: %s", c.sidecars["replacement"].output)
		}
		return nil
	})
	frozen.signal(syscall.SIGCONT)
	select {
	case <-frozen.exited:
	case <-time.After(10 * time.Second):
		t.Fatal("the replaced sidecar did not exit")
	}
	if frozen.exitErr == nil || !strings.Contains(frozen.output.String(), "another sidecar has taken over the engine") {
		t.Errorf("the replaced sidecar exited with %v: %s", frozen.exitErr, frozen.output)
	}
	if violations := c.memoryViolations(0); violations > 0 {
		t.Errorf("%d orders would have overrun the memory of the engine", violations)
	}
	if got := c.sendRequest(0, http.MethodPost, "/v1/completions", `{"model":"blend-00","prompt":"[[length=5]]"}`, ""); got.status != http.StatusOK {
		t.Errorf("completion after the replacement: %+v", got)
	}
}
