package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

func TestTimeoutOfTheRoute(t *testing.T) {
	d := deploy(t)
	d.store.Put("op", "config", manifest(2, 400))
	time.Sleep(300 * time.Millisecond)
	d.plain.SetScript(site.Hold(5 * time.Second))
	begun := time.Now()
	response, _, err := d.ask(post("sale"))
	if err != nil || response.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("answer %v, %v; want 504, as the request may have run", response, err)
	}
	if took := time.Since(begun); took < 350*time.Millisecond || took > 900*time.Millisecond {
		t.Errorf("the answer took %s, the route allows 400 ms", took)
	}
}

// TestCallerLeaves has a caller close its connection before and during an answer; its target must be freed.
func TestCallerLeaves(t *testing.T) {
	tests := map[string]struct {
		path   string
		script site.Script
	}{
		"before the answer": {"/safe/a", site.Hold(5 * time.Second)},
		"during a stream":   {"/stream/a", site.Stream(200, 20*time.Millisecond, 0)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := deploy(t)
			d.plain.SetScript(test.script)
			d.engine.SetScript(test.script)
			conn, _ := d.dial()
			if _, err := io.WriteString(conn, get(test.path, modelHeader)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(150 * time.Millisecond)
			conn.Close()
			time.Sleep(500 * time.Millisecond)
			seen := append(d.plain.Seen(), d.engine.Seen()...)
			if len(seen) != 1 || !seen[0].Left {
				t.Errorf("half a second after the caller has left its target still works: %d requests", len(seen))
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		request string
		status  int
		retry   bool
	}{
		"unknown host":  {strings.Replace(get("/safe/a"), host, "other.example", 1), 404, false},
		"unknown path":  {get("/nothing/a"), 404, false},
		"unknown model": {get("/stream/a", "X-Gypsumbank-Model: none"), 503, true},
		"large body":    {post(strings.Repeat("z", 1<<20+1)), 413, false},
	}
	d := deploy(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response, _, err := d.ask(test.request)
			if err != nil || response.StatusCode != test.status {
				t.Fatalf("answer %v, %v; want %d", response, err, test.status)
			}
			if (response.Header.Get("Retry-After") != "") != test.retry {
				t.Errorf("Retry-After %q", response.Header.Get("Retry-After"))
			}
		})
	}
	if n := len(d.plain.Seen()) + len(d.engine.Seen()); n != 0 {
		t.Errorf("%d refused requests reached a target", n)
	}
}

func TestLeavingTargetGetsNoWork(t *testing.T) {
	d := deploy(t)
	d.store.Put("servers", "p1", d.plain.Entry("plain", "draining"))
	time.Sleep(2 * time.Second)
	response, _, err := d.ask(get("/safe/a"))
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || len(d.plain.Seen()) != 0 {
		t.Errorf("answer %v, %v; %d requests reached the leaving target", response, err, len(d.plain.Seen()))
	}
}

func TestRoutesChangeAndNeverGoBack(t *testing.T) {
	d := deploy(t)
	changed := manifest(5, 2000)
	changed["routes"] = changed["routes"].([]any)[1:]
	d.store.Put("op", "config", changed)
	time.Sleep(time.Second)
	d.store.Put("op", "config", manifest(3, 2000))
	time.Sleep(1200 * time.Millisecond)
	if response, _, err := d.ask(get("/safe/a")); err != nil || response.StatusCode != http.StatusNotFound {
		t.Errorf("answer %v, %v; the route was dropped at version 5", response, err)
	}
}

// TestStoreAway serves by what is known while the store is away, and starts without it only once it is back.
func TestStoreAway(t *testing.T) {
	for name, fault := range map[string]site.Fault{"down": site.Down, "silent": site.Silent, "without history": site.LoseHistory} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t)
			d.store.SetFault(fault)
			time.Sleep(time.Second)
			if response, _, err := d.ask(get("/safe/a")); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("answer %v, %v while the store is away", response, err)
			}
			d.store.SetFault(site.NoFault)
			changed := manifest(2, 2000)
			changed["routes"] = changed["routes"].([]any)[1:]
			d.store.Put("op", "config", changed)
			time.Sleep(2 * time.Second)
			if response, _, err := d.ask(get("/safe/a")); err != nil || response.StatusCode != http.StatusNotFound {
				t.Errorf("answer %v, %v; the change after the outage is not in force within 2 s", response, err)
			}
		})
	}
}

// TestReadsBackOffWhileStoreIsAway names its load: the store turns all calls away for seconds, and many gateways try again.
func TestReadsBackOffWhileStoreIsAway(t *testing.T) {
	const away = 4 * time.Second
	d := deploy(t)
	d.store.SetFault(site.Down)
	before := d.store.Calls()
	time.Sleep(away)
	if calls := d.store.Calls() - before; calls > 20 {
		t.Errorf("%d calls to a store that was away for %s", calls, away)
	}
	d.store.SetFault(site.NoFault)
	changed := manifest(2, 2000)
	changed["routes"] = changed["routes"].([]any)[1:]
	d.store.Put("op", "config", changed)
	time.Sleep(3 * time.Second)
	if response, _, err := d.ask(get("/safe/a")); err != nil || response.StatusCode != http.StatusNotFound {
		t.Errorf("answer %v, %v; the change after the outage is not in force within 3 s", response, err)
	}
}

func TestRestartWhileStoreIsAway(t *testing.T) {
	d := deploy(t)
	d.stop()
	if err := <-d.ended; err != nil {
		t.Fatal(err)
	}
	d.store.SetFault(site.Down)
	go func() {
		time.Sleep(500 * time.Millisecond)
		d.store.SetFault(site.NoFault)
	}()
	d.start()
	if response, _, err := d.ask(get("/safe/a")); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("answer %v, %v after the restart", response, err)
	}
}

// TestStopCutsNoAnswer stops the gateway during a stream, which must end whole, and has it refuse callers by its
// readiness at once.
func TestStopCutsNoAnswer(t *testing.T) {
	d := deploy(t)
	d.engine.SetScript(site.Stream(10, 100*time.Millisecond, 0))
	type result struct {
		body string
		err  error
	}
	done := make(chan result, 1)
	go func() {
		_, body, err := d.ask(get("/stream/a", modelHeader))
		done <- result{body, err}
	}()
	time.Sleep(200 * time.Millisecond)
	d.stop()
	d.awaitReady(http.StatusServiceUnavailable)
	got := <-done
	if got.err != nil || !strings.Contains(got.body, "token-10") {
		t.Errorf("the answer was cut: %q, %v", got.body, got.err)
	}
	select {
	case err := <-d.ended:
		if err != nil {
			t.Error(err)
		}
		d.ended <- nil
	case <-time.After(4 * time.Second):
		t.Error("the gateway still runs at the end of its grace")
	}
}

// TestRequestWhileDrainingGetsItsFinalAnswer sends a request on a kept connection after the signal to stop, to a target that
// does not answer within the grace, though its route would wait longer.
func TestRequestWhileDrainingGetsItsFinalAnswer(t *testing.T) {
	d := deploy(t)
	d.store.Put("op", "config", manifest(2, 20000))
	time.Sleep(1500 * time.Millisecond)
	conn, reader := d.dial()
	ask := func() *http.Response {
		if _, err := io.WriteString(conn, get("/safe/a")); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		if _, err := io.ReadAll(response.Body); err != nil {
			t.Fatal(err)
		}
		return response
	}
	if response := ask(); response.StatusCode != http.StatusOK {
		t.Fatalf("status %d before the signal", response.StatusCode)
	}
	d.plain.SetScript(site.Hold(20 * time.Second))
	d.stop()
	time.Sleep(200 * time.Millisecond)
	if response := ask(); response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d, want a timeout", response.StatusCode)
	}
}
