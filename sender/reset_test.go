package sender_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gypsumbank/connpool"
	"gypsumbank/sender"
)

// resetAfterAnswer accepts a connection, reads little of a request, answers without length or chunks and resets the connection.
func resetAfterAnswer(listener net.Listener) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	_, _ = conn.Read(make([]byte, 100))
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nthe begin")
	time.Sleep(5 * time.Millisecond)
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// TestResetDuringTheWriteIsNoEnd guards against a reset that only the write of the request's body is told of, while the read of an answer
// without length and chunks sees the end of the connection.
func TestResetDuringTheWriteIsNoEnd(t *testing.T) {
	const rounds = 100
	body := bytes.Repeat([]byte("x"), 16<<20) // more than the buffers of both sockets
	endsInOrder := 0
	for range rounds {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go resetAfterAnswer(listener)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		response, err := sender.New(connpool.New(connpool.Unlimited)).Send(ctx, listener.Addr().String(), &sender.Request{Method: http.MethodPost, URI: "/x", Host: "target", Body: body})
		if err == nil {
			if _, err := io.ReadAll(response.Body); err == nil {
				endsInOrder++
			}
			response.Body.Close()
		}
		cancel()
		listener.Close()
	}
	if endsInOrder > 0 {
		t.Errorf("%d of %d answers that were reset end in order", endsInOrder, rounds)
	}
}

// answerEarly accepts a connection, reads little of a request, answers without length or chunks, ends its side in order and closes the
// connection, whose unread bytes then have it reset.
func answerEarly(listener net.Listener) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	_, _ = conn.Read(make([]byte, 100))
	_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\n\r\ntoo large")
	_ = conn.(*net.TCPConn).CloseWrite()
	time.Sleep(5 * time.Millisecond)
	conn.Close()
}

// TestEarlyAnswerThatEndsInOrderIsNoReset sends a request that is answered before it has been read. The answer ends in order, though the
// rest of the request then has the connection reset.
func TestEarlyAnswerThatEndsInOrderIsNoReset(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 16<<20)
	for range 20 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go answerEarly(listener)
		response, err := sender.New(connpool.New(connpool.Unlimited)).Send(t.Context(), listener.Addr().String(), &sender.Request{Method: http.MethodPost, URI: "/x", Host: "target", Body: body})
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		if err != nil || string(got) != "too large" {
			t.Errorf("body %q, %v; want all of it", got, err)
		}
		response.Body.Close()
		listener.Close()
	}
}
