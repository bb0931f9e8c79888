package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"gypsumbank/framing"
	"gypsumbank/resetguard"
)

// End is how a target ends its connection.
type End int

// Ends of a connection.
const (
	EndClose   End = iota // in order
	EndReset              // with a TCP reset
	EndSilence            // not at all: nothing more is sent until the caller closes it or silenceTimeout has passed
)

// String returns the name of the end in tests.
func (e End) String() string { return [...]string{"close", "reset", "silence"}[e] }

// silenceTimeout is how long a silent connection stays open.
const silenceTimeout = 20 * time.Second

// FrameBody returns the bytes of a body on the wire, in chunks of pieces.
func FrameBody(f framing.Framing, pieces []string) string {
	if f != framing.Chunks {
		return strings.Join(pieces, "")
	}
	var b strings.Builder
	for _, piece := range pieces {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(piece), piece)
	}
	return b.String() + "0\r\n\r\n"
}

// CutResponse responds with a status, the first bytes of a framed body and an end of the connection, which it announces: a whole answer with a
// length or chunks would else let the caller's side use the connection again as it is closed.
func CutResponse(status int, f framing.Framing, contentType string, pieces []string, bytes int, end End) Handler {
	return func(conn net.Conn, request *ReceivedRequest) bool {
		head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Type: %s\r\n", status, http.StatusText(status), IdentityHeaders(request), contentType)
		switch f {
		case framing.Length:
			head += fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n", len(strings.Join(pieces, "")))
		case framing.Chunks:
			head += "Connection: close\r\nTransfer-Encoding: chunked\r\n"
		case framing.Connection:
		}
		if _, err := io.WriteString(conn, head+"\r\n"+FrameBody(f, pieces)[:bytes]); err != nil {
			return false
		}
		return EndConnection(conn, request, end)
	}
}

// EndConnection ends a connection that has been written to, and reports whether it stays open, which it never does.
func EndConnection(conn net.Conn, request *ReceivedRequest, end End) bool {
	switch end {
	case EndReset:
		resetguard.New(conn) // also for a close meanwhile
		time.Sleep(resetDelay)
	case EndSilence:
		return NoResponse(silenceTimeout)(conn, request)
	case EndClose:
	}
	return false
}

// resetDelay is the pause before a reset, which discards what the caller's side has not received.
const resetDelay = 5 * time.Millisecond
