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

// TestCanceledRequestResetsConnection cancels a request while a suspended target has not read it. The target must get a
// connection reset, so that it does not run a request whose caller has disconnected.
func TestCanceledRequestResetsConnection(t *testing.T) {
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
	ctx, cancel := context.WithCancel(t.Context())
	sendErr := make(chan error, 1)
	go func() {
		request := &sender.Request{Method: http.MethodPost, URI: "/x", Host: "target", Body: []byte("prompt"), Reuse: connpool.Reuse{MaxIdle: time.Second, ValidateAfter: time.Second}}
		_, err := sender.New(connpool.New(connpool.Unlimited)).Send(ctx, listener.Addr().String(), request)
		sendErr <- err
	}()
	conn := <-accepted
	defer conn.Close()
	time.Sleep(50 * time.Millisecond)
	cancel()
	if err := <-sendErr; !errors.Is(err, sender.ErrNoUsableResponse) {
		t.Errorf("Send returned %v, want ErrNoUsableResponse", err)
	}
	time.Sleep(50 * time.Millisecond)
	// A target that polls its sockets sees the reset before it reads the request.
	if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(conn)
	if err == nil {
		t.Errorf("read %q without an error, want a connection reset", got)
	}
}
