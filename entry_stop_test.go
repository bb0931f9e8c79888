package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumbank/deployment"
	"gypsumbank/standin/caller"
)

// entryStop counts how requests end that callers send to an entry process that stops.
type entryStop struct {
	mu     sync.Mutex
	ends   map[string]int // by status or error
	errors []error        // of requests that were not served nor refused as they should have been
}

func (s *entryStop) add(status int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, caller.ErrUnread):
		s.ends["closed unread"]++
		return
	case err == nil:
		s.ends[http.StatusText(status)]++
	}
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusServiceUnavailable, http.StatusRequestTimeout:
	default:
		s.errors = append(s.errors, fmt.Errorf("status %d: %w", status, err))
	}
}

// call sends requests on a connection that it keeps until the entry closes it, with pauses of any length up to the given one, until the entry is gone.
func (s *entryStop) call(address string, pieces []string, maxPause time.Duration, gone <-chan struct{}) {
	for {
		conn, err := caller.New(address)
		if err != nil {
			return // no longer accepts
		}
		for last := false; !last; {
			for _, piece := range pieces {
				time.Sleep(rand.N(maxPause))
				conn.Send(piece)
			}
			var status int
			status, last, err = conn.Answer()
			s.add(status, err)
		}
		conn.Close()
		select {
		case <-gone:
			return
		default:
		}
	}
}

// TestEntryProcessAnswersWhatItHasRead stops an entry process while callers use their connections until it is gone.
func TestEntryProcessAnswersWhatItHasRead(t *testing.T) {
	const callersPerKind = 30
	size := deployment.Small()
	size.Zones = size.Zones[:1]
	size.Entries, size.ModelReplicas, size.LedgerReplicas, size.Models, size.Adapters = 1, 1, 1, 1, 1
	size.Grace = 2 * time.Second
	c := startCluster(t, size)
	entry, address := c.entries[0], c.addresses[c.entries[0].name]
	key := "Authorization: Bearer " + size.Key(size.Members[0]) + "\r\n"
	list := "GET /v1/models HTTP/1.1\r\nHost: x\r\n" + key + "\r\n"
	event := "POST /services/ledger/events HTTP/1.1\r\nHost: x\r\n" + key + "Content-Length: 10\r\n\r\n"
	kinds := map[string]struct {
		pieces   []string
		maxPause time.Duration
	}{
		"short":                {[]string{list}, 20 * time.Millisecond},
		"short, rare":          {[]string{list}, 800 * time.Millisecond},
		"body in pieces":       {[]string{event, `{"id":`, `"e"}`}, 60 * time.Millisecond},
		"head in pieces":       {[]string{list[:30], list[30:]}, 60 * time.Millisecond},
		"body in pieces, slow": {[]string{event, `{"id":`, `"e"}`}, 900 * time.Millisecond},
	}
	result := &entryStop{ends: map[string]int{}}
	var group sync.WaitGroup
	for _, kind := range kinds {
		for range callersPerKind {
			group.Go(func() { result.call(address, kind.pieces, kind.maxPause, entry.exited) })
		}
	}
	time.Sleep(500 * time.Millisecond)
	entry.signal(syscall.SIGTERM)
	group.Wait()
	<-entry.exited
	t.Logf("ends of requests: %v", result.ends)
	if entry.exitErr != nil {
		t.Error(entry.exitErr)
	}
	for _, err := range result.errors {
		t.Error(err)
	}
	if result.ends[http.StatusText(http.StatusOK)] == 0 {
		t.Error("no request was served")
	}
}
