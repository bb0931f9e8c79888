package connpool

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// newValidated returns a connection with a round trip, and the target's end of it.
func newValidated(t *testing.T, roundTrip time.Duration) (*Conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := New(Unlimited).Get(t.Context(), listener.Addr().String(), Reuse{}, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	conn.roundTrip = roundTrip
	return conn, accepted
}

// TestValidationWaitsForTheRoundTrip guards against a validation that ends before a reset of the target can have arrived, or that waits
// though it has.
func TestValidationWaitsForTheRoundTrip(t *testing.T) {
	t.Parallel()
	const roundTrip = 200 * time.Millisecond
	tests := map[string]struct {
		target func(net.Conn) // half a round trip after the first bytes
		want   error
	}{
		"sound":            {target: func(net.Conn) {}},
		"reset":            {target: func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0); conn.Close() }, want: ErrStale},
		"end in order":     {target: func(conn net.Conn) { conn.Close() }, want: ErrStale},
		"unsolicited byte": {target: func(conn net.Conn) { _, _ = conn.Write([]byte("H")) }, want: ErrStale},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, target := newValidated(t, roundTrip)
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _ = io.ReadFull(target, make([]byte, 4))
				time.Sleep(roundTrip / 2)
				test.target(target)
			}()
			begun := time.Now()
			err := conn.Validate(t.Context(), []byte("POST"))
			took := time.Since(begun)
			<-done
			if !errors.Is(err, test.want) {
				t.Errorf("validation returned %v, want %v", err, test.want)
			}
			if test.want == nil && took < roundTrip {
				t.Errorf("validation took %s, want the round trip of %s", took, roundTrip)
			}
			if _, err := conn.Write([]byte(" ")); (err == nil) != (test.want == nil) {
				t.Errorf("write after the validation: %v", err)
			}
		})
	}
}

// TestValidationEndsWithItsRequest guards against a connection that is used, or left open, after its request has ended in the validation.
func TestValidationEndsWithItsRequest(t *testing.T) {
	t.Parallel()
	conn, target := newValidated(t, time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if err := conn.Validate(ctx, []byte("POST")); !errors.Is(err, context.Canceled) {
		t.Errorf("validation returned %v, want that of the context", err)
	}
	if err := target.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(target); err == nil || errors.Is(err, os.ErrDeadlineExceeded) || len(got) > len("POST") {
		t.Errorf("target read %q, %v; want a reset after at most the first bytes", got, err)
	}
}

// TestFarTargetIsNotValidated guards against requests that wait for longer than a validation may take: with such a round trip an idle
// connection is used by requests that need no validation only.
func TestFarTargetIsNotValidated(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		roundTrip time.Duration
		want      bool
	}{
		"same zone":  {roundTrip: time.Millisecond, want: true},
		"other zone": {roundTrip: 8 * time.Millisecond, want: true},
		"far":        {roundTrip: maxValidation, want: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, _ := newValidated(t, test.roundTrip)
			conn.pool.Put(conn, time.Minute)
			time.Sleep(time.Millisecond)
			if got := conn.pool.CanReuse(conn.address, Reuse{MaxIdle: time.Minute}); got != test.want {
				t.Errorf("can be reused after a validation: %t, want %t", got, test.want)
			}
			if !conn.pool.CanReuse(conn.address, Reuse{MaxIdle: time.Minute, ValidateAfter: time.Minute}) {
				t.Error("cannot be reused without a validation")
			}
		})
	}
}
