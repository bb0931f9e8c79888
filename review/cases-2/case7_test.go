package cases

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	volleyInterval = 8 * time.Second // between two volleys of requests with the bad part
	volleySize     = 10
	volleys        = 4
	sharedParts    = 10                     // of the sound requests, each of which has one of them
	prefillTime    = 240 * time.Millisecond // of a prompt with the bad part, before the engine begins to write
	soundInterval  = 50 * time.Millisecond
	// maxBadRuns is how many requests with the bad part may reach engines once the gateways must know it.
	maxBadRuns = 3
	// crashesKnown is the number of crashes after which they must.
	crashesKnown = 5
)

// badPartInVolleys has requests with a part under which engines crash come several at a time. Once five engines have crashed under it, no more
// than three requests with that part may reach engines.
func badPartInVolleys(d *deployment) (held bool, err error) {
	s := &volleyCase{deployment: d, client: newCaller()}
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

// volleyCase is the state of the case.
type volleyCase struct {
	*deployment
	client *http.Client

	mu      sync.Mutex
	sent    int
	sentAt  map[string]time.Time // when callers have sent the requests with the bad part, by id
	crashes []time.Time
	badRuns []string // ids of the requests with the bad part that have reached engines
	served  int      // sound requests that were answered whole
	lost    int      // sound requests that were passed on and not answered whole
}

// serve answers a stream, or crashes under the bad part as it begins to write the answer.
func (s *volleyCase) serve(r *replica, w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Gypsumbank-Request-Id")
	if !strings.Contains(request.Header.Get("X-Gypsumbank-Prompt-Prefix"), badPart) {
		s.rec.sayf("%s runs %s", r.id, id)
		stream(w, request, 10, 50*time.Millisecond)
		return
	}
	s.mu.Lock()
	s.badRuns = append(s.badRuns, id)
	s.mu.Unlock()
	s.rec.sayf("%s runs %s, which has the bad part", r.id, id)
	time.Sleep(prefillTime)
	if r.isUp() {
		s.mu.Lock()
		s.crashes = append(s.crashes, time.Now())
		s.mu.Unlock()
	}
	r.crash(badDowntime)
	panic(http.ErrAbortHandler)
}

// send sends one request with a prompt through the next gateway.
func (s *volleyCase) send(kind, tokens, prompt string) {
	s.mu.Lock()
	s.sent++
	n := s.sent
	id := fmt.Sprintf("%s-%d", kind, n)
	if kind == "bad" {
		if s.sentAt == nil {
			s.sentAt = map[string]time.Time{}
		}
		s.sentAt[id] = time.Now()
	}
	s.mu.Unlock()
	gateway := s.gateways[n%len(s.gateways)]
	prompt = strings.ReplaceAll(prompt, "OWN", fmt.Sprintf("%08x", 0xa0000000+n))
	prompt = strings.ReplaceAll(prompt, "SHARED", fmt.Sprintf("%08x", 0x91bd3f00+n%sharedParts))
	s.rec.sayf("%s sent to %s: %s", id, gateway.name, prompt)
	c := ask(s.client, http.MethodPost, gateway.listen, "/ask/"+id, id, map[string]string{
		"X-Gypsumbank-Model": "m1", "X-Gypsumbank-Token-Usage": tokens, "X-Gypsumbank-Prompt-Prefix": prompt,
	}, "prompt of "+id)
	s.rec.sayf("%s answered %d, begun %t, whole %t: %.60q, error %v", id, c.Status, c.Begun, c.Whole, c.Body, c.Err)
	if kind == "bad" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.Begun && c.Whole:
		s.served++
	case c.Begun || c.Status != http.StatusServiceUnavailable:
		s.lost++
	}
}

// play sends sound requests all the time and volleys of requests with the bad part.
func (s *volleyCase) play() {
	var wait sync.WaitGroup
	began := time.Now()
	end := began.Add(6*time.Second + volleys*volleyInterval)
	if s.trouble {
		wait.Go(func() {
			for i := range volleys {
				s.sleepUntil(began.Add(6*time.Second + time.Duration(i)*volleyInterval))
				for range volleySize {
					wait.Go(func() { s.send("bad", "9190,50", "5c1e07a2:200,"+badPart+":6100,OWN:2890") })
				}
			}
		})
	}
	for at := began; at.Before(end); at = at.Add(soundInterval) {
		s.sleepUntil(at)
		wait.Go(func() { s.send("sound", "430,50", "5c1e07a2:200,SHARED:150,OWN:80") })
	}
	wait.Wait()
}

// judge counts the requests with the bad part that have reached engines though callers sent them long after the fifth crash.
func (s *volleyCase) judge() (held bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.sayf("%d crashes; %d sound requests were served whole, %d were passed on and lost", len(s.crashes), s.served, s.lost)
	if s.served == 0 {
		return false, fmt.Errorf("no sound request was served")
	}
	if len(s.crashes) < crashesKnown {
		return true, nil
	}
	from := s.crashes[crashesKnown-1].Add(stableWindow)
	late := 0
	for _, id := range s.badRuns {
		if s.sentAt[id].After(from) {
			late++
			s.rec.sayf("%s reached an engine, sent %.1f s after the fifth crash", id, s.sentAt[id].Sub(s.crashes[crashesKnown-1]).Seconds())
		}
	}
	s.rec.sayf("%d requests with the bad part reached engines that were sent later than %.1f s after the fifth crash; %d are allowed", late, stableWindow.Seconds(), maxBadRuns)
	return late <= maxBadRuns, nil
}
