package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumbank/deployment"
	"gypsumbank/engine"
	"gypsumbank/standin/fault"
	"gypsumbank/vmlist"
)

const (
	runAsProgram = "GYPSUMBANK_TEST_RUN_AS_PROGRAM"
	testSecret   = "a-secret-of-the-process-tests"
	readyTime    = 40 * time.Second
)

// TestMain lets the test binary stand for the program, so that tests can run roles as processes of their own.
func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
		stop()
		if err != nil {
			fmt.Fprintln(os.Stderr, "gypsumbank:", err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// process is one running process of the program.
type process struct {
	name   string
	cmd    *exec.Cmd
	output *lockedBuffer
	ended  chan struct{}
	err    error
}

type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

func startProcess(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, output: &lockedBuffer{}, ended: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], args...)
	p.cmd.Env = append(os.Environ(), runAsProgram+"=1")
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, p.output)
		}
	})
	return p
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// stop asks a process to end and returns its error once it has.
func (p *process) stop(t testing.TB, limit time.Duration) error {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return p.err
	case <-time.After(limit):
		t.Fatalf("%s did not end within %s", p.name, limit)
		return nil
	}
}

// cluster is a deployment of which every role and stand-in is a process of its own.
type cluster struct {
	t         testing.TB
	dir       string
	size      deployment.Size
	table     *process
	vms       *process
	entries   []*process
	sidecars  map[string]*process
	addresses map[string]string // address of each process by name; the one for callers for entries
	operator  string            // file with settings for operators' commands
}

// startCluster starts all processes and returns once every model is resident.
func startCluster(t testing.TB, size deployment.Size) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), size: size, sidecars: map[string]*process{}, addresses: map[string]string{}}
	c.table = c.standin("table", "--reads=2000", "--writes=500")
	c.vms = c.standin("vms", "--lag=200ms")
	c.standin("weights", "--loads-per-second=20", "--load-time=50ms")
	for i := range size.ModelReplicas {
		c.addModel(i)
	}
	for i := range size.LedgerReplicas {
		c.addLedger(i)
	}
	for i := range size.Entries {
		c.addEntry(i)
	}
	c.operator = c.settings("operator", size.Zone(0), "127.0.0.1:0", "")
	time.Sleep(400 * time.Millisecond)
	c.apply("allowances", size.Allowances())
	c.apply("plans", size.Plans())
	c.waitReady()
	return c
}

func (c *cluster) address(name string) string {
	c.t.Helper()
	if known, ok := c.addresses[name]; ok {
		return known
	}
	address, err := deployment.FreeAddress()
	if err != nil {
		c.t.Fatal(err)
	}
	c.addresses[name] = address
	return c.addresses[name]
}

func (c *cluster) standin(kind string, args ...string) *process {
	return c.standinNamed(kind, kind, args...)
}

func (c *cluster) standinNamed(name, kind string, args ...string) *process {
	c.t.Helper()
	address := c.address(name)
	p := startProcess(c.t, name, append([]string{"standin", kind, "--listen=" + address}, args...)...)
	c.eventually(readyTime, name+" listens", func() error {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			conn.Close()
		}
		return err
	})
	return p
}

func (c *cluster) addModel(number int) {
	c.t.Helper()
	target := fmt.Sprintf("engine-%02d", number)
	args := []string{"--weight-store=" + c.address("weights"), "--restart-time=1s", "--step=5ms"}
	if c.size.ChecksFence {
		args = append(args, "--checks-fence")
	}
	c.standinNamed(target, "engine", args...)
	checks := map[bool]string{true: "yes", false: "no"}[c.size.ChecksFence]
	section := fmt.Sprintf("[sidecar]\nkind = model\ntarget = %s\nmemory-mib = 65536\nkv-reserve-mib = 16384\ntarget-checks-fence = %s\norder-lifetime = %s\ngrace = %s\n",
		c.address(target), checks, c.size.OrderLifetime, c.size.Grace)
	c.addSidecar(fmt.Sprintf("model-%02d", number), c.size.Zone(number), vmlist.VM{Role: vmlist.RoleModel}, section)
}

func (c *cluster) addLedger(number int) {
	c.t.Helper()
	target := fmt.Sprintf("target-ledger-%02d", number)
	c.standinNamed(target, "ledger")
	section := fmt.Sprintf("[sidecar]\nkind = service\nservice = ledger\ntarget = %s\ngrace = %s\n", c.address(target), c.size.Grace)
	c.addSidecar(fmt.Sprintf("ledger-%02d", number), c.size.Zone(number), vmlist.VM{Role: vmlist.RoleService, Service: "ledger"}, section)
}

func (c *cluster) addSidecar(name, zone string, vm vmlist.VM, section string) {
	c.t.Helper()
	address := c.address(name)
	c.settings(name, zone, address, section)
	c.startSidecar(name)
	vm.Name, vm.Address, vm.AvailabilityZone = name, address, zone
	c.list(vm)
}

// startSidecar starts a sidecar, or a new incarnation of one, with the settings that were written for it.
func (c *cluster) startSidecar(name string) {
	c.t.Helper()
	c.sidecars[name] = startProcess(c.t, name, "sidecar", "--config="+filepath.Join(c.dir, name+".ini"))
}

func (c *cluster) addEntry(number int) {
	c.t.Helper()
	name := fmt.Sprintf("entry-%02d", number)
	peers := c.address("peers-of-" + name)
	section := fmt.Sprintf("[entry]\nlisten = %s\ngrace = 30s\nread-timeout = 2s\n", c.address(name))
	path := c.settings(name, c.size.Zone(number), peers, section)
	c.entries = append(c.entries, startProcess(c.t, name, "entry", "--config="+path))
	c.list(vmlist.VM{Name: name, Address: peers, AvailabilityZone: c.size.Zone(number), Role: vmlist.RoleEntry})
}

func (c *cluster) settings(name, zone, listen, section string) string {
	c.t.Helper()
	text := fmt.Sprintf("[node]\nname = %s\navailability-zone = %s\nlisten = %s\nsecret = %s\n[log]\nlevel = info\n[platform]\ntable = %s\nvm-list = %s\npoll-interval = %s\n%s",
		name, zone, listen, testSecret, c.address("table"), c.address("vms"), c.size.PollInterval, section)
	return c.write(name+".ini", text)
}

func (c *cluster) write(name, text string) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

func (c *cluster) list(vm vmlist.VM) {
	c.t.Helper()
	body, _ := json.Marshal(vm)
	c.control(http.MethodPost, "vms", "/vms", body)
}

// faults replaces the faults of a stand-in.
func (c *cluster) faults(name string, faults fault.Faults) {
	c.t.Helper()
	body, _ := json.Marshal(faults)
	c.control(http.MethodPost, name, "/faults", body)
}

func (c *cluster) control(method, name, path string, body []byte) []byte {
	c.t.Helper()
	request, err := http.NewRequest(method, "http://"+c.address(name)+path, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode >= 300 {
		c.t.Fatalf("%s %s: status %d, %v: %s", method, path, response.StatusCode, err, answer)
	}
	return answer
}

// command runs a command of the program to its end and returns what it printed.
func (c *cluster) command(args ...string) (string, error) {
	c.t.Helper()
	p := startProcess(c.t, args[0], args...)
	select {
	case <-p.ended:
	case <-time.After(readyTime):
		c.t.Fatalf("%v did not end", args)
	}
	return p.output.String(), p.err
}

func (c *cluster) apply(list, text string) string {
	c.t.Helper()
	path := c.write(list+".list.ini", text)
	output, err := c.command(list, "apply", "--config="+c.operator, path)
	if err != nil {
		c.t.Fatalf("apply %s: %v: %s", list, err, output)
	}
	return output
}

func (c *cluster) waitReady() {
	c.t.Helper()
	c.eventually(readyTime, "every model is resident", func() error {
		output, err := c.command("status", "--config="+c.operator)
		if err != nil {
			return fmt.Errorf("%w: %s", err, output)
		}
		if strings.Contains(output, "unreachable") || strings.Contains(output, "starting") {
			return fmt.Errorf("not ready: %s", output)
		}
		for i := range c.size.Models {
			if !strings.Contains(output, deployment.ModelName(i)) {
				return fmt.Errorf("%s is not resident: %s", deployment.ModelName(i), output)
			}
		}
		return nil
	})
}

func (c *cluster) eventually(limit time.Duration, what string, check func() error) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	var err error
	for time.Now().Before(deadline) {
		if err = check(); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s: not within %s: %v", what, limit, err)
}

// answered is what a caller got.
type answered struct {
	status int
	header http.Header
	text   string
	err    error
}

func (a answered) outcome() string { return a.header.Get("Gypsumbank-Outcome") }

func (c *cluster) get(entry int, path string) answered {
	return c.ask(entry, http.MethodGet, path, "", "")
}

func (c *cluster) event(entry int, id string) answered {
	return c.ask(entry, http.MethodPost, "/services/ledger/events", fmt.Sprintf(`{"id":%q}`, id), id)
}

func (c *cluster) ask(entry int, method, path, body, key string) answered {
	url := "http://" + c.address(fmt.Sprintf("entry-%02d", entry)) + path
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return answered{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.size.Key(c.size.Members[0]))
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}
	response, err := client.Do(request)
	if err != nil {
		return answered{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answered{status: response.StatusCode, header: response.Header, text: string(text), err: err}
}

// runs returns how often an event ran over all replicas of the ledger.
func (c *cluster) runs(id string) int {
	c.t.Helper()
	total := 0
	for i := range c.size.LedgerReplicas {
		var count struct {
			Runs int `json:"runs"`
		}
		answer := c.control(http.MethodGet, fmt.Sprintf("target-ledger-%02d", i), "/events?id="+id, nil)
		if err := json.Unmarshal(answer, &count); err != nil {
			c.t.Fatal(err)
		}
		total += count.Runs
	}
	return total
}

// violations returns how many orders would have overrun an engine's memory.
func (c *cluster) violations(number int) uint64 {
	c.t.Helper()
	var state engine.State
	answer := c.control(http.MethodGet, fmt.Sprintf("engine-%02d", number), "/control/state", nil)
	if err := json.Unmarshal(answer, &state); err != nil {
		c.t.Fatal(err)
	}
	return state.Violations
}
