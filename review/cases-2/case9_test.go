package cases

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slowEvents     = 12
	slowEventGap   = 400 * time.Millisecond
	slowInterval   = 150 * time.Millisecond // between two streams of callers
	hangFor        = 6500 * time.Millisecond
	hangShare      = 0.45                   // of the requests to the engine
	copyDelay      = 100 * time.Millisecond // until an event has reached the copy of its run
	stillAtWork    = 400 * time.Millisecond
	copyCaseTime   = 40 * time.Second
	hangTimes      = 3
	hangPause      = 4 * time.Second
	copyCaseBefore = 5 * time.Second
)

// runGoesOnAtTwoEngines has a part of the requests to one engine hang, reports among them, while its runs go on. No run may go on at another engine while the first still works on it.
func runGoesOnAtTwoEngines(d *deployment) (held bool, err error) {
	s := &copyCase{deployment: d, client: newCaller(), runs: map[string][]*engineRun{}}
	for i := range 7 {
		e := &copyEngine{copies: map[string]int{}}
		e.replica = d.newReplica("engines", "", []string{"m1"}, func(_ *replica, w http.ResponseWriter, request *http.Request) { s.serve(e, w, request) })
		e.hangs = func() bool { return s.hanging.Load() == e && rand.Float64() < hangShare }
		s.engines = append(s.engines, e)
		if e.address, err = freeAddress(fmt.Sprintf("%s.3.%d", d.network, i+1)); err != nil {
			return false, err
		}
		if err = e.start(); err != nil {
			return false, err
		}
		if err = d.startAgent(e.replica); err != nil {
			return false, err
		}
	}
	m := newManifest(1)
	m.copyRuns()
	d.store.Put("op", "config", m)
	for range 2 {
		if err = d.startGateway(); err != nil {
			return false, err
		}
	}
	if err = d.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the agents have connected
	s.play()
	return s.judge()
}

// copyEngine is an engine with the copies of other engines' runs that it keeps, by request id with the last event that has been copied.
type copyEngine struct {
	*replica
	copyMu sync.Mutex
	copies map[string]int
}

// engineRun is the work of an engine on a request.
type engineRun struct {
	engine  *copyEngine
	working atomic.Bool
}

// copyCase is the state of the case.
type copyCase struct {
	*deployment
	client  *http.Client
	engines []*copyEngine
	hanging atomic.Pointer[copyEngine] // the engine a part of whose requests hangs; nil for none

	mu     sync.Mutex
	runs   map[string][]*engineRun
	sent   int
	whole  int
	moved  int
	double int
}

// serve runs a request, from its begin or from the copy of its run. The run goes on to its end though the channel closes.
func (s *copyCase) serve(e *copyEngine, w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Gypsumbank-Request-Id")
	next := 1
	if from := request.Header.Get("Kv-From"); from != "" {
		e.copyMu.Lock()
		_, kept := e.copies[id]
		delete(e.copies, id)
		e.copyMu.Unlock()
		if !kept || from != e.address+"/"+id {
			w.Header().Set("X-Gypsumbank-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if _, err := fmt.Sscan(request.Header.Get("Last-Event-Id"), &next); err == nil {
			next++
		}
	}
	run := &engineRun{engine: e}
	run.working.Store(true)
	defer run.working.Store(false)
	s.begin(id, run)
	backup := s.engineAt(request.Header.Get("X-Gypsumbank-Kv-Backup"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Gypsumbank-Response-Stamp", "stamp")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	for event := next; event <= slowEvents; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", event, event) // the run goes on without its caller
		_ = controller.Flush()
		if backup != nil {
			time.AfterFunc(copyDelay, func() { backup.keep(id, event) })
		}
		time.Sleep(slowEventGap)
	}
	s.rec.sayf("%s ends its work on %s", e.id, id)
}

// keep records that a part of a run has been copied.
func (e *copyEngine) keep(id string, event int) {
	e.copyMu.Lock()
	defer e.copyMu.Unlock()
	e.copies[id] = event
}

func (s *copyCase) engineAt(address string) *copyEngine {
	for _, e := range s.engines {
		if e.address == address {
			return e
		}
	}
	return nil
}

// begin records a run, and later whether an earlier one of the request still goes on.
func (s *copyCase) begin(id string, run *engineRun) {
	s.mu.Lock()
	before := append([]*engineRun(nil), s.runs[id]...)
	s.runs[id] = append(s.runs[id], run)
	if len(before) > 0 {
		s.moved++
	}
	s.mu.Unlock()
	s.rec.sayf("%s works on %s, run %d", run.engine.id, id, len(before)+1)
	if len(before) == 0 {
		return
	}
	time.AfterFunc(stillAtWork, func() {
		for _, earlier := range before {
			if earlier.working.Load() && run.working.Load() {
				s.rec.sayf("%s still works on %s, %.1f s after %s has begun to", earlier.engine.id, id, stillAtWork.Seconds(), run.engine.id)
				s.mu.Lock()
				s.double++
				s.mu.Unlock()
			}
		}
	})
}

// play sends streams, and has the reports of one engine hang for a while.
func (s *copyCase) play() {
	var wait sync.WaitGroup
	end := time.Now().Add(copyCaseTime)
	wait.Go(func() {
		for time.Now().Before(end) {
			wait.Go(s.send)
			time.Sleep(slowInterval)
		}
	})
	time.Sleep(copyCaseBefore)
	for range hangTimes {
		if !s.trouble {
			break
		}
		e := s.busiest()
		s.rec.sayf("a part of the requests to %s hangs", e.id)
		s.hanging.Store(e)
		time.Sleep(hangFor)
		s.hanging.Store(nil)
		s.rec.sayf("no requests to %s hang any more", e.id)
		time.Sleep(hangPause)
	}
	wait.Wait()
}

// busiest returns the engine that works on most requests.
func (s *copyCase) busiest() *copyEngine {
	s.mu.Lock()
	defer s.mu.Unlock()
	working := map[*copyEngine]int{}
	best := s.engines[0]
	for _, runs := range s.runs {
		for _, run := range runs {
			if run.working.Load() {
				working[run.engine]++
			}
			if working[run.engine] > working[best] {
				best = run.engine
			}
		}
	}
	return best
}

func (s *copyCase) send() {
	s.mu.Lock()
	s.sent++
	n := s.sent
	s.mu.Unlock()
	gateway := s.gateways[n%len(s.gateways)]
	id := fmt.Sprintf("stream-%d", n)
	c := askWithin(s.client, 12*time.Second, http.MethodPost, gateway.listen, "/chat/"+id, id, map[string]string{
		"X-Gypsumbank-Model": "m1", "X-Gypsumbank-Token-Usage": "430,60", "X-Gypsumbank-Deadline-Ms": "12000",
		"X-Gypsumbank-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,91bd3f%02x:150,%08x:80", n%16, n),
	}, "prompt of "+id)
	s.rec.sayf("%s through %s answered %d, whole %t, %d events, error %v", id, gateway.name, c.Status, c.Whole, strings.Count(c.Body, "\n\n"), c.Err)
	if c.Whole && c.Begun {
		s.mu.Lock()
		s.whole++
		s.mu.Unlock()
	}
}

// judge counts the requests on which two engines worked.
func (s *copyCase) judge() (held bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.sayf("%d streams, %d whole; %d went on at a second engine, on %d of these the first still worked", s.sent, s.whole, s.moved, s.double)
	if s.whole == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return s.double == 0, nil
}
