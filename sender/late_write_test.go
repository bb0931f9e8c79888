package sender_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"gypsumbank/connpool"
	"gypsumbank/sender"
)

// lateWriteConn is a connection whose writes return some time after the system has taken their bytes, as if their goroutine had to wait for a
// processor.
type lateWriteConn struct {
	net.Conn
}

// lateBy is much longer than a target on this host takes to answer.
const lateBy = 50 * time.Millisecond

func (c lateWriteConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	time.Sleep(lateBy)
	return n, err
}

// SyscallConn lets the pool check whether the connection is quiet.
func (c lateWriteConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// TestAnswerThatOvertakesItsWriteKeepsTheConnection guards against a connection that is closed, and a request that counts as not written, as the whole
// answer came before the goroutine of the write went on.
func TestAnswerThatOvertakesItsWriteKeepsTheConnection(t *testing.T) {
	t.Parallel()
	target := startReuseTarget(t, serveReuse)
	pool := connpool.New(connpool.Unlimited)
	conn, err := pool.Get(t.Context(), target.address(), connpool.Reuse{}, "")
	if err != nil {
		t.Fatal(err)
	}
	conn.Conn = lateWriteConn{conn.Conn}
	pool.Put(conn, time.Minute)
	s := sender.New(pool)
	for _, id := range []string{"1", "2", "3"} {
		request := newRequest(id)
		request.Reuse.ValidateAfter = time.Minute
		sendRequest(t, s, target.address(), request)
	}
	if conns, bodies := target.counts(); conns != 1 || len(bodies) != 3 {
		t.Errorf("%d connections for requests %q, want 1 for three", conns, bodies)
	}
}
