package slowlink_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"gypsumbank/standin/rawserver"
	"gypsumbank/standin/slowlink"
)

// TestBytesWaitOnTheLink guards against tests of slow links that measure none: a first answer takes two round trips, each further one takes one, and bytes that
// follow closely wait side by side.
func TestBytesWaitOnTheLink(t *testing.T) {
	const delay = 100 * time.Millisecond
	server, err := rawserver.New(rawserver.AnyPort, func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	link, err := slowlink.New(rawserver.AnyPort, server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	link.SetDelay(delay)
	conn, err := net.Dial("tcp", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, c := range []struct {
		lines int
		least time.Duration
	}{{1, 4 * delay}, {1, 2 * delay}, {5, 2 * delay}} {
		began := time.Now()
		for range c.lines {
			if _, err := io.WriteString(conn, "line\n"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(delay / 20)
		}
		for range c.lines {
			if _, err := reader.ReadString('\n'); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took < c.least || took > c.least+2*delay {
			t.Errorf("%d lines took %s, want %s or a little more", c.lines, took, c.least)
		}
	}
	link.Refuse(true)
	if _, err := reader.ReadByte(); err == nil {
		t.Error("a refused connection goes on")
	}
}
