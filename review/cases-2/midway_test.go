package cases

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	repeatInterval = 2 * time.Second
	repeats        = 30
	crashAfter     = 900 * time.Millisecond // from the first event on
	crashDowntime  = 2500 * time.Millisecond
	sideInterval   = 100 * time.Millisecond
	// maxRepeats is how often a request that crashes its replicas may reach one once the gateways must know it.
	maxRepeats = 3
	// crashesToKnow is the number of crashes after which they must.
	crashesToKnow = 3
)

// requestThatCrashesMidway has the same request come again and again, under which each engine crashes that runs it, in the midst of its answer. Once
// three engines have crashed, it may reach engines in three retries more.
func requestThatCrashesMidway(d *deployment) (held bool, err error) {
	s := &midwayCase{deployment: d, client: newCaller(), sentAt: map[string]time.Time{}}
	for i := range 5 {
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

// midwayCase is the state of the case.
type midwayCase struct {
	*deployment
	client *http.Client

	mu      sync.Mutex
	sent    int
	sentAt  map[string]time.Time // when the caller has sent the request, by id of the attempt
	crashes []time.Time
	ran     []string // ids of the attempts that have reached engines
	served  int
	lost    int // sound requests that were passed on and not answered whole
}

// isRepeated reports whether a request is the one that comes again.
func isRepeated(request *http.Request) bool { return strings.Contains(request.URL.Path, "/ask/same") }

// serve answers a stream. Under the request that comes again the engine crashes midway.
func (s *midwayCase) serve(r *replica, w http.ResponseWriter, request *http.Request) {
	if !isRepeated(request) || !s.trouble {
		stream(w, request, 30, 50*time.Millisecond)
		return
	}
	id := request.Header.Get("X-Gypsumbank-Request-Id")
	s.mu.Lock()
	s.ran = append(s.ran, id)
	s.mu.Unlock()
	s.rec.sayf("%s runs %s", r.id, id)
	crash := time.AfterFunc(crashAfter, func() {
		if r.isUp() {
			s.mu.Lock()
			s.crashes = append(s.crashes, time.Now())
			s.mu.Unlock()
		}
		r.crash(crashDowntime)
	})
	defer crash.Stop()
	stream(w, request, 30, 50*time.Millisecond)
}

// play sends the request again and again, beside sound ones.
func (s *midwayCase) play() {
	var wait sync.WaitGroup
	end := time.Now().Add(repeats * repeatInterval)
	wait.Go(func() {
		for time.Now().Before(end) {
			wait.Go(s.sendSound)
			time.Sleep(sideInterval)
		}
	})
	for n := range repeats {
		wait.Go(func() { s.sendSame(n) })
		time.Sleep(repeatInterval)
	}
	wait.Wait()
}

func (s *midwayCase) sendSame(n int) {
	gateway := s.gateways[n%len(s.gateways)]
	id := fmt.Sprintf("same-%d", n)
	s.mu.Lock()
	s.sentAt[id] = time.Now()
	s.mu.Unlock()
	c := ask(s.client, http.MethodPost, gateway.listen, "/ask/same", id, map[string]string{
		"X-Gypsumbank-Model": "m1", "X-Gypsumbank-Token-Usage": "430,150", "X-Gypsumbank-Prompt-Prefix": "5c1e07a2:200,77aa00ff:150,e4402b7d:80",
	}, "the same prompt")
	s.rec.sayf("%s through %s answered %d, begun %t, whole %t, error %v", id, gateway.name, c.Status, c.Begun, c.Whole, c.Err)
}

func (s *midwayCase) sendSound() {
	s.mu.Lock()
	s.sent++
	n := s.sent
	s.mu.Unlock()
	gateway := s.gateways[n%len(s.gateways)]
	id := fmt.Sprintf("sound-%d", n)
	c := ask(s.client, http.MethodPost, gateway.listen, "/ask/"+id, id, map[string]string{
		"X-Gypsumbank-Model": "m1", "X-Gypsumbank-Token-Usage": "430,150", "X-Gypsumbank-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,91bd3f%02x:150,%08x:80", n%10, n),
	}, "prompt of "+id)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.Begun && c.Whole:
		s.served++
	case c.Begun || c.Status != http.StatusServiceUnavailable:
		s.lost++
	}
}

// judge counts the attempts that have reached engines though the caller sent them long after the third crash.
func (s *midwayCase) judge() (held bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.sayf("%d crashes; %d sound requests were served whole, %d were passed on and lost", len(s.crashes), s.served, s.lost)
	if s.served == 0 {
		return false, fmt.Errorf("no sound request was served")
	}
	if len(s.crashes) < crashesToKnow {
		return true, nil
	}
	from := s.crashes[crashesToKnow-1].Add(stableWindow)
	late := 0
	for _, id := range s.ran {
		if s.sentAt[id].After(from) {
			late++
			s.rec.sayf("%s reached an engine, sent %.1f s after the third crash", id, s.sentAt[id].Sub(s.crashes[crashesToKnow-1]).Seconds())
		}
	}
	s.rec.sayf("the request reached engines in %d retries that were sent later than %.1f s after the third crash; %d are allowed", late, stableWindow.Seconds(), maxRepeats)
	return late <= maxRepeats, nil
}
