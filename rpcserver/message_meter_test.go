package rpcserver

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"storj.io/drpc/drpcwire"

	"gypsumbank/bytebudget"
)

const testMessageBytes = 1 << 20

// appendMessage appends a message in frames of some bytes each.
func appendMessage(data []byte, number uint64, length, frameBytes int, isWhole bool) []byte {
	for sent := 0; sent < length || sent == 0; sent += frameBytes {
		part := min(frameBytes, length-sent)
		data = drpcwire.AppendFrame(data, drpcwire.Frame{
			ID: drpcwire.ID{Stream: 1, Message: number}, Kind: drpcwire.KindMessage, Data: make([]byte, part), Done: isWhole && sent+part == length,
		})
		if part == 0 {
			break
		}
	}
	return data
}

// meterFor returns a meter, and the budget of its messages, whose peer sends data in writes of some bytes.
func meterFor(t *testing.T, data []byte, writeBytes int) (*messageMeter, *bytebudget.Budget) {
	t.Helper()
	server, peer := net.Pipe()
	t.Cleanup(func() { server.Close() })
	t.Cleanup(func() { peer.Close() })
	go func() {
		for rest := data; len(rest) > 0; rest = rest[min(writeBytes, len(rest)):] {
			if _, err := peer.Write(rest[:min(writeBytes, len(rest))]); err != nil {
				return
			}
		}
	}()
	budget := bytebudget.New(16 << 20)
	return &messageMeter{Conn: server, hold: budget.Begin("peer"), maxBytes: testMessageBytes, timeout: 200 * time.Millisecond}, budget
}

// TestMeterFollowsMessages guards against a meter that loses its place among the frames: it must pass messages of any length and framing on, in reads of any
// size, and hold no more than for the longest.
func TestMeterFollowsMessages(t *testing.T) {
	var data []byte
	for number, message := range []struct{ length, frameBytes int }{{0, 1}, {1, 1}, {100, 7}, {200, 1 << 20}, {70 << 10, 64 << 10}, {testMessageBytes, 64 << 10}, {5, 5}} {
		data = appendMessage(data, uint64(number+1), message.length, message.frameBytes, true)
	}
	for _, writeBytes := range []int{1, 3, 4096, 1 << 22} {
		meter, budget := meterFor(t, data, writeBytes)
		meter.timeout = time.Minute
		got := make([]byte, len(data))
		if _, err := io.ReadFull(meter, got); err != nil || !bytes.Equal(got, data) {
			t.Errorf("writes of %d bytes: error %v", writeBytes, err)
		}
		if meter.begun || meter.left != 0 {
			t.Errorf("writes of %d bytes: a message is in progress at the end", writeBytes)
		}
		if held := budget.Held(); held < testMessageBytes || held > messageCopies*testMessageBytes {
			t.Errorf("writes of %d bytes: %d bytes are held", writeBytes, held)
		}
	}
}

// TestMeterEndsConnections guards against peers that send messages that are too long, have no end or stop.
func TestMeterEndsConnections(t *testing.T) {
	const frame = 64 << 10
	tests := map[string]struct {
		data []byte
		want error
	}{
		"announced too long":  {[]byte{0, 1, 1, 0xff, 0xff, 0xff, 0x7f}, errMessageTooLong},
		"length overflows":    {[]byte{0, 1, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, errMessageTooLong},
		"frames without end":  {appendMessage(nil, 1, testMessageBytes+frame, frame, false), errMessageTooLong},
		"stops":               {appendMessage(nil, 1, frame, frame, true)[:frame], os.ErrDeadlineExceeded},
		"stops in its header": {[]byte{0, 1}, os.ErrDeadlineExceeded},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			meter, _ := meterFor(t, test.data, 1<<20)
			_, err := io.Copy(io.Discard, struct{ io.Reader }{meter})
			if !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}
