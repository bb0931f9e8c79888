package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

func TestRouteTimeout(t *testing.T) {
	d := newDeployment(t)
	d.store.Put("op", "config", routesDocument(2, 400))
	time.Sleep(300 * time.Millisecond)
	d.plainTarget.SetHandler(site.NoResponse(5 * time.Second))
	start := time.Now()
	response, _, err := d.roundTrip(postRequest("sale"))
	if err != nil || response.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("response %v, %v; want 504, since the request may have run", response, err)
	}
	if elapsed := time.Since(start); elapsed < 350*time.Millisecond || elapsed > 900*time.Millisecond {
		t.Errorf("the response took %s, want about the route timeout of 400 ms", elapsed)
	}
}

// TestCallerDisconnects has a caller close its connection before and during a response. The attempt at the target must be
// canceled.
func TestCallerDisconnects(t *testing.T) {
	tests := map[string]struct {
		path   string
		script site.Handler
	}{
		"before the response": {"/safe/a", site.NoResponse(5 * time.Second)},
		"during a stream":     {"/stream/a", site.EventStream(200, 20*time.Millisecond, 0)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.plainTarget.SetHandler(test.script)
			d.engineTarget.SetHandler(test.script)
			conn, _ := d.dial()
			if _, err := io.WriteString(conn, getRequest(test.path, m1Header)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(150 * time.Millisecond)
			conn.Close()
			time.Sleep(500 * time.Millisecond)
			seen := append(d.plainTarget.Requests(), d.engineTarget.Requests()...)
			if len(seen) != 1 || !seen[0].CallerLeft {
				t.Errorf("requests at targets: %d, want 1 that is canceled within 500ms after the caller disconnected", len(seen))
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		request        string
		wantStatus     int
		wantRetryAfter bool
	}{
		"unknown host":  {strings.Replace(getRequest("/safe/a"), callerHost, "other.example", 1), 404, false},
		"unknown path":  {getRequest("/nothing/a"), 404, false},
		"unknown model": {getRequest("/stream/a", "X-Gypsumbank-Model: none"), 503, true},
		"large body":    {postRequest(strings.Repeat("z", 1<<20+1)), 413, false},
	}
	d := newDeployment(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response, _, err := d.roundTrip(test.request)
			if err != nil || response.StatusCode != test.wantStatus {
				t.Fatalf("response %v, %v; want status %d", response, err, test.wantStatus)
			}
			if (response.Header.Get("Retry-After") != "") != test.wantRetryAfter {
				t.Errorf("Retry-After %q is set or missing against expectation", response.Header.Get("Retry-After"))
			}
		})
	}
	if n := len(d.plainTarget.Requests()) + len(d.engineTarget.Requests()); n != 0 {
		t.Errorf("%d refused requests reached a target", n)
	}
}

func TestDrainingTargetGetsNoRequests(t *testing.T) {
	d := newDeployment(t)
	d.store.Put("servers", "p1", d.plainTarget.RegistryEntry("plain", "draining"))
	time.Sleep(2 * time.Second)
	response, _, err := d.roundTrip(getRequest("/safe/a"))
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || len(d.plainTarget.Requests()) != 0 {
		t.Errorf("response %v, %v; want 503; %d requests reached the draining target", response, err, len(d.plainTarget.Requests()))
	}
}

func TestRoutesNeverRevertToAnOlderVersion(t *testing.T) {
	d := newDeployment(t)
	changed := routesDocument(5, 2000)
	changed["routes"] = changed["routes"].([]any)[1:]
	d.store.Put("op", "config", changed)
	time.Sleep(time.Second)
	d.store.Put("op", "config", routesDocument(3, 2000))
	time.Sleep(1200 * time.Millisecond)
	if response, _, err := d.roundTrip(getRequest("/safe/a")); err != nil || response.StatusCode != http.StatusNotFound {
		t.Errorf("response %v, %v; want 404, since version 5 dropped the route", response, err)
	}
}

// TestStoreUnavailable checks that a gateway serves with the last known routes and targets while the store is unavailable,
// and that a change made after the outage takes effect.
func TestStoreUnavailable(t *testing.T) {
	for name, fault := range map[string]site.Fault{"down": site.Down, "silent": site.Silent, "without history": site.LoseHistory} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.store.SetFault(fault)
			time.Sleep(time.Second)
			if response, _, err := d.roundTrip(getRequest("/safe/a")); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("response %v, %v while the store is unavailable, want 200", response, err)
			}
			d.store.SetFault(site.NoFault)
			changed := routesDocument(2, 2000)
			changed["routes"] = changed["routes"].([]any)[1:]
			d.store.Put("op", "config", changed)
			time.Sleep(2 * time.Second)
			if response, _, err := d.roundTrip(getRequest("/safe/a")); err != nil || response.StatusCode != http.StatusNotFound {
				t.Errorf("response %v, %v; want 404: the change after the outage is not in force within 2 s", response, err)
			}
		})
	}
}

// TestReadsBackOffWhileStoreIsUnavailable counts the reads of a store that rejects all calls for several seconds. Without
// backoff, the retries of many gateways would overload it.
func TestReadsBackOffWhileStoreIsUnavailable(t *testing.T) {
	const outage = 4 * time.Second
	d := newDeployment(t)
	d.store.SetFault(site.Down)
	before := d.store.Requests()
	time.Sleep(outage)
	if calls := d.store.Requests() - before; calls > 20 {
		t.Errorf("%d calls to a store that was unavailable for %s, want at most 20", calls, outage)
	}
	d.store.SetFault(site.NoFault)
	changed := routesDocument(2, 2000)
	changed["routes"] = changed["routes"].([]any)[1:]
	d.store.Put("op", "config", changed)
	time.Sleep(3 * time.Second)
	if response, _, err := d.roundTrip(getRequest("/safe/a")); err != nil || response.StatusCode != http.StatusNotFound {
		t.Errorf("response %v, %v; want 404: the change after the outage is not in force within 3 s", response, err)
	}
}

func TestRestartWhileStoreIsUnavailable(t *testing.T) {
	d := newDeployment(t)
	d.stop()
	if err := <-d.runErr; err != nil {
		t.Fatal(err)
	}
	d.store.SetFault(site.Down)
	go func() {
		time.Sleep(500 * time.Millisecond)
		d.store.SetFault(site.NoFault)
	}()
	d.start()
	if response, _, err := d.roundTrip(getRequest("/safe/a")); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("response %v, %v after the restart, want 200", response, err)
	}
}

// TestStopLetsResponsesFinish stops the gateway during a stream. The stream must end complete, and the readiness check must
// fail at once so that no more callers arrive.
func TestStopLetsResponsesFinish(t *testing.T) {
	d := newDeployment(t)
	d.engineTarget.SetHandler(site.EventStream(10, 100*time.Millisecond, 0))
	type result struct {
		body string
		err  error
	}
	done := make(chan result, 1)
	go func() {
		_, body, err := d.roundTrip(getRequest("/stream/a", m1Header))
		done <- result{body, err}
	}()
	time.Sleep(200 * time.Millisecond)
	d.stop()
	d.waitForReadiness(http.StatusServiceUnavailable)
	got := <-done
	if got.err != nil || !strings.Contains(got.body, "token-10") {
		t.Errorf("the response is incomplete: %q, %v", got.body, got.err)
	}
	select {
	case err := <-d.runErr:
		if err != nil {
			t.Error(err)
		}
		d.runErr <- nil
	case <-time.After(4 * time.Second):
		t.Error("the gateway still runs after its grace")
	}
}

// TestRequestWhileDrainingThatMayOutlastItIsRefused sends a request on a kept-alive connection after the signal to stop. Its target
// does not respond within the grace and its route has a longer timeout: the caller must be told at once that it has not run.
func TestRequestWhileDrainingThatMayOutlastItIsRefused(t *testing.T) {
	const atOnce = 300 * time.Millisecond
	d := newDeployment(t)
	d.store.Put("op", "config", routesDocument(2, 20000))
	time.Sleep(1500 * time.Millisecond)
	conn, reader := d.dial()
	send := func() *http.Response {
		if _, err := io.WriteString(conn, getRequest("/safe/a")); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("no response: %v", err)
		}
		if _, err := io.ReadAll(response.Body); err != nil {
			t.Fatal(err)
		}
		return response
	}
	if response := send(); response.StatusCode != http.StatusOK {
		t.Fatalf("status %d before the signal to stop, want 200", response.StatusCode)
	}
	d.plainTarget.SetHandler(site.NoResponse(20 * time.Second))
	sent := len(d.plainTarget.Requests())
	d.stop()
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	if response := send(); response.StatusCode != http.StatusServiceUnavailable || time.Since(began) > atOnce {
		t.Errorf("status %d after %s, want 503 at once", response.StatusCode, time.Since(began))
	}
	if arrived := len(d.plainTarget.Requests()) - sent; arrived != 0 {
		t.Errorf("%d requests reached the target, want none", arrived)
	}
}

// TestRequestInProgressWhileDrainingGetsFinalResponse sends a request before the signal to stop. Its target does not respond within the grace and
// its route has a longer timeout, yet the caller must get a response before the grace is over.
func TestRequestInProgressWhileDrainingGetsFinalResponse(t *testing.T) {
	d := newDeployment(t)
	d.store.Put("op", "config", routesDocument(2, 20000))
	time.Sleep(1500 * time.Millisecond)
	d.plainTarget.SetHandler(site.NoResponse(20 * time.Second))
	time.AfterFunc(300*time.Millisecond, d.stop)
	began := time.Now()
	response, _, err := d.roundTrip(getRequest("/safe/a"))
	if err != nil || response.StatusCode != http.StatusBadGateway {
		t.Errorf("response %v, %v; want 502", response, err)
	}
	const grace = 4 * time.Second
	if took := time.Since(began); took > grace+300*time.Millisecond {
		t.Errorf("the response came after %s, want it within the grace of %s", took, grace)
	}
}
