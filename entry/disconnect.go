package entry

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const disconnectPollInterval = 100 * time.Millisecond

var errCallerDisconnected = errors.New("caller has gone")

// cancelOnDisconnect polls the connection until ctx ends and cancels with errCallerDisconnected once the caller has
// closed it.
func cancelOnDisconnect(ctx context.Context, conn net.Conn, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if closedByPeer(conn) {
				cancel(errCallerDisconnected)
				return
			}
		}
	}
}

// closedByPeer reports whether the peer has closed the connection or the socket has failed. It peeks at the socket
// without blocking, so unread bytes stay there for the HTTP server.
func closedByPeer(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = rawConn.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noDataYet := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		closed = (n == 0 && err == nil) || (err != nil && !noDataYet)
	})
	return closed || err != nil
}
