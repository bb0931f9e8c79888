package keepalive

import (
	"context"
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
	// idleCheckInterval is the interval at which connections beyond the idle timeout are looked for.
	idleCheckInterval = 500 * time.Millisecond
	// drainCheckInterval is the same for connections that may be closed in a drain.
	drainCheckInterval = 50 * time.Millisecond
	// minDrainIdle is how long a connection must be idle to be closed in a drain. A caller that has not sent its next request within this
	// time is not expected to send one.
	minDrainIdle = 500 * time.Millisecond
	// lastCallIdle is how long a connection must be quiet to be closed after the last call, if its server reads a request before it says that
	// one is in progress.
	lastCallIdle = 100 * time.Millisecond
	// maxFirstWait is the same for a connection on which nothing has been read. Its first packet may have been lost and be sent again.
	maxFirstWait = time.Second
	// Of the idle timeout, announceNumerator / announceDenominator is announced, so that a caller who goes by it does not meet the close.
	announceNumerator   = 4
	announceDenominator = 5
)

// Causes of closes, as they are logged and counted.
const (
	causeDrain       = "drain"
	causeIdleTimeout = "idle-timeout"
	causeEnd         = "end"
	causeSlowHead    = "slow-head"
	causeLongHead    = "long-head"
	causeNoRoom      = "no-room"
	causeSlowReader  = "slow-reader"
)

// Conns are the open connections of a server. Its methods are safe for concurrent use.
type Conns struct {
	idleTimeout func() time.Duration
	log         *logrus.Entry
	limits      Limits
	places      chan struct{} // holds a value for each connection that is open or about to be accepted; nil without a limit

	mu       sync.Mutex
	open     map[*conn]struct{}
	draining bool
	listener *listener
	ended    atomic.Bool // the server is closed whatever its callers still send
}

// New returns an empty set of connections. The idle timeout is that of callers; 0 is without limit. It may change at any time.
func New(idleTimeout func() time.Duration, log *logrus.Entry) *Conns {
	return &Conns{idleTimeout: idleTimeout, log: log, open: map[*conn]struct{}{}}
}

// Listener returns a listener whose connections belong to the set. Connections that are not of TCP are passed on as they are.
func (c *Conns) Listener(inner net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = &listener{Listener: inner, conns: c, done: make(chan struct{}), closed: make(chan struct{})}
	return c.listener
}

// TrackState records whether a connection has a request in progress; it is the ConnState hook of an http.Server.
func (c *Conns) TrackState(tracked net.Conn, state http.ConnState) {
	own, ok := tracked.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		own.setBusy()
	case http.StateIdle:
		own.setIdle(time.Now(), c.idleTimeout())
	case http.StateClosed, http.StateHijacked:
		c.remove(own)
	case http.StateNew:
	}
}

// Announce sets the header fields of an answer that is about to begin on a connection, which tell its caller for how long it may send further requests.
func (c *Conns) Announce(answered net.Conn, header http.Header) {
	if c.isDraining() || header.Get("Connection") == "close" {
		header.Set("Connection", "close")
		return
	}
	own, ok := answered.(*conn)
	timeout := c.idleTimeout()
	seconds := int64(timeout * announceNumerator / announceDenominator / time.Second)
	if !ok || seconds < 1 {
		return
	}
	own.promise(timeout)
	header.Set("Keep-Alive", "timeout="+strconv.FormatInt(seconds, 10))
}

// AnsweredEarly records that a request on a connection is answered though it has not been read to the end.
func (c *Conns) AnsweredEarly(answered net.Conn) {
	if own, ok := answered.(*conn); ok {
		own.mu.Lock()
		own.cutShort = true
		own.mu.Unlock()
	}
}

// Run closes connections that have been idle for longer than the idle timeout since their last answer, until ctx ends. Where the timeout is lowered, connections that
// are idle keep the one that held when their last answer was given, as their callers go by it.
func (c *Conns) Run(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			timeout := c.idleTimeout()
			if timeout <= 0 {
				continue
			}
			for _, own := range c.all() {
				own.closeIfIdle(causeIdleTimeout, func(since time.Time, promised time.Duration, first bool) bool {
					return !first && now.Sub(since) > max(timeout, promised)
				})
			}
		}
	}
}

// StartDrain has all answers from now on announce that their connections close.
func (c *Conns) StartDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

func (c *Conns) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// Drain closes connections as they become idle, from lastCall on however briefly they have been; requests whose heads are still coming in then are
// refused. Once no connection is open it closes the listener. It returns when no connection is left, or with the error of ctx when that ends.
func (c *Conns) Drain(ctx context.Context, lastCall time.Time) error {
	c.StartDrain()
	closeOne := func(own *conn, now time.Time) { own.closeInDrain(now, lastCall) }
	if err := c.closeAsTheyIdle(ctx, lastCall, closeOne); err != nil {
		return err
	}
	c.stopAccepting(ctx)
	return c.closeAsTheyIdle(ctx, lastCall, closeOne)
}

// DrainCalls stops accepting and closes connections once they have been quiet for minDrainIdle, or from lastCall on for lastCallIdle. It is Drain
// for connections that don't carry HTTP, on which bytes may follow the end of a request.
func (c *Conns) DrainCalls(ctx context.Context, lastCall time.Time) error {
	c.stopAccepting(ctx)
	return c.closeAsTheyIdle(ctx, lastCall, func(own *conn, now time.Time) {
		quiet := minDrainIdle
		if !now.Before(lastCall) {
			quiet = lastCallIdle
		}
		own.closeIfQuiet(causeDrain, now.Add(-quiet))
	})
}

// closeAsTheyIdle calls closeOne for each connection from time to time, and at lastCall, until none is open.
func (c *Conns) closeAsTheyIdle(ctx context.Context, lastCall time.Time, closeOne func(own *conn, now time.Time)) error {
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	called := time.NewTimer(time.Until(lastCall))
	defer called.Stop()
	for {
		open := c.all()
		if len(open) == 0 {
			return nil
		}
		now := time.Now()
		for _, own := range open {
			closeOne(own, now)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-called.C:
		case <-ticker.C:
		}
	}
}

// stopAccepting closes the listener and returns once no connection comes from it any more, or ctx ends.
func (c *Conns) stopAccepting(ctx context.Context) {
	c.mu.Lock()
	l := c.listener
	c.mu.Unlock()
	if l != nil {
		_ = l.Close() // it is closed already if it fails
		select {
		case <-l.done:
		case <-ctx.Done():
		}
	}
}

// EndReads has the reads of all connections fail as if their time had passed, so that requests that are still coming in can be refused.
func (c *Conns) EndReads() {
	for _, own := range c.all() {
		own.endReads()
	}
}

// Close closes all connections, whatever is in progress on them.
func (c *Conns) Close() {
	c.End()
	for _, own := range c.all() {
		_ = own.Close() // the peer learns of it, or has left
	}
}

// End is called before the server is closed. Closes wait for no caller from then on. It logs the connections that are open, and whether a request is in
// progress on them.
func (c *Conns) End() {
	c.ended.Store(true)
	for _, own := range c.all() {
		own.mu.Lock()
		idle, read := own.isIdle, own.readBytes
		own.mu.Unlock()
		c.logClose(own, causeEnd, 0, read, !idle)
	}
}

// logClose logs and counts a close: why, how long the connection was idle, and what was read on it since its last answer.
func (c *Conns) logClose(own *conn, cause string, idle time.Duration, readBytes int64, inProgress bool) {
	metrics.GetOrCreateCounter(`gypsumbank_caller_connections_closed_total{cause="` + cause + `",read="` + strconv.FormatBool(readBytes > 0) + `"}`).Inc()
	c.log.WithFields(logrus.Fields{
		"cause": cause, "idle-ms": idle.Milliseconds(), "read-bytes": readBytes, "in-progress": inProgress, "peer": own.RemoteAddr().String(),
	}).Info("caller connection closed")
}

func (c *Conns) all() []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := make([]*conn, 0, len(c.open))
	for own := range c.open {
		open = append(open, own)
	}
	return open
}

func (c *Conns) add(own *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[own] = struct{}{}
}

func (c *Conns) remove(own *conn) {
	c.mu.Lock()
	_, open := c.open[own]
	delete(c.open, own)
	c.mu.Unlock()
	if open {
		c.freePlace()
	}
}
