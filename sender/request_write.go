package sender

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// WriteState is how far a request has been written to its connection. A target may respond before it has read all of it.
type WriteState int

// States of a write.
const (
	Writing WriteState = iota
	Written
	WriteFailed
)

// String returns the name of the state in logs.
func (s WriteState) String() string { return [...]string{"pending", "done", "failed"}[s] }

// requestWrite is the write of a request beside the read of its response.
type requestWrite struct {
	conn net.Conn
	done chan struct{} // closed at the end of the write
	err  error         // of the write; set before done is closed
}

// startWrite begins to write parts to conn, none of which is copied; the write ends when all is written or the connection is closed.
func startWrite(conn net.Conn, parts net.Buffers) *requestWrite {
	w := &requestWrite{conn: conn, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		_, w.err = parts.WriteTo(conn)
	}()
	return w
}

func (w *requestWrite) state() WriteState {
	select {
	case <-w.done:
	default:
		return Writing
	}
	if w.err != nil {
		return WriteFailed
	}
	return Written
}

// stop ends the write if it is still in progress and returns its final state. A write whose last bytes the system has taken is done, although its
// goroutine may not have run since.
func (w *requestWrite) stop() WriteState {
	_ = w.conn.SetWriteDeadline(time.Now()) // fails only if the connection is closed, which ends the write too
	<-w.done
	return w.state()
}

// stoppedByReset ends the write if it is still in progress and reports whether the connection was reset under it. The kernel tells one call of
// a reset: if that is the write, a read beside it returns io.EOF. After an end in order the write fails with EPIPE instead.
func (w *requestWrite) stoppedByReset() bool {
	return w.stop() == WriteFailed && errors.Is(w.err, syscall.ECONNRESET)
}
