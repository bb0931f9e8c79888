package cases

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"gypsumbank/standin/site"
)

const (
	callerHost    = "callers.example"
	heartbeat     = 1200 * time.Millisecond
	stableWindow  = 3 * time.Second
	readyTimeout  = 15 * time.Second
	exitTimeout   = 9 * time.Second
	bounds        = "[bounds]\nretry-ratio = 0.2\nretry-extra = 52\nretry-window = 10s\nload-window = 5s\nload-burst = 1.1\n"
	eventDelivery = "event-delivery = 120ms\n"
)

// deployment is a small deployment: gateways and agents as processes, and stand-ins for the rest.
type deployment struct {
	rec     *record
	trouble bool // the disruption takes place
	program string
	dir     string // for settings and logs
	network string // first two bytes of the addresses of this run, which are all on the loopback interface
	store   *site.Store

	agentPort string
	gateways  []*gatewayProcess
	processes []*process
	replicas  []*replica
}

// gatewayProcess is a gateway with its addresses.
type gatewayProcess struct {
	*process
	listen, ready string
}

// process is a process of the project's program.
type process struct {
	name   string
	args   []string
	logs   *os.File
	cmd    *exec.Cmd
	exited chan struct{}
}

func newDeployment(rec *record, program string, trouble bool) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, trouble: trouble, program: program, dir: dir, network: fmt.Sprintf("127.%d", 1+os.Getpid()%250), store: site.NewStore()}
	d.agentPort, err = freePort(d.network + ".1.1")
	return d, err
}

// freePort returns a port that is free at a loopback address.
func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	_, port, err := net.SplitHostPort(listener.Addr().String())
	return port, err
}

// freeAddress returns a free address at a loopback IP.
func freeAddress(ip string) (string, error) {
	port, err := freePort(ip)
	return net.JoinHostPort(ip, port), err
}

// close ends all processes and removes the settings and logs.
func (d *deployment) close() {
	for _, p := range d.processes {
		p.kill()
	}
	for _, r := range d.replicas {
		r.end()
	}
	d.store.Close()
	if keep := os.Getenv("REVIEW_KEEP"); keep == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", d.dir)
	}
}

// writeSettings writes the settings of a process in the form of the templates of the deploy file.
func (d *deployment) writeSettings(name, section string, memoryMiB int) (string, error) {
	text := fmt.Sprintf("[node]\nname = %s\navailability-zone = zone-a\n\n[log]\nlevel = info\nformat = json\n\n%s\n[store]\naddress = %s\n\n%s", name, section, d.store.Address(), bounds)
	if strings.HasPrefix(section, "[gateway]") {
		text += eventDelivery
	}
	text += fmt.Sprintf("\n[limits]\nmemory-mib = %d\n", memoryMiB)
	path := filepath.Join(d.dir, name+".ini")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// startGateway starts the next gateway.
func (d *deployment) startGateway() error {
	ip := fmt.Sprintf("%s.2.%d", d.network, len(d.gateways)+1)
	listen, err := freeAddress(ip)
	if err != nil {
		return err
	}
	ready, err := freeAddress(ip)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("gateway-%d", len(d.gateways)+1)
	path, err := d.writeSettings(name, fmt.Sprintf("[gateway]\nlisten = %s\nready = %s\nagent-port = %s\ngrace = 8s\n", listen, ready, d.agentPort), 284)
	if err != nil {
		return err
	}
	p, err := d.start(name, "gateway", "--config", path)
	d.gateways = append(d.gateways, &gatewayProcess{process: p, listen: listen, ready: ready})
	return err
}

// startAgent starts the agent of an engine.
func (d *deployment) startAgent(r *replica) error {
	host, _, err := net.SplitHostPort(r.address)
	if err != nil {
		return err
	}
	name := "agent-" + host
	path, err := d.writeSettings(name, fmt.Sprintf("[agent]\nlisten = %s:%s\ntarget = %s\nservice = %s\n", host, d.agentPort, r.address, r.service), 216)
	if err != nil {
		return err
	}
	r.agent, err = d.start(name, "agent", "--config", path)
	return err
}

// start starts the project's program with the arguments of the deploy file.
func (d *deployment) start(name string, args ...string) (*process, error) {
	logs, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, args: args, logs: logs}
	d.processes = append(d.processes, p)
	return p, p.run(d.program)
}

// run starts the process, also again after its end.
func (p *process) run(program string) error {
	p.cmd = exec.Command(program, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = p.logs, p.logs
	if err := p.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		_ = cmd.Wait() // the case judges what callers see
		close(exited)
	}()
	return nil
}

// kill ends the process at once.
func (p *process) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// waitReady waits until all gateways count as ready.
func (d *deployment) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, g := range d.gateways {
		for !g.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// isReady reports whether the gateway answers the platform's readiness check with 200.
func (g *gatewayProcess) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/-/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// sleepUntil sleeps until a time after the begin of the case.
func (d *deployment) sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }
