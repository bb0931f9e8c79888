package keepalive

import (
	"net"
	"sync"
	"time"
)

// listener adds the connections that it accepts to a set.
type listener struct {
	net.Listener
	conns *Conns

	doneOnce sync.Once
	done     chan struct{} // closed once Accept has failed
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
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
