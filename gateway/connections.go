package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// idleSweepInterval is the interval at which connections beyond the idle timeout are closed.
	idleSweepInterval = 500 * time.Millisecond
	// drainPollInterval is the interval at which a drain closes idle connections.
	drainPollInterval = 50 * time.Millisecond
	// minDrainIdle is how long a connection must be idle to be closed while draining. A caller that does not send its next
	// request within this time is not expected to send one.
	minDrainIdle = 300 * time.Millisecond
)

// connections tracks the connections of callers and closes idle ones. It is used in place of http.Server.IdleTimeout, since
// operators change the timeout while the server runs.
type connections struct {
	mu         sync.Mutex
	idleSince  map[net.Conn]time.Time
	closedIdle map[net.Conn]bool // connections that closeIdle has closed
	openCount  int
	open       map[net.Conn]bool
	log        *logrus.Entry
}

func newConnections(log *logrus.Entry) *connections {
	return &connections{idleSince: map[net.Conn]time.Time{}, closedIdle: map[net.Conn]bool{}, open: map[net.Conn]bool{}, log: log}
}

// Causes of closes, as they are logged and counted.
const (
	closedByDrain       = "drain"
	closedByIdleTimeout = "idle-timeout"
	closedAtEnd         = "end"
)

// countingListener counts the bytes that the server has read on each accepted connection since its last answer.
type countingListener struct{ net.Listener }

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &countedConn{TCPConn: tcp}, err
	}
	return conn, err
}

// countedConn counts the bytes read since the last answer.
type countedConn struct {
	*net.TCPConn
	readBytes atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.readBytes.Add(int64(n))
	return n, err
}

// logClose logs and counts that this process closes a connection: why, how long it was idle, and how many bytes of a request were read on it.
func (c *connections) logClose(conn net.Conn, cause string, idle time.Duration) {
	read := int64(-1)
	if counted, ok := conn.(*countedConn); ok {
		read = counted.readBytes.Load()
	}
	metrics.GetOrCreateCounter(`gypsumbank_gateway_connections_closed_total{cause="` + cause + `",read="` + strconv.FormatBool(read > 0) + `"}`).Inc()
	c.log.WithFields(logrus.Fields{"cause": cause, "idle-ms": idle.Milliseconds(), "read-bytes": read, "peer": conn.RemoteAddr().String()}).Info("caller connection closed")
}

// logOpen logs the connections that are still open as the server is closed.
func (c *connections) logOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		c.logClose(conn, closedAtEnd, 0)
	}
}

// connContextKey is the context key under which requests find their connection.
type connContextKey struct{}

// contextWithConn returns the context for the requests on a connection.
func contextWithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// connFromContext returns the connection of a request; nil if the context names none.
func connFromContext(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connContextKey{}).(net.Conn)
	return conn
}

// closedWhileIdle reports whether the connection of a request was closed as idle just as the request arrived. Such a request
// must not be forwarded: its caller gets no response and may send it again.
func (c *connections) closedWhileIdle(ctx context.Context) bool {
	conn := connFromContext(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedIdle[conn]
}

// trackState records a change of the state of a connection; it is the ConnState hook of the server.
func (c *connections) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idleSince, conn)
	switch state {
	case http.StateNew:
		c.openCount++
		c.open[conn] = true
	case http.StateIdle:
		c.idleSince[conn] = time.Now()
		if counted, ok := conn.(*countedConn); ok {
			counted.readBytes.Store(0)
		}
	case http.StateClosed, http.StateHijacked:
		c.openCount--
		delete(c.closedIdle, conn)
		delete(c.open, conn)
	case http.StateActive:
	}
}

// drain closes connections as they become idle, until none is open or ctx ends. Unlike http.Server.Shutdown, it still serves
// a request that arrives on a connection whose earlier response began before the drain and so did not announce the close.
func (c *connections) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		if c.closeIdle(time.Now().Add(-minDrainIdle), closedByDrain) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// enforceIdleTimeout closes connections that have been idle for longer than idleTimeout returns, until ctx ends. A timeout
// of 0 closes none.
func (c *connections) enforceIdleTimeout(ctx context.Context, idleTimeout func() time.Duration) error {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			if maxIdle := idleTimeout(); maxIdle > 0 {
				c.closeIdle(now.Add(-maxIdle), closedByIdleTimeout)
			}
		}
	}
}

// closeIdle closes the connections that became idle before a time. It returns how many were open, including those that it
// closed, which count as open until the server has noticed.
func (c *connections) closeIdle(idleBefore time.Time, cause string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if since.Before(idleBefore) {
			c.closedIdle[conn] = true
			conn.Close()
			c.logClose(conn, cause, time.Since(since))
			delete(c.idleSince, conn)
		}
	}
	return c.openCount
}

// discardLog returns a logger that drops the server's messages, which are about connections that callers closed.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
