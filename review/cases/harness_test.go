package cases

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Bounds of a small deployment, as the pages give them for its two sites.
const (
	drainTime     = 2000 * time.Millisecond
	graceTime     = 8 * time.Second
	gatewayMemory = 284 // MiB
	agentMemory   = 216 // MiB
	maxFiles      = 4100
	// readyTimeout bounds the wait for all gateways to be ready.
	readyTimeout = 20 * time.Second
)

// deployment is a small deployment on loopback addresses: the project's programs as processes, and stand-ins for all else.
type deployment struct {
	t         *testing.T
	trouble   bool // cause the disruption of the case
	root      string
	dir       string // temporary folder
	network   string // first two numbers of the loopback addresses of this run
	started   time.Time
	store     *store
	agentPort string
	processes []*process

	quiet    atomic.Bool // requests are not recorded one by one
	recordMu sync.Mutex
	record   *bufio.Writer
}

// process is one of the project's programs.
type process struct {
	name, ip string
	front    *storeFront // the store as this machine reaches it
	frontend string      // address for requesters
	ready    string      // address for readiness checks
	config   string      // path of the settings
	cmd      *exec.Cmd
	exited   chan struct{}
}

// newDeployment prepares a deployment in a temporary folder. The case ends with status 2 if that fails.
func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	var err error
	if d.root, err = filepath.Abs(envOr("PROJECT_ROOT", "../..")); err != nil {
		d.cannotRun(err)
	}
	if d.dir, err = os.MkdirTemp("", "review-"); err != nil {
		d.cannotRun(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(d.dir) })
	file, err := os.Create(envOr("RECORD", filepath.Join(d.dir, "record.txt")))
	if err != nil {
		d.cannotRun(err)
	}
	d.record = bufio.NewWriter(file)
	t.Cleanup(func() {
		d.recordMu.Lock()
		defer d.recordMu.Unlock()
		_ = d.record.Flush()
		_ = file.Close()
	})
	d.network = fmt.Sprintf("127.%d", 20+rand.IntN(200))
	d.store = newStore(d)
	d.agentPort = d.freePort(d.network + ".2.1")
	t.Cleanup(d.stopAll)
	return d
}

func envOr(name, other string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return other
}

// cannotRun ends the program with the status of a case that could not run.
func (d *deployment) cannotRun(err error) {
	d.stopAll()
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(2)
}

// note adds a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	fmt.Fprintf(d.record, "%9.3f  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// freePort returns a port that is free at an address.
func (d *deployment) freePort(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		d.cannotRun(err)
	}
	defer listener.Close()
	_, port, err := net.SplitHostPort(listener.Addr().String())
	if err != nil {
		d.cannotRun(err)
	}
	return port
}

// startGateway starts a gateway on a machine of its own.
func (d *deployment) startGateway(number int, zone string) *process {
	ip := fmt.Sprintf("%s.1.%d", d.network, number)
	p := &process{name: fmt.Sprintf("frontend-%d", number), ip: ip, frontend: ip + ":" + d.freePort(ip), ready: ip + ":" + d.freePort(ip)}
	d.start(p, "gateway", zone, map[string]string{"listen.frontend": p.frontend, "listen.ready": p.ready, "limits.memoryMb": fmt.Sprint(gatewayMemory)})
	return p
}

// startAgent starts the agent beside an engine, whose machine it shares.
func (d *deployment) startAgent(engine *replica) *process {
	p := &process{name: "side-of-" + engine.id, ip: engine.ip}
	d.start(p, "agent", engine.zone, map[string]string{"app": engine.address, "service": engine.service, "limits.memoryMb": fmt.Sprint(agentMemory)})
	return p
}

// start fills in the template of a role and starts it with the command of the deploy file.
func (d *deployment) start(p *process, role, zone string, own map[string]string) {
	p.front = d.store.newFront(p.name)
	values := map[string]string{
		"nodeName": p.name, "zone": zone, "ip": p.ip, "internalPorts.0": d.agentPort, "platform.address": p.front.address,
		"bounds.graceS": fmt.Sprint(graceTime.Seconds()), "bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetExtra": "52", "bounds.budgetWindowS": "10",
		"bounds.ceilingWindowS": "5", "bounds.loadBurstFactor": "1.1",
	}
	for name, value := range own {
		values[name] = value
	}
	template, err := os.ReadFile(filepath.Join(d.root, "deploy", role+".ini"))
	if err != nil {
		d.cannotRun(err)
	}
	text := string(template)
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	p.config = filepath.Join(d.dir, p.name+".ini")
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		d.cannotRun(err)
	}
	d.launch(p, role)
	d.processes = append(d.processes, p)
}

// launch starts the program of a role. Its log goes to a file in the temporary folder, or in the folder LOGS.
func (d *deployment) launch(p *process, role string) {
	command := strings.Fields(d.deployCommand(role))
	for i, word := range command {
		if word == "/etc/gypsumbank/settings.toml" {
			command[i] = p.config
		}
	}
	output, err := os.OpenFile(filepath.Join(envOr("LOGS", d.dir), p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		d.cannotRun(err)
	}
	defer output.Close()
	command[0] = filepath.Join(d.root, command[0])
	// The platform gives a process that many descriptors.
	p.cmd = exec.Command("/bin/sh", append([]string{"-c", fmt.Sprintf("ulimit -n %d && exec \"$@\"", maxFiles), "sh"}, command...)...)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = d.root, output, output
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "LANG=C", "GYPSUMBANK_BOOT=" + p.config}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		d.cannotRun(err)
	}
	p.exited = make(chan struct{})
	d.note("process %s starts, pid %d", p.name, p.cmd.Process.Pid)
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		d.note("process %s has ended: %v", p.name, err)
		close(exited)
	}(p.cmd, p.exited)
}

// deployCommand returns the command of a role in the deploy file.
func (d *deployment) deployCommand(role string) string {
	data, err := os.ReadFile(filepath.Join(d.root, "deploy", "system.toml"))
	if err != nil {
		d.cannotRun(err)
	}
	_, section, _ := strings.Cut(string(data), "[roles."+role+"]")
	_, line, found := strings.Cut(section, "run = \"")
	command, _, _ := strings.Cut(line, "\"")
	if !found {
		d.cannotRun(fmt.Errorf("the deploy file has no command for %s", role))
	}
	return command
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// stopAll kills all processes that the case has started and waits for their ends.
func (d *deployment) stopAll() {
	for _, p := range d.processes {
		if p.running() {
			_ = p.cmd.Process.Kill()
		}
	}
	for _, p := range d.processes {
		<-p.exited
	}
}

// waitReady waits until all gateways say that they are ready.
func (d *deployment) waitReady(gateways ...*process) {
	end := time.Now().Add(readyTimeout)
	for _, g := range gateways {
		for !g.isReady() {
			if time.Now().After(end) || !g.running() {
				d.cannotRun(fmt.Errorf("%s does not become ready", g.name))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	d.note("all gateways are ready")
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
