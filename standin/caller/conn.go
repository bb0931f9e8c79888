package caller

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout   = 5 * time.Second
	answerTimeout = 20 * time.Second
	// settleTime is the time for the reset of a connection to arrive after its end, once all bytes are acknowledged.
	settleTime = 20 * time.Millisecond
	// ackTimeout is the time after the end of a connection in which further bytes must be acknowledged. A packet that is dropped, as happens beside load, is
	// sent again after 200 ms, 600 ms and 1.4 s.
	ackTimeout = 3 * time.Second
	// closeWait is the state of a connection whose peer has closed it in order.
	closeWait = unix.BPF_TCP_CLOSE_WAIT
)

var (
	// ErrLost reports that the server has read all bytes and closed the connection without an answer.
	ErrLost = errors.New("read whole and not answered")
	// ErrUnread reports that the server has closed the connection without an answer, with bytes that it had not read.
	ErrUnread = errors.New("closed before it was read whole")
	// ErrNoAnswer reports that the connection stayed open without an answer.
	ErrNoAnswer = errors.New("no answer")
)

// Conn is a caller's connection to a server.
type Conn struct {
	tcp    *net.TCPConn
	reader *bufio.Reader
}

// New opens a connection to the address of a server.
func New(address string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("caller: %w", err)
	}
	return &Conn{tcp: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.tcp.Close() }

// Send writes bytes of a request. The error of a write to a closed connection is left to Answer.
func (c *Conn) Send(data string) { _, _ = io.WriteString(c.tcp, data) }

// Answer reads the answer to a request that was sent whole. It returns the status, and whether the server takes no further request on the
// connection. Its errors wrap ErrLost, ErrUnread or ErrNoAnswer.
func (c *Conn) Answer() (status int, last bool, err error) {
	_ = c.tcp.SetReadDeadline(time.Now().Add(answerTimeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, true, c.endError(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, true, c.endError(err)
	}
	return response.StatusCode, response.Close, nil
}

// endError returns why there is no answer.
func (c *Conn) endError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if HasReadAll(c.tcp) {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return fmt.Errorf("%w: %w", ErrUnread, err)
}

// HasReadAll reports whether the peer of a connection has closed it in order after it had read all that was sent to it. Bytes that the peer's system has not
// acknowledged were not read, also where no reset tells of it.
func HasReadAll(conn syscall.Conn) bool {
	time.Sleep(settleTime)
	state, unacked := sendState(conn)
	for deadline := time.Now().Add(ackTimeout); state == closeWait && unacked > 0 && time.Now().Before(deadline); {
		time.Sleep(settleTime)
		left := unacked
		if state, unacked = sendState(conn); unacked < left {
			deadline = time.Now().Add(ackTimeout)
		}
	}
	return state == closeWait && unacked == 0
}

// sendState returns the state of a connection in the kernel, 0 if it is not known, and how many of the bytes that were written to it are not acknowledged.
func sendState(conn syscall.Conn) (state uint8, unacked int) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, 0
	}
	_ = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		left, leftErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if infoErr == nil && leftErr == nil {
			state, unacked = info.State, left
		}
	})
	return state, unacked
}
