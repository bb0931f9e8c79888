package gateway

import (
	"context"
	"testing"
	"time"

	"gypsumbank/blocklist"
	"gypsumbank/epoch"
	"gypsumbank/platform"
	"gypsumbank/quarantine"
	"gypsumbank/request"
	"gypsumbank/standin/site"
)

// TestBlockedContentsAreReadWhileAgentsCanNot guards against a gateway that serves contents which others have blocked, as it leaves the list in the store to
// agents that are connected and that the store turns away.
func TestBlockedContentsAreReadWhileAgentsCanNot(t *testing.T) {
	t.Parallel()
	const bound = 3 * time.Second // from the last crash until requests with the content are refused
	store := site.NewStore()
	t.Cleanup(store.Close)
	agents := newTestAgents(t)
	const address = "127.0.0.1:1"
	agents.relayAgents = map[string]bool{address: true}
	agents.setConnected(address, true)
	client := platform.NewStore(store.Address(), epoch.New(), agents.log)
	blocked := newBlockedContents(client, agents.crashes, agents, agents.log)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- blocked.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	time.Sleep(time.Second) // it has found out who reads the list

	clock := time.Now()
	other := quarantine.New(func() time.Time { return clock })
	contents := []request.Content{{Hash: 1}}
	for run := range uint64(3) {
		clock = clock.Add(time.Second)
		other.Blame(run, contents)
	}
	if _, err := blocklist.New(client, other, agents.log).Sync(ctx); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(bound); agents.crashes.Blocked(contents) == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("a content that another gateway has blocked is served %s later", bound)
		}
	}
}
