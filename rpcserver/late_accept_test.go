package rpcserver_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/rpcserver"
)

// lateListener returns connections only once its context has ended.
type lateListener struct {
	net.Listener
	ctx context.Context
}

func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	<-l.ctx.Done()
	return conn, err
}

// TestStopEndsBesideAnAccept guards against a stop that waits for ever as a connection is accepted in the moment in which it begins.
func TestStopEndsBesideAnAccept(t *testing.T) {
	const limit = 5 * time.Second
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	ended := make(chan error, 1)
	go func() {
		ended <- rpcserver.New(nil, logrus.NewEntry(logrus.New())).Run(ctx, lateListener{inner, ctx})
	}()
	time.Sleep(50 * time.Millisecond)
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(limit):
		t.Errorf("the stop has not ended after %s", limit)
	}
}
