package connpool_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gypsumbank/connpool"
)

// anyIdle lets a request be sent on any idle connection, without a validation.
var anyIdle = connpool.Reuse{MaxIdle: 10 * time.Second, ValidateAfter: 10 * time.Second}

// sweepTolerance is how long after its idle time a connection may still be open.
const sweepTolerance = 1500 * time.Millisecond

// openConns listens on a free port and returns its address and the number of connections to it that the other side has not closed.
func openConns(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	open := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				open.Add(-1)
				conn.Close()
			}()
		}
	}()
	return listener.Addr().String(), open
}

// waitForOpen waits until the number of open connections is want and fails the test if it is not within the time.
func waitForOpen(t *testing.T, open *atomic.Int64, want int64, within time.Duration) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if open.Load() == want {
			return
		}
	}
	t.Errorf("%d connections are open, want %d", open.Load(), want)
}

// getConns returns count connections to address that are in use at the same time.
func getConns(t *testing.T, pool *connpool.Pool, address string, count int) []*connpool.Conn {
	t.Helper()
	conns := make([]*connpool.Conn, 0, count)
	for range count {
		conn, err := pool.Get(t.Context(), address, anyIdle, "")
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	return conns
}

// TestIdleConnectionsEndByThemselves returns connections to the pool and never asks for one again. Each must end once its idle time is over.
func TestIdleConnectionsEndByThemselves(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		keepFor []time.Duration
		want    int64 // that are open after the shortest time
	}{
		"one":          {keepFor: []time.Duration{100 * time.Millisecond}},
		"several":      {keepFor: []time.Duration{100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond}},
		"one lives on": {keepFor: []time.Duration{100 * time.Millisecond, time.Minute}, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, open := openConns(t)
			pool := connpool.New(connpool.Unlimited)
			for i, conn := range getConns(t, pool, address, len(test.keepFor)) {
				pool.Put(conn, test.keepFor[i])
			}
			waitForOpen(t, open, test.want, 100*time.Millisecond+sweepTolerance)
		})
	}
}

// TestIdleConnectionIsReusedWithinItsTime guards against a pool that ends connections that may still be reused.
func TestIdleConnectionIsReusedWithinItsTime(t *testing.T) {
	t.Parallel()
	const keepFor = 2500 * time.Millisecond
	address, _ := openConns(t)
	pool := connpool.New(connpool.Unlimited)
	pool.Put(getConns(t, pool, address, 1)[0], keepFor)
	time.Sleep(keepFor - 300*time.Millisecond)
	conn, err := pool.Get(context.Background(), address, anyIdle, "")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if !conn.Reused {
		t.Error("a connection within its idle time was not reused")
	}
}

// TestRetiredConnectionsEnd has a target leave. Its idle connections must end at once, those in use with their request, and a later one must
// be a new one.
func TestRetiredConnectionsEnd(t *testing.T) {
	t.Parallel()
	const keepFor = time.Minute
	address, open := openConns(t)
	otherAddress, otherOpen := openConns(t)
	pool := connpool.New(connpool.Unlimited)
	conns := getConns(t, pool, address, 3)
	other := getConns(t, pool, otherAddress, 1)
	pool.Put(conns[0], keepFor)
	pool.Put(other[0], keepFor)
	pool.Retire(address)
	waitForOpen(t, open, 2, sweepTolerance)
	pool.Put(conns[1], keepFor)
	pool.Put(conns[2], keepFor)
	waitForOpen(t, open, 0, sweepTolerance)
	pool.Put(getConns(t, pool, address, 1)[0], keepFor)
	waitForOpen(t, open, 1, sweepTolerance)
	waitForOpen(t, otherOpen, 1, sweepTolerance)
}

// TestConnectionsHaveALimit fills a pool. An idle connection to another target must make room for a new one, the one that has been idle
// longest first; without any the pool must say at once that it is exhausted.
func TestConnectionsHaveALimit(t *testing.T) {
	t.Parallel()
	const limit = 3
	pool := connpool.New(limit)
	var addresses []string
	var open []*atomic.Int64
	for range limit + 1 {
		address, count := openConns(t)
		addresses, open = append(addresses, address), append(open, count)
	}
	for _, address := range addresses[:limit] {
		pool.Put(getConns(t, pool, address, 1)[0], time.Minute)
		time.Sleep(time.Millisecond)
	}
	inUse := getConns(t, pool, addresses[limit], 1)
	for i, want := range []int64{0, 1, 1, 1} {
		waitForOpen(t, open[i], want, sweepTolerance)
	}
	inUse = append(inUse, getConns(t, pool, addresses[limit], limit-1)...)
	for i, want := range []int64{0, 0, 0, limit} {
		waitForOpen(t, open[i], want, sweepTolerance)
	}
	if _, err := pool.Get(t.Context(), addresses[0], anyIdle, ""); !errors.Is(err, connpool.ErrExhausted) {
		t.Errorf("error %v with all connections in use, want ErrExhausted", err)
	}
	_ = inUse[0].Close()
	_ = inUse[0].Close() // a second close frees nothing more
	getConns(t, pool, addresses[0], 1)
	if _, err := pool.Get(t.Context(), addresses[0], anyIdle, ""); !errors.Is(err, connpool.ErrExhausted) {
		t.Errorf("error %v with all connections in use again, want ErrExhausted", err)
	}
}

// TestFailedDialsDoNotCount has dials fail until long after the limit.
func TestFailedDialsDoNotCount(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	pool := connpool.New(1)
	for range 3 {
		if _, err := pool.Get(t.Context(), listener.Addr().String(), anyIdle, ""); err == nil || errors.Is(err, connpool.ErrExhausted) {
			t.Errorf("error %v, want that of the dial", err)
		}
	}
	address, _ := openConns(t)
	getConns(t, pool, address, 1)
}

// TestReusableConnectionsAreTold guards against a choice of target by connections that are then opened anew.
func TestReusableConnectionsAreTold(t *testing.T) {
	t.Parallel()
	address, _ := openConns(t)
	pool := connpool.New(connpool.Unlimited)
	conns := getConns(t, pool, address, 2)
	if pool.CanReuse(address, anyIdle) {
		t.Error("a connection in use is told as one to be reused")
	}
	pool.Put(conns[0], 200*time.Millisecond)
	if !pool.CanReuse(address, anyIdle) || pool.CanReuse("127.0.0.1:1", anyIdle) {
		t.Error("want the idle connection, and none to another address")
	}
	time.Sleep(50 * time.Millisecond)
	if pool.CanReuse(address, connpool.Reuse{MaxIdle: 10 * time.Millisecond}) {
		t.Error("a connection that was idle for too long for the request is told as one to be reused")
	}
	time.Sleep(200 * time.Millisecond)
	if pool.CanReuse(address, anyIdle) {
		t.Error("a connection whose time is over is told as one to be reused")
	}
}

// TestConnectionsBeyondTheShareEndSooner returns more connections to the pool than this process may keep for long, so that idle connections do
// not take the places of a target from other gateways. Those that have been idle longest must end after the brief time, the others must be kept.
func TestConnectionsBeyondTheShareEndSooner(t *testing.T) {
	t.Parallel()
	const keepFor = time.Minute
	tests := map[string]struct{ share, conns, want int }{
		"within the share": {share: 3, conns: 3, want: 3},
		"beyond the share": {share: 2, conns: 5, want: 2},
		"no share":         {share: 0, conns: 2, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, open := openConns(t)
			pool := connpool.New(connpool.Unlimited)
			pool.SetLongIdle(func() int { return test.share })
			for _, conn := range getConns(t, pool, address, test.conns) {
				pool.Put(conn, keepFor)
			}
			time.Sleep(connpool.BriefIdle - 500*time.Millisecond)
			waitForOpen(t, open, int64(test.conns), sweepTolerance)
			time.Sleep(500*time.Millisecond + sweepTolerance)
			waitForOpen(t, open, int64(test.want), sweepTolerance)
		})
	}
}
