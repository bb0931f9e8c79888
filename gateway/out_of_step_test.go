package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gypsumbank/link"
)

// viewTime is the time after which a gateway counts its view of the software versions as complete, and some seconds.
const viewTime = 62 * time.Second

// TestOutOfStepGatewayDoesNotJoinSoftwareVersions guards against a gateway that has seen one software version for over a minute, no longer
// reads the registry, and goes on with streams at that version that have begun at another one through a gateway in touch.
func TestOutOfStepGatewayDoesNotJoinSoftwareVersions(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		firstEngine int
		joins       bool // a second version while the gateway is cut off
	}{
		"second version joins": {firstEngine: 140, joins: true},
		"one version":          {firstEngine: 150},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGatewayGroup(t)
			toStore, err := link.New(g.store.Address())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(toStore.Close)
			stopAgents := g.startVersions(c.firstEngine, "v1", "v1")
			g.startGatewayAt(0, toStore.Address())
			g.startGateway(1)
			time.Sleep(viewTime)
			if answer := g.sendTo(0, takeUp("unseen")); !strings.Contains(answer, "token-6-at-v1") {
				t.Errorf("a stream of the only version did not go on: %q", answer)
			}
			if c.joins {
				toStore.Close()
				stopAgents[0]()
				stopAgents[1]()
				g.startVersions(c.firstEngine+2, "v2", "v2", "v2")
				time.Sleep(1500 * time.Millisecond)
			}
			const streams = 16
			wentOn, begun := 0, 0
			for i := range streams {
				began := versionsOf(g.sendTo(1, streamRequest(fmt.Sprint("first", i))))
				answer := g.sendTo(0, takeUp(fmt.Sprint("first", i)))
				went := versionsOf(answer)
				if began != "" {
					begun++
				}
				if went != "" && went != began {
					t.Errorf("stream %d of %s went on at %s", i, began, went)
				}
				if went == began && strings.Contains(answer, "token-6") {
					wentOn++
				}
			}
			t.Logf("%d of %d streams that began went on", wentOn, begun)
			if !c.joins && wentOn < begun/2 {
				t.Errorf("%d of %d streams went on", wentOn, begun)
			}
		})
	}
}

// takeUp returns the bytes of a request that takes up, after its second event, the stream that another has begun.
func takeUp(first string) string {
	return streamRequest("again-"+first, "Last-Event-Id: 2", "Resumes: "+first)
}
