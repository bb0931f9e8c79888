package sender_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gypsumbank/connpool"
	"gypsumbank/sender"
)

// TestLeftRequestIsNotReadByAFrozenTarget sends to a target that reads nothing until the caller has left.
func TestLeftRequestIsNotReadByAFrozenTarget(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			accepted <- conn
		}
	}()
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		message := &sender.Request{Method: http.MethodPost, URI: "/x", Host: "target", Body: []byte("prompt"), MaxConnIdle: time.Second}
		_, err := sender.New(connpool.New()).Send(ctx, listener.Addr().String(), message)
		ended <- err
	}()
	conn := <-accepted
	defer conn.Close()
	time.Sleep(50 * time.Millisecond)
	leave()
	if err := <-ended; !errors.Is(err, sender.ErrNoUsableResponse) {
		t.Errorf("send: %v", err)
	}
	time.Sleep(50 * time.Millisecond)
	// A target that polls its sockets is told of the reset before it reads.
	if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(conn)
	if err == nil {
		t.Errorf("read %q and no reset", got)
	}
}
