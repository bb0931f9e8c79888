package cases

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// requester sends requests to one gateway over connections that it keeps.
type requester struct {
	d       *deployment
	gateway *process
	client  *http.Client
}

// outcome is how a request has ended, as its requester sees it.
type outcome struct {
	id      string
	sentAt  time.Time
	endedAt time.Time
	status  int // 0 without an answer
	body    string
	err     error // why there is no answer, or no whole one
	stamped bool
	kept    bool // sent on a channel that had carried a request before
	gaveUp  bool // the requester\'s own deadline ended it
	retryMs int
}

// served reports whether the requester got a whole success.
func (o outcome) served() bool { return o.err == nil && o.status == http.StatusOK && o.stamped }

func newRequester(d *deployment, gateway *process) *requester {
	dialer := &net.Dialer{Timeout: time.Second}
	return &requester{d: d, gateway: gateway, client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// newID returns the id of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request and waits for its end.
func (r *requester) send(method, path string, body io.Reader, deadline time.Duration, header map[string]string) outcome {
	o := outcome{id: newID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.gateway.frontend+path, body)
	if err != nil {
		r.d.cannotRun(err)
	}
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { o.kept = info.Reused }}))
	request.GetBody = nil // no request is sent again by the client library
	request.Host = host
	request.Header.Set("X-Gypsumbank-Request-Id", o.id)
	request.Header.Set("X-Gypsumbank-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := r.client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		response.Body.Close()
		o.status, o.body, o.stamped = response.StatusCode, string(data), response.Header.Get("X-Gypsumbank-Response-Stamp") != ""
		if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
			o.retryMs = int(1000 * seconds)
		}
	}
	o.err, o.endedAt, o.gaveUp = err, time.Now(), ctx.Err() != nil
	if r.d.quiet.Load() {
		return o
	}
	r.d.note("request %s %s %s to %s: status %d, %d bytes, error %v, after %d ms", o.id, method, path, r.gateway.name, o.status, len(o.body), err, o.endedAt.Sub(o.sentAt).Milliseconds())
	return o
}

// isReady asks whether a gateway is ready, as the platform does.
func (p *process) isReady() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	response, err := client.Get("http://" + p.ready + "/-/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// load sends requests at a steady rate until stop is closed and collects their outcomes.
type load struct {
	mu       sync.Mutex
	outcomes []outcome
	wait     sync.WaitGroup
}

// start sends one request each interval; request sends it.
func (l *load) start(stop <-chan struct{}, interval time.Duration, request func() outcome) {
	l.wait.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			l.wait.Go(func() {
				o := request()
				l.mu.Lock()
				l.outcomes = append(l.outcomes, o)
				l.mu.Unlock()
			})
		}
	})
}

// end waits for the last requests and returns all outcomes.
func (l *load) end() []outcome {
	l.wait.Wait()
	return l.outcomes
}

// summary counts outcomes by what the requesters saw.
func summary(outcomes []outcome) string {
	counts := map[string]int{}
	for _, o := range outcomes {
		kind := strconv.Itoa(o.status)
		switch {
		case o.status == 0:
			kind = "no answer"
		case o.err != nil:
			kind += " broken off"
		}
		counts[kind]++
	}
	parts := []string{}
	for _, kind := range sortedKeys(counts) {
		parts = append(parts, fmt.Sprintf("%s: %d", kind, counts[kind]))
	}
	return strings.Join(parts, ", ")
}
