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

const sweepInterval = 500 * time.Millisecond

// connections closes callers' connections that have been idle for longer than the limit in force, which operators change
// while the server runs.
type connections struct {
	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

func newConnections() *connections { return &connections{idle: map[net.Conn]time.Time{}} }

func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idle[conn] = time.Now()
		return
	}
	delete(c.idle, conn)
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

func (c *connections) closeIdle(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if since.Before(before) {
			conn.Close()
			delete(c.idle, conn)
		}
	}
}

// quietLog drops the server's lines about connections that callers closed.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
