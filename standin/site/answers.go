package site

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// formatResponse returns an HTTP/1.1 response with a Content-Length; each header line in headers ends in CRLF.
func formatResponse(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
}

// IdentityHeaders returns the response headers that match an answer to its request, the request's id and a stamp, and those that the
// request's AnswerHeaders name.
func IdentityHeaders(request *ReceivedRequest) string {
	return "X-Gypsumbank-Request-Id: " + request.Header.Get("X-Gypsumbank-Request-Id") + "\r\nX-Gypsumbank-Response-Stamp: stamp\r\n" + request.AnswerHeaders
}

// TextResponse responds with a status and a body and keeps the connection open.
func TextResponse(status int, body string) Handler {
	return func(conn net.Conn, request *ReceivedRequest) bool {
		_, err := io.WriteString(conn, formatResponse(status, IdentityHeaders(request), body))
		return err == nil
	}
}

// RawResponse calls write, which gets the headers of IdentityHeaders and may write any bytes to the connection; the
// connection then stays open if keepOpen is set.
func RawResponse(keepOpen bool, write func(conn net.Conn, identityHeaders string)) Handler {
	return func(conn net.Conn, request *ReceivedRequest) bool {
		write(conn, IdentityHeaders(request))
		return keepOpen
	}
}

// EventStream responds with a chunked stream of server-sent events with the ids 1 to count, one each interval. A
// request with a Last-Event-Id gets only the events after it. If breakAfterID is not 0, the stream ends in a truncated
// chunk after the event with that id.
func EventStream(count int, interval time.Duration, breakAfterID int) Handler {
	return eventStream(count, interval, breakAfterID, "")
}

// VersionedEventStream is EventStream whose events end in "at-" and the software version that wrote them.
func VersionedEventStream(count int, interval time.Duration, version string, breakAfterID int) Handler {
	return eventStream(count, interval, breakAfterID, "-at-"+version)
}

func eventStream(count int, interval time.Duration, breakAfterID int, suffix string) Handler {
	return func(conn net.Conn, request *ReceivedRequest) bool {
		nextID := 1
		if _, err := fmt.Sscan(request.Header.Get("Last-Event-Id"), &nextID); err == nil {
			nextID++
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", IdentityHeaders(request))
		for i := nextID; i <= count; i++ {
			event := fmt.Sprintf("id: %d\ndata: token-%d%s\n\n", i, i, suffix)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				request.CallerLeft = true
				return false
			}
			if i == breakAfterID {
				_, _ = io.WriteString(conn, "20\r\nid: 99\ndata: hal")
				return false
			}
			time.Sleep(interval)
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
}

// NoResponse sends no response: it waits until the caller closes the connection or the timeout has passed, records in
// the request which of the two it was, and closes the connection.
func NoResponse(timeout time.Duration) Handler {
	return func(conn net.Conn, request *ReceivedRequest) bool {
		_ = conn.SetReadDeadline(time.Now().Add(timeout))
		_, err := conn.Read(make([]byte, 1))
		var netErr net.Error
		request.CallerLeft = !errors.As(err, &netErr) || !netErr.Timeout()
		return false
	}
}
