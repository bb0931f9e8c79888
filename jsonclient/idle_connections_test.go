package jsonclient_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumbank/jsonclient"
)

// TestClosedIdleConnectionsFailNoCall guards against a call that fails, and a wait before the next one, as the server has closed several connections that were
// idle since calls were made side by side.
func TestClosedIdleConnectionsFailNoCall(t *testing.T) {
	for name, idle := range map[string]int{"one": 1, "two": 2, "five": 5} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			conns := map[net.Conn]http.ConnState{}
			together := sync.WaitGroup{}
			together.Add(idle)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/together" {
					together.Done()
					together.Wait()
				}
				_, _ = w.Write([]byte("{}"))
			}))
			server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
				mu.Lock()
				defer mu.Unlock()
				conns[conn] = state
			}
			server.Start()
			defer server.Close()
			client := jsonclient.New(strings.TrimPrefix(server.URL, "http://"), 1<<20)
			defer client.Close()
			var calls sync.WaitGroup
			for range idle {
				calls.Go(func() {
					if err := client.Do(t.Context(), http.MethodGet, "/together", nil, nil); err != nil {
						t.Error(err)
					}
				})
			}
			calls.Wait()
			time.Sleep(50 * time.Millisecond) // until the server has seen all of them idle
			mu.Lock()
			closed := 0
			for conn, state := range conns {
				if state == http.StateIdle {
					conn.Close()
					closed++
				}
			}
			mu.Unlock()
			if closed != idle {
				t.Fatalf("%d idle connections, want %d", closed, idle)
			}
			time.Sleep(50 * time.Millisecond)
			if err := client.Do(t.Context(), http.MethodGet, "/alone", nil, nil); err != nil {
				t.Errorf("call after %d idle connections were closed: %v", idle, err)
			}
		})
	}
}
