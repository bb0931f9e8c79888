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
		response, err := sender.New(connpool.New()).Send(ctx, listener.Addr().String(), &sender.Request{Method: http.MethodPost, URI: "/x", Host: "target", Body: body})
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
