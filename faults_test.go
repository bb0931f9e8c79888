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
	faultyRounds   = 6
)

// number returns an environment variable's value or a default.
func number(t *testing.T, variable string, fallback uint64) uint64 {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return value
}

// callLog holds what callers were told about each event.
type callLog struct {
	mu       sync.Mutex
	outcomes map[string][]string
}

func (l *callLog) add(id string, got answered) {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcome := got.outcome()
	if got.err != nil || outcome == "" {
		outcome = "no answer"
	}
	l.outcomes[id] = append(l.outcomes[id], outcome)
}

func (l *callLog) told(id, outcome string) bool {
	for _, told := range l.outcomes[id] {
		if told == outcome {
			return true
		}
	}
	return false
}

// TestTwoFaultsAtOnce draws two faults a round, in a deployment of processes, while callers send events several times
// through all entries and ask for completions; GYPSUMBANK_SEED and GYPSUMBANK_ROUNDS set the draw and its length.
func TestTwoFaultsAtOnce(t *testing.T) {
	seed := number(t, seedVariable, 1)
	rounds := int(number(t, roundsVariable, faultyRounds))
	t.Logf("seed %d, %d rounds", seed, rounds)
	rng := rand.New(rand.NewPCG(seed, seed))
	c := startCluster(t, twoTargets())
	log := &callLog{outcomes: map[string][]string{}}
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
		first, second := c.drawFault(rng), c.drawFault(rng)
		for second.victim == first.victim {
			second = c.drawFault(rng)
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
		if violations := c.violations(i); violations > 0 {
			t.Errorf("engine %d: %d orders would have overrun its memory", i, violations)
		}
	}
}

// sendEvents sends events, each three times through the entries in turn, every other one without waiting for an answer.
func (c *cluster) sendEvents(log *callLog, stop <-chan struct{}, prefix string) {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%s-%d", prefix, i)
		var tries sync.WaitGroup
		for try := range 3 {
			send := func() { log.add(id, c.event((i+try)%c.size.Entries, id)) }
			if i%2 == 0 {
				send()
				continue
			}
			tries.Go(send)
		}
		tries.Wait()
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// checkCompletions asks for completions; each answer is whole or an error.
func (c *cluster) checkCompletions(stop <-chan struct{}, caller int) {
	for i := 0; ; i++ {
		body := fmt.Sprintf(`{"model":%q,"prompt":"question %d of %d [[length=40]]","stream":true}`, deployment.ModelName(i%c.size.Models), i, caller)
		got := c.ask(i%c.size.Entries, http.MethodPost, "/v1/completions", body, "")
		ended := strings.HasSuffix(got.text, "data: [DONE]\n\n")
		if got.err == nil && got.status == http.StatusOK && ended && strings.Count(got.text, "data: ") != 42 {
			c.t.Errorf("an answer with an end mark is not whole: %s", got.text)
		}
		if got.err == nil && got.status == http.StatusOK && !ended && !strings.Contains(got.text, `{"error"`) {
			c.t.Errorf("an answer has neither an end mark nor an error: %s", got.text)
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// checkEvents compares what callers were told with the ledger's own count and then sends each event until it has run.
func (c *cluster) checkEvents(log *callLog) {
	c.t.Helper()
	unknown := 0
	for id := range log.outcomes {
		runs := c.runs(id)
		told := log.outcomes[id]
		if runs > 1 {
			c.t.Errorf("%s ran %d times; callers were told %v", id, runs, told)
		}
		if runs == 0 && log.told(id, "run") {
			c.t.Errorf("%s did not run; callers were told %v", id, told)
		}
		if runs > 0 && !log.told(id, "run") && !log.told(id, "unknown") && !log.told(id, "no answer") {
			c.t.Errorf("%s ran; callers were told %v", id, told)
		}
		if runs == 0 && !c.runsEventually(id) {
			unknown++
		}
	}
	c.t.Logf("%d events, of which %d did not run and got no certain answer", len(log.outcomes), unknown)
}

// runsEventually sends an event that has not run until it runs, or its outcome is not known, and reports whether it ran.
func (c *cluster) runsEventually(id string) bool {
	c.t.Helper()
	var last answered
	deadline := time.Now().Add(40 * time.Second)
	for time.Now().Before(deadline) {
		last = c.event(0, id)
		if last.outcome() == "run" {
			return true
		}
		if last.outcome() == "unknown" {
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.t.Errorf("%s never ran: %+v", id, last)
	return false
}

// clusterFault is a fault that begins and ends.
type clusterFault struct {
	name   string
	victim string
	begin  func()
	end    func()
}

func (c *cluster) drawFault(rng *rand.Rand) clusterFault {
	ledger := fmt.Sprintf("ledger-%02d", rng.IntN(c.size.LedgerReplicas))
	model := fmt.Sprintf("model-%02d", rng.IntN(c.size.ModelReplicas))
	entry := c.entries[rng.IntN(len(c.entries))]
	target := "target-" + ledger
	faulty := func(name, what string, faults fault.Faults) clusterFault {
		return clusterFault{
			name:   what + " of " + name,
			victim: name,
			begin:  func() { c.faults(name, faults) },
			end:    func() { c.faults(name, fault.Faults{}) },
		}
	}
	frozen := func(name string, p *process) clusterFault {
		return clusterFault{
			name:   "freeze of " + name,
			victim: name,
			begin:  func() { p.signal(syscall.SIGSTOP) },
			end:    func() { p.signal(syscall.SIGCONT) },
		}
	}
	faults := []clusterFault{
		{
			name:   "loss of " + ledger,
			victim: ledger,
			begin:  func() { c.sidecars[ledger].kill() },
			end:    func() { c.startSidecar(ledger) },
		},
		{
			name:   "loss of " + model,
			victim: model,
			begin:  func() { c.sidecars[model].kill() },
			end:    func() { c.startSidecar(model) },
		},
		frozen(ledger, c.sidecars[ledger]),
		frozen(model, c.sidecars[model]),
		frozen(entry.name, entry),
		frozen("table", c.table),
		frozen("vms", c.vms),
		faulty("table", "refusal", fault.Faults{Refuse: true}),
		faulty("table", "lost answers", fault.Faults{LoseAnswer: 0.5}),
		faulty("table", "delay", fault.Faults{DelayMS: 400}),
		faulty(target, "lost answers", fault.Faults{LoseAnswer: 0.5}),
		faulty(target, "silence", fault.Faults{Silent: true}),
		faulty(target, "delay", fault.Faults{DelayMS: 500}),
	}
	return faults[rng.IntN(len(faults))]
}

// TestPlannedStopsCutNothingOff restarts every sidecar and every entry under load, long streams included.
func TestPlannedStopsCutNothingOff(t *testing.T) {
	size := twoTargets()
	size.ModelReplicas = 3
	size.Grace = time.Second
	c := startCluster(t, size)
	balancer := &balancer{c: c}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	failures := make(chan string, 1000)
	for caller := range 6 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			balancer.load(stop, caller, failures)
		}()
	}
	for _, name := range []string{"model-00", "model-01", "model-02", "ledger-00", "ledger-01"} {
		if err := c.sidecars[name].stop(t, 4*time.Second); err != nil {
			t.Errorf("%s ended with %v", name, err)
		}
		c.startSidecar(name)
		c.waitReady()
	}
	for i, p := range c.entries {
		if err := p.stop(t, 40*time.Second); err != nil {
			t.Errorf("%s ended with %v", p.name, err)
		}
		c.entries[i] = startProcess(t, p.name, "entry", "--config="+c.dir+"/"+p.name+".ini")
		c.waitReady()
	}
	c.eventually(time.Minute, "100 requests", func() error {
		if balancer.sent() < 100 {
			return fmt.Errorf("%d were sent", balancer.sent())
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

// balancer sends requests to entries that are ready, as the platform's balancer does.
type balancer struct {
	c     *cluster
	mu    sync.Mutex
	count int
}

func (b *balancer) sent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}

func (b *balancer) load(stop <-chan struct{}, caller int, failures chan<- string) {
	for i := caller; ; i++ {
		entry := b.ready(i)
		length := []int{20, 20, 20, 800}[i%4]
		body := fmt.Sprintf(`{"model":%q,"prompt":"question %d [[length=%d]]","stream":true,"max_tokens":1000}`, deployment.ModelName(i%b.c.size.Models), i, length)
		got := b.c.ask(entry, http.MethodPost, "/v1/completions", body, "")
		if got.err != nil || got.status != http.StatusOK || !strings.HasSuffix(got.text, "[DONE]\n\n") || strings.Count(got.text, "data: ") != length+2 {
			failures <- fmt.Sprintf("completion through entry %d: %v, status %d, end %.300q", entry, got.err, got.status, got.text[max(0, len(got.text)-300):])
		}
		if got := b.c.event(b.ready(i), fmt.Sprintf("planned-%d-%d", caller, i)); got.err != nil || got.status != http.StatusCreated {
			failures <- fmt.Sprintf("event: %v, status %d, %s", got.err, got.status, got.text)
		}
		b.mu.Lock()
		b.count += 2
		b.mu.Unlock()
		select {
		case <-stop:
			return
		default:
		}
	}
}

func (b *balancer) ready(first int) int {
	for i := first; ; i++ {
		entry := i % b.c.size.Entries
		if got := b.c.get(entry, "/readyz"); got.err == nil && got.status == http.StatusOK {
			return entry
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestReplacedSidecarStopsWhenItWakes freezes a sidecar, has another take over its engine and wakes it.
func TestReplacedSidecarStopsWhenItWakes(t *testing.T) {
	size := twoTargets()
	size.LedgerReplicas = 1
	c := startCluster(t, size)
	frozen := c.sidecars["model-00"]
	frozen.signal(syscall.SIGSTOP)
	section := fmt.Sprintf("[sidecar]\nkind = model\ntarget = %s\nmemory-mib = 65536\nkv-reserve-mib = 16384\ntarget-checks-fence = yes\n", c.address("engine-00"))
	c.addSidecar("replacement", c.size.Zone(0), vmlist.VM{Role: vmlist.RoleModel}, section)
	c.list(vmlist.VM{Name: "model-00", Address: c.address("replacement"), AvailabilityZone: c.size.Zone(0), Role: vmlist.RoleModel})
	c.eventually(10*time.Second, "the replacement has met the engine", func() error {
		if !strings.Contains(c.sidecars["replacement"].output.String(), "target answers") {
			return fmt.Errorf("not yet: %s", c.sidecars["replacement"].output)
		}
		return nil
	})
	frozen.signal(syscall.SIGCONT)
	select {
	case <-frozen.ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the replaced sidecar goes on")
	}
	if frozen.err == nil || !strings.Contains(frozen.output.String(), "another sidecar has taken over the engine") {
		t.Errorf("ended with %v: %s", frozen.err, frozen.output)
	}
	if violations := c.violations(0); violations > 0 {
		t.Errorf("%d orders would have overrun the memory", violations)
	}
	if got := c.ask(0, http.MethodPost, "/v1/completions", `{"model":"blend-00","prompt":"[[length=5]]"}`, ""); got.status != http.StatusOK {
		t.Errorf("after the replacement: %+v", got)
	}
}
