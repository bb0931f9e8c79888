package sender

import (
	"net"
	"sync/atomic"
)

// WriteState is how far a request has been written to its connection. A target may respond before it has read all of it.
type WriteState int32

// States of a write.
const (
	Writing WriteState = iota
	Written
	WriteFailed
)

// String returns the name of the state in logs.
func (s WriteState) String() string { return [...]string{"pending", "done", "failed"}[s] }

// requestWrite is the write of a request beside the read of its response.
type requestWrite struct{ current atomic.Int32 }

// startWrite begins to write data to conn; the write ends when all is written or the connection is closed.
func startWrite(conn net.Conn, data []byte) *requestWrite {
	w := &requestWrite{}
	go func() {
		if _, err := conn.Write(data); err != nil {
			w.current.Store(int32(WriteFailed))
			return
		}
		w.current.Store(int32(Written))
	}()
	return w
}

func (w *requestWrite) state() WriteState { return WriteState(w.current.Load()) }
