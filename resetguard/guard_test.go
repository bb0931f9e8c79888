package resetguard_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"gypsumbank/resetguard"
)

// TestGuardedCloseIsAReset guards against an answer that is broken off and seems to end in order.
func TestGuardedCloseIsAReset(t *testing.T) {
	cases := map[string]struct {
		lift bool
		want error
	}{
		"guarded": {false, syscall.ECONNRESET},
		"lifted":  {true, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			client, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			server, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			guard := resetguard.New(server)
			if c.lift {
				guard.Lift()
			}
			server.Close()
			if _, err := io.ReadAll(client); !errors.Is(err, c.want) {
				t.Errorf("read ended with %v, want %v", err, c.want)
			}
		})
	}
}

func TestNoConnectionIsNotGuarded(*testing.T) { resetguard.New(nil).Lift() }
