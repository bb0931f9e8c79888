package entry

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const watchInterval = 100 * time.Millisecond

var errCallerGone = errors.New("caller has gone")

// watchCaller cancels with errCallerGone once the caller has closed its connection.
func watchCaller(ctx context.Context, conn net.Conn, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if closedByPeer(conn) {
				cancel(errCallerGone)
				return
			}
		}
	}
}

// closedByPeer looks at the socket without taking bytes from it.
func closedByPeer(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = control.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		again := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		closed = (n == 0 && err == nil) || (err != nil && !again)
	})
	return closed || err != nil
}
