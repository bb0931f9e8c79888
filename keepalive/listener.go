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

	doneOnce  sync.Once
	done      chan struct{} // closed once Accept has failed for good
	closeOnce sync.Once
	closed    chan struct{}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	if !l.conns.takePlace(l.closed) {
		l.doneOnce.Do(func() { close(l.done) })
		return nil, net.ErrClosed
	}
	accepted, err := l.Listener.Accept()
	if err != nil {
		l.conns.freePlace()
	}
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
		l.conns.freePlace() // its end is not seen here
		return accepted, nil
	}
	l.conns.limitSocket(accepted)
	own := &conn{tcpConn: tcp, conns: l.conns, isIdle: true, isFirst: true, idleSince: time.Now()}
	l.conns.add(own)
	return own, nil
}
