package probe_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gypsumbank/deployment"
	"gypsumbank/probe"
	"gypsumbank/standin/caller"
)

// TestStopAnswersTheChecksItHasRead sweeps the moment of a readiness check over the stop of the server.
func TestStopAnswersTheChecksItHasRead(t *testing.T) {
	const checks = 200
	cases := map[string]struct {
		work   time.Duration
		spread time.Duration // of the checks, the stop is in its middle
	}{
		"fast checks":                    {0, 40 * time.Millisecond},
		"checks that take a while":       {5 * time.Millisecond, 40 * time.Millisecond},
		"the whole stop":                 {5 * time.Millisecond, 1400 * time.Millisecond},
		"around the end of the last one": {5 * time.Millisecond, 1040 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			address, err := deployment.FreeAddress()
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			server := probe.New(address, func() error { time.Sleep(test.work); return nil })
			go func() { ended <- server.Run(ctx) }()
			conns := openConns(t, address, checks)
			time.AfterFunc(test.spread/2, stop)
			began := time.Now()
			var answered, failed atomic.Int64
			var group sync.WaitGroup
			for i, conn := range conns {
				group.Go(func() {
					time.Sleep(time.Until(began.Add(test.spread * time.Duration(i) / checks)))
					conn.Send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
					switch _, _, err := conn.Answer(); {
					case err == nil:
						answered.Add(1)
					case errors.Is(err, caller.ErrLost):
						failed.Add(1)
					}
				})
			}
			group.Wait()
			if err := <-ended; err != nil {
				t.Error(err)
			}
			result := fmt.Sprintf("%d of %d checks answered, %d read and lost", answered.Load(), checks, failed.Load())
			t.Log(result)
			if failed.Load() > 0 || answered.Load() == 0 {
				t.Error(result)
			}
		})
	}
}

// openConns opens connections once the server listens, and has one check answered on each.
func openConns(t *testing.T, address string, count int) []*caller.Conn {
	t.Helper()
	var conns []*caller.Conn
	for deadline := time.Now().Add(5 * time.Second); len(conns) < count; {
		conn, err := caller.New(address)
		if err != nil && time.Now().After(deadline) {
			t.Fatal(err)
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		t.Cleanup(conn.Close)
		conn.Send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		if status, _, err := conn.Answer(); status != http.StatusOK {
			t.Fatalf("status %d, %v", status, err)
		}
		conns = append(conns, conn)
	}
	return conns
}
