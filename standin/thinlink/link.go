package thinlink

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes is the most that one connection has on its way over the link.
	readBufferBytes = 16 << 10
	// acknowledgementInterval is the interval at which a link looks whether a byte has been acknowledged.
	acknowledgementInterval = 5 * time.Millisecond
)

// Link passes what comes to a machine on, all bytes one after the other at one rate, in the order in which they were sent. What the machine sends passes at once.
type Link struct {
	bytesPerSecond int
	serving        sync.WaitGroup

	mu        sync.Mutex
	busyUntil time.Time // when all bytes have passed that are on their way
	closed    bool
	listeners []net.Listener
	conns     map[net.Conn]struct{}
}

// New returns a link of a rate.
func New(bytesPerSecond int) *Link {
	return &Link{bytesPerSecond: bytesPerSecond, conns: map[net.Conn]struct{}{}}
}

// ToMachine returns an address at which callers reach a server on the machine.
func (l *Link) ToMachine(server string) (string, error) {
	return l.listen(func(caller, server net.Conn) { l.passBoth(server, caller, caller, server) }, server)
}

// FromMachine returns an address at which the machine reaches a server.
func (l *Link) FromMachine(server string) (string, error) {
	return l.listen(func(machine, server net.Conn) { l.passBoth(machine, server, server, machine) }, server)
}

// Wait returns how long a byte that is sent now takes.
func (l *Link) Wait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, time.Until(l.busyUntil))
}

// Close ends the link and all connections, and returns once they have ended.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	for _, listener := range l.listeners {
		listener.Close()
	}
	for conn := range l.conns {
		conn.Close()
	}
	l.mu.Unlock()
	l.serving.Wait()
}

func (l *Link) listen(serve func(caller, server net.Conn), server string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, listener)
	l.mu.Unlock()
	l.serving.Go(func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			l.serving.Go(func() { l.connect(caller, server, serve) })
		}
	})
	return listener.Addr().String(), nil
}

// connect connects a caller with its server. What the caller sends waits until the server's system has taken the connection: where its queue is full, the
// opening packet is dropped and sent again later.
func (l *Link) connect(caller net.Conn, address string, serve func(caller, server net.Conn)) {
	defer caller.Close()
	if !l.register(caller) {
		return
	}
	defer l.remove(caller)
	server, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer server.Close()
	if l.register(server) {
		serve(caller, server)
		l.remove(server)
	}
}

// passBoth passes bytes to the machine over the link, and those from it at once, until both directions have ended.
func (l *Link) passBoth(machine, toMachine, toPeer, fromMachine net.Conn) {
	var passing sync.WaitGroup
	passing.Go(func() {
		defer machine.Close()
		if passFirst(machine, toMachine) {
			pass(machine, toMachine, l.take)
		}
	})
	passing.Go(func() {
		pass(toPeer, fromMachine, func(int) {})
		toPeer.Close()
	})
	passing.Wait()
}

// take waits until so many bytes have passed the link after all that were sent before.
func (l *Link) take(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	due := l.busyUntil
	l.mu.Unlock()
	time.Sleep(time.Until(due))
}

// passFirst passes one byte on, at once, and returns once the other system has acknowledged it. One whose queue is full answers the opening packet at times all the same, and
// drops what follows.
func passFirst(to, from net.Conn) bool {
	first := make([]byte, 1)
	if n, _ := from.Read(first); n == 0 {
		return false
	}
	if _, err := to.Write(first); err != nil {
		return false
	}
	raw, err := to.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	for unacknowledged := 1; unacknowledged > 0; {
		var ioctlErr error
		if err := raw.Control(func(fd uintptr) { unacknowledged, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil || ioctlErr != nil {
			return false
		}
		if unacknowledged > 0 {
			time.Sleep(acknowledgementInterval)
		}
	}
	return true
}

func pass(to, from net.Conn, wait func(n int)) {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			wait(n)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) register(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		conn.Close()
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *Link) remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}
