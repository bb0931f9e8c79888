package cases

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	longBodyBytes = 110_000 // the longest of the site
	answerBytes   = 800
	// windowBytes is the receive buffer of a target's connection: the pages say that links have small windows.
	windowBytes  = 16 << 10
	readLater    = 2500 * time.Millisecond // until an early answer goes on and the body is read on
	longPosts    = 12
	longInterval = 500 * time.Millisecond
	// maxWithoutAnswer is how often a channel may be closed without an answer.
	maxWithoutAnswer = 3
)

// earlyAnswerToALongBody has targets begin to answer before they have read a long body, and read on later. Callers on kept connections must get their answers.
func earlyAnswerToALongBody(d *deployment) (held bool, err error) {
	s := &earlyCase{deployment: d}
	for i := range 4 {
		r := d.newReplica("ledger", "", nil, nil)
		r.serveConn = s.serve
		r.receiveBuffer = windowBytes
		if r.address, err = freeAddress(fmt.Sprintf("%s.4.%d", d.network, i+1)); err != nil {
			return false, err
		}
		if err = r.start(); err != nil {
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
	time.Sleep(4 * time.Second)
	s.play()
	return s.judge()
}

// earlyCase is the state of the case.
type earlyCase struct {
	*deployment

	mu    sync.Mutex
	whole int
	none  []string // requests whose channel was closed without an answer
}

// serve answers the requests on a connection. It begins to answer one with a long body before it has read that, unless there is no trouble.
func (s *earlyCase) serve(r *replica, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if err := s.answer(r, conn, request); err != nil {
			return
		}
	}
}

// answer answers one request in two parts.
func (s *earlyCase) answer(r *replica, conn net.Conn, request *http.Request) error {
	id := request.Header.Get("X-Gypsumbank-Request-Id")
	if expected := request.Header.Get("X-Gypsumbank-Expect-Instance"); expected != "" && expected != r.id {
		return errOtherReplica
	}
	early := s.trouble && request.ContentLength >= longBodyBytes
	if !early {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return err
		}
	}
	s.rec.sayf("%s begins to answer %s, early %t", r.id, id, early)
	half := strings.Repeat("a", answerBytes/2)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Gypsumbank-Request-Id: %s\r\nX-Gypsumbank-Response-Stamp: stamp\r\nContent-Length: %d\r\n\r\n%s", id, answerBytes, half)
	if err != nil {
		return err
	}
	time.Sleep(readLater)
	_, err = io.WriteString(conn, half)
	if err == nil && early {
		_, err = io.Copy(io.Discard, request.Body)
	}
	s.rec.sayf("%s has answered %s and read its body, error %v", r.id, id, err)
	return err
}

// errOtherReplica reports a request for another replica.
var errOtherReplica = errors.New("request for another replica")

// play has callers send a short request and then a long one on a kept connection each.
func (s *earlyCase) play() {
	var wait sync.WaitGroup
	for n := range longPosts {
		wait.Go(func() { s.callTwice(n) })
		time.Sleep(longInterval)
	}
	wait.Wait()
}

func (s *earlyCase) callTwice(n int) {
	opened := 0
	transport := &http.Transport{MaxConnsPerHost: 1, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		opened++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	client := &http.Client{Transport: transport, Timeout: callerPatience}
	defer client.CloseIdleConnections()
	gateway := s.gateways[n%len(s.gateways)]
	first := fmt.Sprintf("short-%d", n)
	c := ask(client, http.MethodPost, gateway.listen, "/post/"+first, first, nil, "entry")
	s.rec.sayf("%s through %s answered %d, whole %t, error %v", first, gateway.name, c.Status, c.Whole, c.Err)
	id := fmt.Sprintf("long-%d", n)
	s.rec.sayf("%s sent to %s, %d bytes", id, gateway.name, longBodyBytes)
	c = ask(client, http.MethodPost, gateway.listen, "/post/"+id, id, nil, strings.Repeat("b", longBodyBytes))
	s.rec.sayf("%s through %s answered %d, whole %t, error %v; connections opened for both requests: %d", id, gateway.name, c.Status, c.Whole, c.Err, opened)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.Whole && c.Status == http.StatusOK:
		s.whole++
	case c.Status == 0:
		if opened == 1 {
			s.none = append(s.none, id)
		}
	}
}

// judge counts the requests whose channel was closed without an answer.
func (s *earlyCase) judge() (held bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.sayf("%d of %d long requests were answered whole; %d channels were closed without an answer; %d are allowed", s.whole, longPosts, len(s.none), maxWithoutAnswer)
	return len(s.none) <= maxWithoutAnswer, nil
}
