package rpcserver

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumbank/bytebudget"
)

const (
	// freeMessageBytes is the length up to which messages take no more than what each connection takes.
	freeMessageBytes = 16 << 10
	// messageCopies is how often a connection holds its longest message: drpc reads it into a buffer that doubles and joins its frames in another one, and keeps both.
	messageCopies = 4
	// lateReadTime is the time for bytes that have come already to be read.
	lateReadTime = 50 * time.Millisecond
)

// errMessageTooLong reports a message that is longer than the server takes.
var errMessageTooLong = errors.New("message is longer than allowed")

// messageMeter is a connection that reserves the memory of a message while it comes in, and bounds its length and the time in which it must arrive. It reads the
// headers of drpc frames as the bytes pass: a control byte, three varints of which the last is the length, and so many bytes.
type messageMeter struct {
	net.Conn
	hold     *bytebudget.Hold
	maxBytes int64
	timeout  time.Duration // for a message from its first byte on
	silence  time.Duration // for the first byte of a message; 0 for no limit

	isDone      bool  // the frame is the last of its message
	varints     int   // of the frame's header that have been read whole
	inHeader    bool  // the control byte has been read
	length      int64 // of the frame, as far as it has been read
	shift       uint  // of the next part of the length
	left        int64 // bytes of the frame that are still to come
	message     int64 // bytes of the message in the frames so far, with all of the present one
	reserved    int64
	hasDeadline bool
	begun       bool // a message has begun and not ended
	graced      bool // the message has been read on after its time
}

// Control bits of a frame, by the protocol of drpc.
const (
	frameDoneBit   = 0b00000001
	varintMoreBit  = 0x80
	varintDataBits = 7
	maxVarintShift = 63
	varintsInFrame = 3
)

// Read implements net.Conn.
func (m *messageMeter) Read(p []byte) (int, error) {
	if !m.begun && m.silence > 0 {
		if err := m.SetReadDeadline(time.Now().Add(m.silence)); err != nil {
			return 0, err
		}
	}
	n, err := m.Conn.Read(p)
	if n == 0 && m.begun && !m.graced && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = m.readLate(p)
	}
	if m.begun && errors.Is(err, os.ErrDeadlineExceeded) {
		countRefusal("message-timeout")
	}
	if scanErr := m.scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	if m.begun != m.hasDeadline {
		m.hasDeadline = m.begun
		deadline := time.Time{}
		if m.begun {
			deadline = time.Now().Add(m.timeout)
		}
		if deadlineErr := m.SetReadDeadline(deadline); deadlineErr != nil && err == nil {
			err = deadlineErr
		}
	}
	return n, err
}

// readLate reads on, once for a message, after its time has passed: a process that was frozen meanwhile finds bytes that came in time.
func (m *messageMeter) readLate(p []byte) (int, error) {
	m.graced = true
	if err := m.SetReadDeadline(time.Now().Add(lateReadTime)); err != nil {
		return 0, err
	}
	n, err := m.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	return n, m.SetReadDeadline(time.Now().Add(m.timeout))
}

// scan follows the frames in data and reserves what their messages take.
func (m *messageMeter) scan(data []byte) error {
	for len(data) > 0 {
		switch {
		case m.left > 0:
			skipped := min(m.left, int64(len(data)))
			data, m.left = data[skipped:], m.left-skipped
		case !m.inHeader:
			m.begun, m.inHeader, m.isDone = true, true, data[0]&frameDoneBit != 0
			m.varints, m.length, m.shift = 0, 0, 0
			data = data[1:]
			continue
		default:
			complete := m.readVarint(data[0])
			data = data[1:]
			if !complete {
				continue
			}
			if err := m.beginFrame(); err != nil {
				return err
			}
		}
		if m.left == 0 {
			m.endFrame()
		}
	}
	return nil
}

// readVarint takes a byte of the varints in a frame's header and reports whether it was the last.
func (m *messageMeter) readVarint(next byte) bool {
	if m.varints == varintsInFrame-1 && m.shift < maxVarintShift {
		m.length |= int64(next&^varintMoreBit) << m.shift
		m.shift += varintDataBits
	}
	if next&varintMoreBit == 0 {
		m.varints++
	}
	return m.varints == varintsInFrame
}

// beginFrame reserves what the message takes with the present frame.
func (m *messageMeter) beginFrame() error {
	if m.length < 0 || m.length > m.maxBytes || m.message+m.length > m.maxBytes {
		countRefusal("message-too-long")
		return fmt.Errorf("%w: %d bytes, %d are allowed", errMessageTooLong, m.message+m.length, m.maxBytes)
	}
	m.left = m.length
	m.message += m.length
	if m.message <= freeMessageBytes {
		return nil
	}
	needed := (m.message - freeMessageBytes) * messageCopies
	if needed <= m.reserved {
		return nil
	}
	if err := m.hold.Reserve(needed - m.reserved); err != nil {
		countRefusal("no-memory")
		return err
	}
	m.reserved = needed
	return nil
}

// endFrame ends the present frame, and the message if it is the last.
func (m *messageMeter) endFrame() {
	m.inHeader = false
	if m.isDone {
		m.message, m.begun, m.graced = 0, false, false
	}
}

// countRefusal counts a connection that is closed because of what comes on it.
func countRefusal(cause string) {
	metrics.GetOrCreateCounter(`gypsumbank_peer_connections_refused_total{cause="` + cause + `"}`).Inc()
}
