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

// IdentityHeaders returns the response headers that match an answer to its request: the request's id and a stamp.
func IdentityHeaders(request *Seen) string {
	return "X-Gypsumbank-Request-Id: " + request.Header.Get("X-Gypsumbank-Request-Id") + "\r\nX-Gypsumbank-Response-Stamp: stamp\r\n"
}

// Text responds with a status and a body and keeps the connection open.
func Text(status int, body string) Script {
	return func(conn net.Conn, request *Seen) bool {
		_, err := io.WriteString(conn, formatResponse(status, IdentityHeaders(request), body))
		return err == nil
	}
}

// Raw calls write, which gets the headers of IdentityHeaders and may write any bytes to the connection; the
// connection then stays open if keepOpen is set.
func Raw(keepOpen bool, write func(conn net.Conn, identityHeaders string)) Script {
	return func(conn net.Conn, request *Seen) bool {
		write(conn, IdentityHeaders(request))
		return keepOpen
	}
}

// Stream responds with a chunked stream of server-sent events with the ids 1 to count, one each interval. A
// request with a Last-Event-Id gets only the events after it. If breakAfterID is not 0, the stream ends in a truncated
// chunk after the event with that id.
func Stream(count int, interval time.Duration, breakAfterID int) Script {
	return func(conn net.Conn, request *Seen) bool {
		nextID := 1
		if _, err := fmt.Sscan(request.Header.Get("Last-Event-Id"), &nextID); err == nil {
			nextID++
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", IdentityHeaders(request))
		for i := nextID; i <= count; i++ {
			event := fmt.Sprintf("id: %d\ndata: token-%d\n\n", i, i)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				request.Left = true
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

// Hold sends no response: it waits until the caller closes the connection or the timeout has passed, records in
// the request which of the two it was, and closes the connection.
func Hold(timeout time.Duration) Script {
	return func(conn net.Conn, request *Seen) bool {
		_ = conn.SetReadDeadline(time.Now().Add(timeout))
		_, err := conn.Read(make([]byte, 1))
		var netErr net.Error
		request.Left = !errors.As(err, &netErr) || !netErr.Timeout()
		return false
	}
}
