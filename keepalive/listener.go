package keepalive

import (
	"errors"
	"net"
	"sync"
	"time"
)

// listener adds the connections that it accepts to a set.
type listener struct {
	net.Listener
	conns *Conns

	doneOnce sync.Once
	done     chan struct{} // closed once Accept has failed for good
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	var temporary interface{ Temporary() bool } // by which an http.Server, too, tells whether to accept again
	if errors.As(err, &temporary) && temporary.Temporary() {
		return nil, err
	}
	if err != nil {
		l.doneOnce.Do(func() { close(l.done) })
		return nil, err
	}
	tcp, ok := accepted.(tcpConn)
	if !ok {
		return accepted, nil
	}
	own := &conn{tcpConn: tcp, conns: l.conns, isIdle: true, isFirst: true, idleSince: time.Now()}
	l.conns.add(own)
	return own, nil
}
