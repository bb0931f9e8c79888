package cases

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// badPart is the part of a prompt under which each engine crashes that begins to write an answer.
const badPart = "bad0bad0"

const (
	groupInterval = 8 * time.Second // between two groups of sound requests
	groupSize     = 8
	groupsBefore  = 3
	groupsAfter   = 4
	badInterval   = 400 * time.Millisecond
	badDowntime   = 2500 * time.Millisecond
)

// badPartBeforeASharedOne has requests come whose prompt has a part under which engines crash, followed by a part that the sound requests
// share. The sound requests of the route must go on to be served once the gateways have seen the crashes.
func badPartBeforeASharedOne(d *deployment) (held bool, err error) {
	s := &badPartCase{deployment: d, client: newCaller()}
	for i := range 3 {
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
	return s.play()
}

// badPartCase is the state of the case.
type badPartCase struct {
	*deployment
	client *http.Client

	mu      sync.Mutex
	sound   []call
	crashes []time.Time
	sent    int
	badRuns int
}

// serve answers a stream, or crashes under the bad part.
func (s *badPartCase) serve(r *replica, w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Gypsumbank-Request-Id")
	if strings.Contains(request.Header.Get("X-Gypsumbank-Prompt-Prefix"), badPart) {
		s.mu.Lock()
		s.crashes = append(s.crashes, time.Now())
		s.badRuns++
		s.mu.Unlock()
		s.rec.sayf("%s runs %s, which has the bad part", r.id, id)
		time.Sleep(10 * time.Millisecond)
		r.crash(badDowntime)
		panic(http.ErrAbortHandler)
	}
	s.rec.sayf("%s runs %s", r.id, id)
	stream(w, request, 8, 40*time.Millisecond)
}

// send sends one request with a prompt through the next gateway.
func (s *badPartCase) send(kind, prompt string) call {
	s.mu.Lock()
	s.sent++
	n := s.sent
	s.mu.Unlock()
	gateway := s.gateways[n%len(s.gateways)]
	id := fmt.Sprintf("%s-%d", kind, n)
	prompt = strings.ReplaceAll(prompt, "OWN", fmt.Sprintf("%08x", 0xa0000000+n))
	s.rec.sayf("%s sent to %s: %s", id, gateway.name, prompt)
	c := ask(s.client, http.MethodPost, gateway.listen, "/ask/"+id, id, map[string]string{
		"X-Gypsumbank-Model": "m1", "X-Gypsumbank-Token-Usage": "430,40", "X-Gypsumbank-Prompt-Prefix": prompt,
	}, "prompt of "+id)
	s.rec.sayf("%s answered %d, begun %t, whole %t: %.60q, error %v", id, c.Status, c.Begun, c.Whole, c.Body, c.Err)
	return c
}

// group sends a group of sound requests at the same moment.
func (s *badPartCase) group(wait *sync.WaitGroup) {
	for range groupSize {
		wait.Go(func() {
			c := s.send("sound", "5c1e07a2:200,91bd3f06:150,OWN:80")
			s.mu.Lock()
			s.sound = append(s.sound, c)
			s.mu.Unlock()
		})
	}
}

// play sends the requests and judges.
func (s *badPartCase) play() (held bool, err error) {
	var wait sync.WaitGroup
	began := time.Now()
	badFrom := began.Add((groupsBefore-1)*groupInterval + groupInterval/2)
	end := badFrom.Add(groupInterval/2 + groupsAfter*groupInterval)
	if s.trouble {
		wait.Go(func() {
			for at := badFrom; at.Before(end); at = at.Add(badInterval) {
				s.sleepUntil(at)
				wait.Go(func() { s.send("bad", "5c1e07a2:200,"+badPart+":100,91bd3f06:150,OWN:80") })
			}
		})
	}
	for at := began; at.Before(end); at = at.Add(groupInterval) {
		s.sleepUntil(at)
		s.group(&wait)
	}
	wait.Wait()
	return s.judge(badFrom, end)
}

// judge compares how often sound requests begin at the first attempt before the bad ones came, and once the gateways must know them.
func (s *badPartCase) judge(badFrom, end time.Time) (held bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := badFrom.Add(2 * stableWindow)
	if n := len(s.crashes); n > 0 {
		from = s.crashes[min(n, 5)-1].Add(2 * stableWindow)
	}
	var before, after, beforeBegun, afterBegun int
	for _, c := range s.sound {
		switch {
		case c.At.Before(badFrom):
			before++
			if c.Begun {
				beforeBegun++
			}
		case c.At.After(from) && c.At.Before(end):
			after++
			if c.Begun {
				afterBegun++
			}
		}
	}
	s.rec.sayf("%d crashes; sound requests before: %d of %d begun at the first attempt; from %.1f s after the last crash that counts: %d of %d",
		len(s.crashes), beforeBegun, before, (2 * stableWindow).Seconds(), afterBegun, after)
	if before < 20 || after < 20 || beforeBegun == 0 {
		return false, fmt.Errorf("too few sound requests: %d and %d", before, after)
	}
	return 2*afterBegun*before >= beforeBegun*after, nil
}
