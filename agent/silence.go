package agent

import (
	"net"
	"time"
)

// silenceTimeout is the time after which a connection on which a gateway sends nothing is closed. It exceeds the time for which gateways keep
// idle connections, and that of calls, so that it ends only those to gateways that are gone without a close.
const silenceTimeout = 2 * time.Minute

// silenceListener accepts connections whose reads fail after a time of silence.
type silenceListener struct {
	net.Listener
	timeout time.Duration
}

func newSilenceListener(listener net.Listener, timeout time.Duration) *silenceListener {
	return &silenceListener{Listener: listener, timeout: timeout}
}

// Accept implements net.Listener.
func (l *silenceListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &silenceConn{Conn: conn, timeout: l.timeout}, nil
}

// silenceConn is a connection whose reads fail after a time of silence.
type silenceConn struct {
	net.Conn
	timeout time.Duration
}

// Read implements net.Conn.
func (c *silenceConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}
