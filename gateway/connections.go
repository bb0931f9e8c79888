package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	sweepInterval = 500 * time.Millisecond
	drainInterval = 50 * time.Millisecond
	// drainIdle is how long a connection must be idle to be closed while draining; callers send again at once or not at all.
	drainIdle = 300 * time.Millisecond
)

// connections closes callers' connections that have been idle for longer than the limit in force, which operators change
// while the server runs.
type connections struct {
	mu   sync.Mutex
	idle map[net.Conn]time.Time
	shut map[net.Conn]bool // closed here while idle
	open int
}

func newConnections() *connections {
	return &connections{idle: map[net.Conn]time.Time{}, shut: map[net.Conn]bool{}}
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// withConn returns the context of the requests on a connection.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// crossed reports whether the connection of a request was closed as the request arrived; such a request must not be
// passed on, since its caller gets no answer and may send it again.
func (c *connections) crossed(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shut[conn]
}

func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idle, conn)
	switch state {
	case http.StateNew:
		c.open++
	case http.StateIdle:
		c.idle[conn] = time.Now()
	case http.StateClosed, http.StateHijacked:
		c.open--
		delete(c.shut, conn)
	case http.StateActive:
	}
}

// drain closes connections as they become idle, until none is open or ctx ends. Unlike the shutdown of the server it
// answers a request that arrives on a connection whose answer in progress did not announce the end.
func (c *connections) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		if c.closeIdle(time.Now().Add(-drainIdle)) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// sweep closes idle connections until ctx ends; a limit of 0 closes none.
func (c *connections) sweep(ctx context.Context, limit func() time.Duration) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			if most := limit(); most > 0 {
				c.closeIdle(now.Add(-most))
			}
		}
	}
}

// closeIdle closes the connections that have been idle since before a time and returns how many are open.
func (c *connections) closeIdle(before time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if since.Before(before) {
			c.shut[conn] = true
			conn.Close()
			delete(c.idle, conn)
		}
	}
	return c.open
}

// quietLog drops the server's lines about connections that callers closed.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
