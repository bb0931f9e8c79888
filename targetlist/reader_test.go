package targetlist_test

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/epoch"
	"gypsumbank/hedge"
	"gypsumbank/platform"
	"gypsumbank/standin/site"
	"gypsumbank/standin/slowlink"
	"gypsumbank/targetlist"
)

// TestLargeRegistryIsReadOverASlowWay guards against a process that never knows the targets, as it gives up each read of a registry of several pages before its last
// page has come.
func TestLargeRegistryIsReadOverASlowWay(t *testing.T) {
	const (
		targets = 1200                   // three pages
		delay   = 300 * time.Millisecond // each way
		timeout = 600 * time.Millisecond
		bound   = 6 * time.Second
	)
	server := site.NewStore()
	t.Cleanup(server.Close)
	target := site.NewTarget("t", site.TextResponse(200, ""))
	t.Cleanup(target.Close)
	for i := range targets {
		server.Put("servers", fmt.Sprintf("t%04d", i), target.RegistryEntry("llm", "ready"))
	}
	link, err := slowlink.New("127.0.0.1:0", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	link.SetDelay(delay)
	log := logrus.New()
	log.SetOutput(io.Discard)
	reader := targetlist.New(platform.NewStore(link.Address(), epoch.New(), log.WithField("test", t.Name())))
	defer reader.Close()
	late := 0
	for began := time.Now(); ; {
		answer, err := reader.Read(t.Context(), timeout)
		if err == nil {
			if len(answer.Value.Targets) != targets {
				t.Errorf("%d targets, want %d", len(answer.Value.Targets), targets)
			}
			break
		}
		if late++; !errors.Is(err, hedge.ErrLate) || time.Since(began) > bound {
			t.Fatalf("no targets after %s: %v", time.Since(began), err)
		}
		if err := reader.Wait(t.Context(), timeout/2); err != nil {
			t.Fatal(err)
		}
	}
	if late == 0 {
		t.Error("no read was late, the test shows nothing")
	}
	if _, err := reader.Read(t.Context(), timeout); err != nil {
		t.Errorf("a read that takes as long as the last one: %v", err)
	}
}
