package table_test

import (
	"errors"
	"net"
	"testing"
	"time"

	server "gypsumbank/standin/table"

	"gypsumbank/standin/slowlink"
	"gypsumbank/table"
)

// TestTableIsReadOverASlowWay guards against entries and sidecars that give up each read of the table before its answer arrives, and so never get a change of the
// lists for as long as the way to the table service is slow.
func TestTableIsReadOverASlowWay(t *testing.T) {
	const (
		timeout = 300 * time.Millisecond
		delay   = 200 * time.Millisecond // each way
		bound   = 10 * time.Second
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service := server.New(1000, 1000, 1)
	service.Start(listener)
	defer service.Close()
	link, err := slowlink.New("127.0.0.1:0", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	client := table.New(link.Address(), timeout)
	link.SetDelay(delay)
	calls := map[string]func() error{
		"write": func() error {
			return client.Write(t.Context(), table.Transaction{Puts: []table.Put{{Key: "written", Value: []byte("1")}}})
		},
		"list": func() error { _, err := client.List(t.Context(), "", "", 10); return err },
		"item": func() error { _, err := client.Get(t.Context(), "none"); return err },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
				if err := call(); !errors.Is(err, table.ErrUnavailable) {
					break
				}
				if time.Since(began) > bound {
					t.Fatalf("no answer after %s", bound)
				}
			}
		})
	}
}
