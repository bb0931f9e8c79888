package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumbank/link"
)

// closeCase is a way in which a gateway process closes connections of callers, and when callers send around it.
type closeCase struct {
	grace      time.Duration
	idleLimit  time.Duration        // of the routes at the beginning
	disturb    func(p *plannedStop) // at the moment of the case; nil for none
	from, to   time.Duration        // of the sends after that moment
	isServed   bool                 // all requests must be served, as their callers keep within what they were told
	connectNew bool                 // callers open their connections as they send
	exits      bool                 // the process ends
}

const closeGrace = 2 * time.Second

func closeCases() map[string]closeCase {
	terminate := func(p *plannedStop) { p.gateway.signal(syscall.SIGTERM) }
	return map[string]closeCase{
		"idle connections in a stop": {grace: closeGrace, idleLimit: 15 * time.Second, disturb: terminate, from: 500 * time.Millisecond, to: 1200 * time.Millisecond, exits: true},
		"the whole stop":             {grace: closeGrace, idleLimit: 15 * time.Second, disturb: terminate, from: 0, to: 2500 * time.Millisecond, exits: true},
		"new connections in a stop":  {grace: closeGrace, idleLimit: 15 * time.Second, disturb: terminate, from: 0, to: 2500 * time.Millisecond, connectNew: true, exits: true},
		"stop and hangups": {grace: closeGrace, idleLimit: 15 * time.Second, disturb: func(p *plannedStop) {
			for range 6 {
				p.gateway.signal(syscall.SIGHUP)
				terminate(p)
			}
		}, from: 0, to: 2500 * time.Millisecond, exits: true},
		"idle timeout":         {grace: closeGrace, idleLimit: time.Second, from: 500 * time.Millisecond, to: 1800 * time.Millisecond},
		"lowered idle timeout": {grace: closeGrace, idleLimit: 15 * time.Second, disturb: func(p *plannedStop) { p.publish(3, time.Second) }, from: 0, to: 3 * time.Second, isServed: true},
		"raised idle timeout":  {grace: closeGrace, idleLimit: 2500 * time.Millisecond, disturb: func(p *plannedStop) { p.publish(3, 15*time.Second) }, from: 0, to: 3 * time.Second, isServed: true},
		"hangups":              {grace: closeGrace, idleLimit: 15 * time.Second, disturb: func(p *plannedStop) { p.gateway.signal(syscall.SIGHUP) }, from: 0, to: time.Second, isServed: true},
	}
}

// publish writes routes with an idle timeout to the store.
func (p *plannedStop) publish(version int, idleTimeout time.Duration) {
	document := stopRoutes()
	document["version"] = version
	document["limits"].(map[string]any)["idleTimeoutMs"] = idleTimeout.Milliseconds()
	p.store.Put("op", "config", document)
}

// sweepCallers is the number of callers of each kind of request.
const sweepCallers = 100

// sweepSends has callers send one request each after the moment, spread over the time of the case, on connections that have served one before.
// It tells ready of each caller that has its connection.
func (p *plannedStop) sweepSends(c closeCase, kind stopKind, address string, oneWay time.Duration, ready *sync.WaitGroup, moment <-chan struct{}, results chan<- stopResult) {
	var group sync.WaitGroup
	for i := range sweepCallers {
		group.Go(func() {
			at := max(0, c.from-oneWay+time.Duration(i)*(c.to-c.from)/sweepCallers)
			var conn net.Conn
			var reader *bufio.Reader
			if !c.connectNew {
				conn, reader = p.keptConnection(address, kind)
			}
			ready.Done()
			<-moment
			time.Sleep(at)
			if c.connectNew {
				conn, reader, _ = p.dial(address)
			}
			if conn == nil { // the process has ended, or served no first request
				return
			}
			defer conn.Close()
			result, _ := p.send(kind, conn, reader)
			results <- result
		})
	}
	group.Wait()
}

// dial opens a connection to an address.
func (p *plannedStop) dial(address string) (net.Conn, *bufio.Reader, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	return conn, bufio.NewReader(conn), nil
}

// keptConnection opens a connection and has a first request served on it.
func (p *plannedStop) keptConnection(address string, kind stopKind) (net.Conn, *bufio.Reader) {
	for range 20 {
		conn, reader, err := p.dial(address)
		if err != nil {
			p.t.Error(err)
			return nil, nil
		}
		if result, keep := p.send(kind, conn, reader); keep && result.status == 200 {
			return conn, reader
		}
		conn.Close()
		time.Sleep(20 * time.Millisecond)
	}
	p.t.Error("no connection served a first request")
	return nil, nil
}

// TestRequestThatMeetsACloseOfTheProcess guards against a request that a gateway process has read and whose caller gets no answer, in each way in
// which the process closes connections.
func TestRequestThatMeetsACloseOfTheProcess(t *testing.T) {
	for place, oneWay := range map[string]time.Duration{"near": 0, "far": 150 * time.Millisecond} {
		for name, c := range closeCases() {
			t.Run(place+"/"+name, func(t *testing.T) {
				t.Parallel()
				p := newPlannedStop(t, c.grace)
				p.publish(2, c.idleLimit)
				time.Sleep(300 * time.Millisecond)
				address := p.address
				if oneWay > 0 {
					relay, err := link.New(p.address)
					if err != nil {
						t.Fatal(err)
					}
					defer relay.Close()
					relay.SetDelay(oneWay)
					address = relay.Address()
				}
				results := make(chan stopResult, 1<<10)
				var kinds, ready sync.WaitGroup
				moment := make(chan struct{})
				for _, kind := range []string{"safe", "unsafe"} {
					ready.Add(sweepCallers)
					kinds.Go(func() { p.sweepSends(c, stopKinds[kind], address, oneWay, &ready, moment, results) })
				}
				ready.Wait()
				if c.disturb != nil {
					c.disturb(p)
				}
				close(moment)
				kinds.Wait()
				close(results)
				if c.exits {
					<-p.gateway.exited
				}
				p.checkSweep(c, results)
			})
		}
	}
}

// checkSweep reports requests that the gateway has read, as its log shows, and that got no answer.
func (p *plannedStop) checkSweep(c closeCase, results <-chan stopResult) {
	log := p.gateway.output.String()
	counts := map[string]int{}
	for r := range results {
		p.mu.Lock()
		ran := p.ran[r.id]
		p.mu.Unlock()
		counts[fmt.Sprint(r.status)]++
		switch {
		case r.status == 0 && strings.Contains(log, `"request":"`+r.id+`"`):
			p.t.Errorf("%s got no answer, but the gateway had read it", r.id)
		case r.status == 0 && ran:
			p.t.Errorf("%s got no answer, but ran", r.id)
		case r.status == 503 && ran:
			p.t.Errorf("%s was refused as not run, but ran", r.id)
		case r.status != 200 && c.isServed:
			p.t.Errorf("%s got status %d, though its caller kept within what it was told", r.id, r.status)
		}
	}
	p.t.Logf("requests by status: %v", counts)
}
