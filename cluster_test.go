package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gypsumbank/deployment"
	"gypsumbank/engine"
	"gypsumbank/standin/fault"
	"gypsumbank/vmlist"
)

const (
	runAsProgramVariable = "GYPSUMBANK_TEST_RUN_AS_PROGRAM"
	clusterSecret        = "a-secret-of-the-process-tests"
	readyTimeout         = 40 * time.Second
)

// TestMain runs the program instead of the tests if GYPSUMBANK_TEST_RUN_AS_PROGRAM is set, so that tests can start the test
// binary as a process for each role.
func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramVariable) != "" {
		os.Exit(execute())
	}
	status := m.Run()
	if programDir != "" {
		_ = os.RemoveAll(programDir) // a directory that stays is the system's to remove
	}
	os.Exit(status)
}

// cluster is a deployment in which every role and stand-in runs as a process of its own.
type cluster struct {
	t                testing.TB
	dir              string
	size             deployment.Size
	table            *process
	vmList           *process
	entries          []*process
	sidecars         map[string]*process
	addresses        map[string]string // listen address by process name; for an entry, the address for callers
	operatorSettings string            // path of the settings file for operators' commands
}

// startCluster starts all processes, applies the allowances and plans and waits until every model is resident.
func startCluster(t testing.TB, size deployment.Size) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), size: size, sidecars: map[string]*process{}, addresses: map[string]string{}}
	c.table = c.startStandin("table", "--reads=2000", "--writes=500")
	c.vmList = c.startStandin("vms", "--lag=200ms")
	c.startStandin("weights", "--loads-per-second=20", "--load-time=50ms")
	for i := range size.ModelReplicas {
		c.addModelReplica(i)
	}
	for i := range size.LedgerReplicas {
		c.addLedgerReplica(i)
	}
	for i := range size.Entries {
		c.addEntry(i)
	}
	c.operatorSettings = c.writeSettings("operator", size.Zone(0), "127.0.0.1:0", "")
	time.Sleep(400 * time.Millisecond)
	c.applyList("allowances", size.Allowances())
	c.applyList("plans", size.Plans())
	c.waitReady()
	return c
}

// address returns the address of a process, a free one on the first call for a name.
func (c *cluster) address(name string) string {
	c.t.Helper()
	if address, ok := c.addresses[name]; ok {
		return address
	}
	address, err := deployment.FreeAddress()
	if err != nil {
		c.t.Fatal(err)
	}
	c.addresses[name] = address
	return c.addresses[name]
}

func (c *cluster) startStandin(kind string, args ...string) *process {
	return c.startNamedStandin(kind, kind, args...)
}

// startNamedStandin starts a stand-in and waits until it accepts connections.
func (c *cluster) startNamedStandin(name, kind string, args ...string) *process {
	c.t.Helper()
	address := c.address(name)
	p := startProcess(c.t, name, append([]string{"standin", kind, "--listen=" + address}, args...)...)
	c.waitUntil(readyTimeout, name+" accepts connections", func() error {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			conn.Close()
		}
		return err
	})
	return p
}

// addModelReplica starts a stand-in for a model engine and its sidecar.
func (c *cluster) addModelReplica(index int) {
	c.t.Helper()
	target := fmt.Sprintf("engine-%02d", index)
	args := []string{"--weight-store=" + c.address("weights"), "--restart-time=1s", "--step=5ms"}
	if c.size.ChecksFence {
		args = append(args, "--checks-fence")
	}
	c.startNamedStandin(target, "engine", args...)
	checksFence := map[bool]string{true: "yes", false: "no"}[c.size.ChecksFence]
	section := fmt.Sprintf("[sidecar]\nkind = model\ntarget = %s\nmemory-mib = 65536\nkv-reserve-mib = 16384\ntarget-checks-fence = %s\norder-lifetime = %s\ngrace = %s\n",
		c.address(target), checksFence, c.size.OrderLifetime, c.size.Grace)
	c.addSidecar(fmt.Sprintf("model-%02d", index), c.size.Zone(index), vmlist.VM{Role: vmlist.RoleModel}, section)
}

// addLedgerReplica starts a stand-in for a replica of the ledger service and its sidecar.
func (c *cluster) addLedgerReplica(index int) {
	c.t.Helper()
	target := fmt.Sprintf("target-ledger-%02d", index)
	c.startNamedStandin(target, "ledger")
	section := fmt.Sprintf("[sidecar]\nkind = service\nservice = ledger\ntarget = %s\ngrace = %s\n", c.address(target), c.size.Grace)
	c.addSidecar(fmt.Sprintf("ledger-%02d", index), c.size.Zone(index), vmlist.VM{Role: vmlist.RoleService, Service: "ledger"}, section)
}

// addSidecar writes the settings of a sidecar, starts it and adds it to the list of VMs.
func (c *cluster) addSidecar(name, zone string, vm vmlist.VM, section string) {
	c.t.Helper()
	address := c.address(name)
	c.writeSettings(name, zone, address, section)
	c.startSidecar(name)
	vm.Name, vm.Address, vm.AvailabilityZone = name, address, zone
	c.registerVM(vm)
}

// startSidecar starts a sidecar, or starts it again, with the settings file that addSidecar wrote.
func (c *cluster) startSidecar(name string) {
	c.t.Helper()
	c.sidecars[name] = startProcess(c.t, name, "sidecar", "--config="+filepath.Join(c.dir, name+".ini"))
}

// addEntry writes the settings of an entry, starts it and adds it to the list of VMs by its address for peers.
func (c *cluster) addEntry(index int) {
	c.t.Helper()
	name := fmt.Sprintf("entry-%02d", index)
	peers := c.address("peers-of-" + name)
	section := fmt.Sprintf("[entry]\nlisten = %s\ngrace = 30s\nread-timeout = 2s\n", c.address(name))
	path := c.writeSettings(name, c.size.Zone(index), peers, section)
	c.entries = append(c.entries, startProcess(c.t, name, "entry", "--config="+path))
	c.registerVM(vmlist.VM{Name: name, Address: peers, AvailabilityZone: c.size.Zone(index), Role: vmlist.RoleEntry})
}

// writeSettings writes a settings file of the common sections and section, and returns its path. listen is the address for
// peers.
func (c *cluster) writeSettings(name, zone, listen, section string) string {
	c.t.Helper()
	text := fmt.Sprintf("[node]\nname = %s\navailability-zone = %s\nlisten = %s\nsecret = %s\n[log]\nlevel = info\n[platform]\ntable = %s\nvm-list = %s\npoll-interval = %s\n%s",
		name, zone, listen, clusterSecret, c.address("table"), c.address("vms"), c.size.PollInterval, section)
	return c.writeFile(name+".ini", text)
}

// writeFile writes a file to the directory of the cluster and returns its path.
func (c *cluster) writeFile(name, text string) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// registerVM adds a VM to the list of VMs, or replaces the one of the same name.
func (c *cluster) registerVM(vm vmlist.VM) {
	c.t.Helper()
	body, _ := json.Marshal(vm)
	c.sendControl(http.MethodPost, "vms", "/vms", body)
}

// setFaults replaces the active faults of a stand-in.
func (c *cluster) setFaults(name string, faults fault.Faults) {
	c.t.Helper()
	body, _ := json.Marshal(faults)
	c.sendControl(http.MethodPost, name, "/faults", body)
}

// sendControl sends a request to the control interface of a stand-in and returns the response body. The test fails on an error
// or a status from 300 on.
func (c *cluster) sendControl(method, name, path string, body []byte) []byte {
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
	responseBody, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode >= 300 {
		c.t.Fatalf("%s %s: status %d, %v: %s", method, path, response.StatusCode, err, responseBody)
	}
	return responseBody
}

// runCommand runs a command of the program until it exits and returns its output, stderr included.
func (c *cluster) runCommand(args ...string) (string, error) {
	c.t.Helper()
	p := startProcess(c.t, args[0], args...)
	select {
	case <-p.exited:
	case <-time.After(readyTimeout):
		c.t.Fatalf("command %v did not exit in time", args)
	}
	return p.output.String(), p.exitErr
}

// applyList applies text as an edit of a list and returns the output of the command.
func (c *cluster) applyList(list, text string) string {
	c.t.Helper()
	path := c.writeFile(list+".list.ini", text)
	output, err := c.runCommand(list, "apply", "--config="+c.operatorSettings, path)
	if err != nil {
		c.t.Fatalf("apply %s: %v: %s", list, err, output)
	}
	return output
}

// waitReady waits until the status command shows every node as reachable and started, and every model as resident.
func (c *cluster) waitReady() {
	c.t.Helper()
	c.waitUntil(readyTimeout, "every node started and every model resident", func() error {
		output, err := c.runCommand("status", "--config="+c.operatorSettings)
		if err != nil {
			return fmt.Errorf("%w: %s", err, output)
		}
		if strings.Contains(output, "unreachable") || strings.Contains(output, "starting") {
			return fmt.Errorf("a node is unreachable or starting: %s", output)
		}
		for i := range c.size.Models {
			if !strings.Contains(output, deployment.ModelName(i)) {
				return fmt.Errorf("model %s is not resident: %s", deployment.ModelName(i), output)
			}
		}
		return nil
	})
}

// waitUntil calls check repeatedly until it returns nil, and fails the test after timeout.
func (c *cluster) waitUntil(timeout time.Duration, condition string, check func() error) {
	c.t.Helper()
	deadline := time.Now().Add(timeout)
	var err error
	for time.Now().Before(deadline) {
		if err = check(); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s: condition not met within %s: %v", condition, timeout, err)
}

// result is the outcome of a request as its caller saw it: a response, or an error.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a result) outcome() string { return a.header.Get("Gypsumbank-Outcome") }

func (c *cluster) get(entry int, path string) result {
	return c.sendRequest(entry, http.MethodGet, path, "", "")
}

// sendEvent sends an event to the ledger service, with its id as idempotency key.
func (c *cluster) sendEvent(entry int, id string) result {
	return c.sendRequest(entry, http.MethodPost, "/services/ledger/events", fmt.Sprintf(`{"id":%q}`, id), id)
}

// sendRequest sends a request to an entry over a connection of its own, with an idempotency key unless it is empty.
func (c *cluster) sendRequest(entry int, method, path, body, idempotencyKey string) result {
	url := "http://" + c.address(fmt.Sprintf("entry-%02d", entry)) + path
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.size.Key(c.size.Members[0]))
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}
	response, err := client.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(responseBody), err: err}
}

// ledgerRuns returns how often an event ran, summed over all replicas of the ledger.
func (c *cluster) ledgerRuns(id string) int {
	c.t.Helper()
	total := 0
	for i := range c.size.LedgerReplicas {
		var count struct {
			Runs int `json:"runs"`
		}
		responseBody := c.sendControl(http.MethodGet, fmt.Sprintf("target-ledger-%02d", i), "/events?id="+id, nil)
		if err := json.Unmarshal(responseBody, &count); err != nil {
			c.t.Fatal(err)
		}
		total += count.Runs
	}
	return total
}

// memoryViolations returns how many orders would have overrun the memory of an engine, by the count of its stand-in.
func (c *cluster) memoryViolations(engineIndex int) uint64 {
	c.t.Helper()
	var state engine.State
	responseBody := c.sendControl(http.MethodGet, fmt.Sprintf("engine-%02d", engineIndex), "/control/state", nil)
	if err := json.Unmarshal(responseBody, &state); err != nil {
		c.t.Fatal(err)
	}
	return state.Violations
}
