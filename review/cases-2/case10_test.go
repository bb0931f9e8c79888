package cases

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	eventInterval   = 30 * time.Millisecond
	usualLimit      = 200 // tokens at most of usual streams
	usualEvents     = 10  // tokens that they do use
	longLimit       = 140 // tokens at most of long streams, which use them all
	longShare       = 12  // one stream of so many is long
	streamInterval  = 20 * time.Millisecond
	streamWarmUp    = 12 * time.Second
	restartGap      = 2 * time.Second // between two gateways of a rolling restart
	restartRounds   = 2
	restartPause    = 20 * time.Second // from the begin of one round to the next
	graceLength     = 8 * time.Second
	checkInterval   = time.Second // of the platform's readiness checks
	missesToBeOut   = 2
	excusedSendTime = 3 * time.Second // after the SIGTERM; what was sent up to then may be cut in the last sixth of the grace
)

// longStreamsInAStop restarts three gateways one after the other while streams come, of which a few use all the tokens of their limit and most far fewer.
// What a gateway has passed on must be answered whole.
func longStreamsInAStop(d *deployment) (held bool, err error) {
	s := &stopCase{deployment: d, client: newCaller()}
	for i := range 4 {
		r := d.newReplica("engines", "", []string{"m1"}, s.serve)
		if r.address, err = freeAddress(fmt.Sprintf("%s.3.%d", d.network, i+1)); err != nil {
			return false, err
		}
		if err = r.start(); err != nil {
			return false, err
		}
		if err = d.startAgent(r); err != nil {
			return false, err
		}
	}
	d.store.Put("op", "config", newManifest(1))
	for range 3 {
		if err = d.startGateway(); err != nil {
			return false, err
		}
		s.nodes = append(s.nodes, &node{gatewayProcess: d.gateways[len(d.gateways)-1]})
	}
	if err = d.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the agents have connected
	if err = s.play(); err != nil {
		return false, err
	}
	return s.judge()
}

// node is a gateway as the platform sees it.
type node struct {
	*gatewayProcess
	misses  atomic.Int64 // readiness checks in a row without a 200
	stopped atomic.Int64 // when the latest SIGTERM was sent, in nanoseconds; 0 for none
}

// stopCase is the state of the case.
type stopCase struct {
	*deployment
	client *http.Client
	nodes  []*node

	mu                         sync.Mutex
	usualServed, usualNot      int
	longServed, longNot        int
	cut                        int // streams that were passed on and cut, and that the rule doesn't excuse
	excused                    int // streams that were passed on and cut, and that it does
	withoutNode, sentInTheStop int
}

// serve answers a stream, each at the same pace.
func (s *stopCase) serve(r *replica, w http.ResponseWriter, request *http.Request) {
	s.rec.sayf("%s runs %s", r.id, request.Header.Get("X-Gypsumbank-Request-Id"))
	if !strings.HasPrefix(request.URL.Path, "/ask/long") {
		stream(w, request, usualEvents, eventInterval)
		return
	}
	begin := time.Now()
	stream(w, request, longLimit, eventInterval)
	if request.Context().Err() != nil {
		s.rec.sayf("%s has run %s for %.2f s when its channel is closed", r.id, request.Header.Get("X-Gypsumbank-Request-Id"), time.Since(begin).Seconds())
	}
}

// check asks a node once a second whether it is ready, as the platform does.
func (s *stopCase) check(n *node, done <-chan struct{}) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		if n.isReady() {
			if n.misses.Swap(0) >= missesToBeOut {
				s.rec.sayf("%s is in rotation again", n.name)
			}
		} else if n.misses.Add(1) == missesToBeOut {
			s.rec.sayf("%s is out of rotation", n.name)
		}
	}
}

// pick returns the node for a new channel: one in rotation, or any of the zone if fewer than half of them are in rotation. If none is, the platform uses
// another zone, which is not played.
func (s *stopCase) pick(n int) *node {
	in := []*node{}
	for _, candidate := range s.nodes {
		if candidate.misses.Load() < missesToBeOut {
			in = append(in, candidate)
		}
	}
	switch {
	case len(in) == 0:
		return nil
	case 2*len(in) < len(s.nodes):
		in = s.nodes
	}
	return in[n%len(in)]
}

func (s *stopCase) play() error {
	done := make(chan struct{})
	var wait, checks sync.WaitGroup
	for _, n := range s.nodes {
		checks.Go(func() { s.check(n, done) })
	}
	begin := time.Now()
	end := begin.Add(streamWarmUp + restartRounds*restartPause)
	wait.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			wait.Go(func() { s.send(n) })
			time.Sleep(streamInterval)
		}
	})
	var restartErr error
	if s.trouble {
		for round := range restartRounds {
			s.sleepUntil(begin.Add(streamWarmUp + time.Duration(round)*restartPause))
			var restarts sync.WaitGroup
			for i, n := range s.nodes {
				restarts.Go(func() {
					time.Sleep(time.Duration(i) * restartGap)
					if err := s.restart(n); err != nil {
						s.mu.Lock()
						restartErr = err
						s.mu.Unlock()
					}
				})
			}
			restarts.Wait()
		}
	}
	wait.Wait()
	close(done)
	checks.Wait()
	return restartErr
}

// restart stops a node as planned, and starts it again once it has ended.
func (s *stopCase) restart(n *node) error {
	n.stopped.Store(time.Now().UnixNano())
	s.rec.sayf("SIGTERM to %s", n.name)
	if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-n.exited:
		s.rec.sayf("%s has ended", n.name)
	case <-time.After(graceLength):
		s.rec.sayf("%s is killed at the end of its grace", n.name)
		n.kill()
	}
	return n.run(s.program)
}

// send sends the n-th stream.
func (s *stopCase) send(n int) {
	isLong := n%longShare == 0
	number := n
	if isLong {
		number = n / longShare
	}
	chosen := s.pick(number)
	if chosen == nil {
		s.mu.Lock()
		s.withoutNode++
		s.mu.Unlock()
		return
	}
	name, limit := "usual", usualLimit
	if isLong {
		name, limit = "long", longLimit
	}
	id := fmt.Sprintf("%s-%d", name, n)
	stopped := time.Unix(0, chosen.stopped.Load())
	c := ask(s.client, http.MethodPost, chosen.listen, "/ask/"+id, id, map[string]string{
		"X-Gypsumbank-Model": "m1", "X-Gypsumbank-Token-Usage": fmt.Sprintf("430,%d", limit),
		"X-Gypsumbank-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,91bd3f%02x:150,%08x:80", n%10, n),
	}, "prompt of "+id)
	sentAfter := c.At.Sub(stopped)
	inStop := sentAfter < graceLength
	wasCut := c.Begun && !c.Whole
	events := strings.Count(c.Body, "\n\n")
	if inStop {
		s.rec.sayf("%s, sent to %s %.2f s after its SIGTERM, ended %.2f s after it: status %d, %d events, whole %t, error %v", id, chosen.name,
			sentAfter.Seconds(), time.Since(stopped).Seconds(), c.Status, events, c.Whole, c.Err)
	} else {
		s.rec.sayf("%s, sent to %s %.2f s before: status %d, %d events, whole %t, error %v", id, chosen.name, time.Since(c.At).Seconds(), c.Status, events, c.Whole, c.Err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if inStop {
		s.sentInTheStop++
	}
	switch {
	case wasCut && inStop && sentAfter > excusedSendTime:
		s.cut++
	case wasCut:
		s.excused++
	case isLong && c.Whole && c.Begun:
		s.longServed++
	case isLong:
		s.longNot++
	case c.Whole && c.Begun:
		s.usualServed++
	default:
		s.usualNot++
	}
}

func (s *stopCase) judge() (held bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.sayf("usual streams: %d whole, %d refused or not taken; long ones: %d whole, %d refused or not taken; %d came while no gateway was in rotation; %d came to a gateway after its SIGTERM",
		s.usualServed, s.usualNot, s.longServed, s.longNot, s.withoutNode, s.sentInTheStop)
	s.rec.sayf("passed on and cut: %d that were sent later than %.0f s after the SIGTERM, %d others, which don't count", s.cut, excusedSendTime.Seconds(), s.excused)
	if s.usualServed == 0 || s.longServed == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return s.cut == 0, nil
}
