package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

// soakNode is a process that is killed and started again.
type soakNode struct {
	name, role, config, listen string
	mu                         sync.Mutex
	process                    *process
	starts                     int
}

func (s *soakSite) addNode(name, role, listen, section string) {
	text := fmt.Sprintf("[node]\nname = %s\navailability-zone = zone-a\n[log]\nformat = json\n%s[store]\naddress = %s\n", name, section, s.toStore.Address())
	n := &soakNode{name: name, role: role, listen: listen, config: filepath.Join(s.t.TempDir(), name+".ini")}
	if err := os.WriteFile(n.config, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.nodes = append(s.nodes, n)
	n.start(s.t)
}

// start starts the process; the caller holds the lock, or no other goroutine knows the node.
func (n *soakNode) start(t *testing.T) {
	n.starts++
	n.process = startProcess(t, n.name, n.role, "--config="+n.config)
}

func (n *soakNode) current() (*process, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process, fmt.Sprintf("%s-%d", n.name, n.starts)
}

// fault begins a fault and has it end later.
func (s *soakSite) fault() {
	length := time.Duration(200+s.rng.IntN(1300)) * time.Millisecond
	target := s.targets[s.rng.IntN(len(s.targets))]
	node := s.nodes[s.rng.IntN(len(s.nodes))]
	victim, _ := node.current()
	storeFault := []site.Fault{site.Down, site.Silent, site.LoseAnswers, site.LoseHistory, site.LateWrites}[s.rng.IntN(5)]
	faults := []struct {
		name       string
		begin, end func()
	}{
		{"delay of " + target.id, func() { target.way.SetDelay(60 * time.Millisecond) }, func() { target.way.SetDelay(0) }},
		{"loss on the way to " + target.id, func() { target.way.SetLoss(0.3) }, func() { target.way.SetLoss(0) }},
		{"cut of " + target.id, target.way.CloseConnections, func() {}},
		{"silence of " + target.id, target.way.SilenceOpen, target.way.CloseConnections},
		{"one way to " + target.id, func() { target.way.SetBlockFromTarget(true) }, func() { target.way.SetBlockFromTarget(false); target.way.CloseConnections() }},
		{"restart of " + target.id, target.Restart, func() { s.register(target, "ready") }},
		{"leave of " + target.id, func() { s.register(target, "draining") }, func() { s.register(target, "ready") }},
		{fmt.Sprintf("store fault %d", storeFault), func() { s.store.SetFault(storeFault) }, func() { s.store.SetFault(site.NoFault) }},
		{"cut of the store", s.toStore.CloseConnections, func() {}},
		{"freeze of " + node.name, func() { s.signal(node, syscall.SIGSTOP) }, func() { s.signal(node, syscall.SIGCONT) }},
		{"kill of " + node.name, func() { victim.signal(syscall.SIGKILL) }, func() { s.restart(node, victim) }},
		{"stop of " + node.name, func() { s.stop(node) }, func() {}},
		{"reload of " + node.name, func() { s.signal(node, syscall.SIGHUP) }, func() { s.signal(node, syscall.SIGHUP) }},
		{"new routes", s.publish, s.publish},
	}
	f := faults[s.rng.IntN(len(faults))]
	s.log = append(s.log, fmt.Sprintf("%6d ms: %s for %s", time.Since(s.begun).Milliseconds(), f.name, length))
	f.begin()
	s.ends.Go(func() {
		time.Sleep(length)
		f.end()
	})
}

func (s *soakSite) signal(n *soakNode, what syscall.Signal) {
	p, _ := n.current()
	p.signal(what)
}

// restart starts a node again once its process has ended, unless that was done.
func (s *soakSite) restart(n *soakNode, ended *process) {
	<-ended.ended
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == ended {
		n.start(s.t)
	}
}

// stop has a node drain, checks how it ends and starts it again.
func (s *soakSite) stop(n *soakNode) {
	p, name := n.current()
	begun := time.Now()
	p.signal(syscall.SIGTERM)
	s.ends.Go(func() {
		<-p.ended
		if !killed(p.err) {
			s.checker.Exited(name, p.err, time.Since(begun), soakGrace+exitSlack)
		}
		s.restart(n, p)
	})
}

// killed reports whether a process ended by a signal of the soak.
func killed(err error) bool { return err != nil && strings.Contains(err.Error(), "signal: killed") }
