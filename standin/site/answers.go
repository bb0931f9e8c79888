package site

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answerText returns the bytes of an answer with a length.
func answerText(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
}

// Identity returns the headers by which a target signs its answer to a request.
func Identity(seen *ReceivedRequest) string {
	return "X-Gypsumbank-Request-Id: " + seen.Header.Get("X-Gypsumbank-Request-Id") + "\r\nX-Gypsumbank-Response-Stamp: stamp\r\n"
}

// TextResponse answers with a status and a body.
func TextResponse(status int, body string) Handler {
	return func(conn net.Conn, seen *ReceivedRequest) bool {
		_, err := io.WriteString(conn, answerText(status, Identity(seen), body))
		return err == nil
	}
}

// RawResponse writes text as it is, after replacing {id} by the headers of Identity, and then keeps or closes the connection.
func RawResponse(keep bool, write func(conn net.Conn, identity string)) Handler {
	return func(conn net.Conn, seen *ReceivedRequest) bool {
		write(conn, Identity(seen))
		return keep
	}
}

// EventStream answers with events numbered from 1, or from the one after Last-Event-Id, in chunks; it breaks off after the
// event with the given number, if that is not 0.
func EventStream(events int, pause time.Duration, breakAfter int) Handler {
	return func(conn net.Conn, seen *ReceivedRequest) bool {
		first := 1
		if _, err := fmt.Sscan(seen.Header.Get("Last-Event-Id"), &first); err == nil {
			first++
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", Identity(seen))
		for i := first; i <= events; i++ {
			event := fmt.Sprintf("id: %d\ndata: token-%d\n\n", i, i)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				seen.CallerLeft = true
				return false
			}
			if i == breakAfter {
				_, _ = io.WriteString(conn, "20\r\nid: 99\ndata: hal")
				return false
			}
			time.Sleep(pause)
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
}

// NoResponse answers nothing until the caller leaves or the time has passed, and notes whether the caller left.
func NoResponse(most time.Duration) Handler {
	return func(conn net.Conn, seen *ReceivedRequest) bool {
		_ = conn.SetReadDeadline(time.Now().Add(most))
		_, err := conn.Read(make([]byte, 1))
		var timeout net.Error
		seen.CallerLeft = !errors.As(err, &timeout) || !timeout.Timeout()
		return false
	}
}
