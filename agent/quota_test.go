package agent

import (
	"context"
	"slices"
	"testing"
	"time"

	"gypsumbank/quota"
	"gypsumbank/quotalevels"
	"gypsumbank/settings"
	"gypsumbank/wire"
)

// TestReserve guards against an agent that grants more than its part of a quota, that grants what another agent may still grant in its place,
// and that loses fields of the message.
func TestReserve(t *testing.T) {
	bounds := settings.Bounds{QuotaWindow: 8 * time.Second, QuotaOverage: 0.1, QuotaSlack: 110_000}
	started := time.Now().Add(-time.Minute)
	server := &agentServer{agent: &Agent{quotas: newQuotaKeeper(bounds)}}
	keeper := quota.NewKeeper(quota.Bounds{Window: bounds.QuotaWindow, Overage: bounds.QuotaOverage, Slack: bounds.QuotaSlack}, started)
	keeper.Tick(time.Now().Add(-500 * time.Millisecond)) // a freeze has ended then
	server.agent.quotas.keeper = keeper
	request := &wire.ReserveRequest{
		Customer: "acme", RoutesVersion: 1, PerSecond: 29_000, Burst: 29_000, Keepers: 3, CountsTokens: true,
		Amount: 9_000, Minimum: 9_000, KeeperForMs: 1000,
	}
	reserve := func() *wire.ReserveReply {
		t.Helper()
		reply, err := server.Reserve(context.Background(), request)
		if err != nil {
			t.Fatal(err)
		}
		return reply
	}
	if reply := reserve(); reply.GetGranted() != 0 || reply.GetWaitMs() == 0 || reply.GetLeft() >= 0 {
		t.Errorf("reply %v of a keeper that is known for 1 s, want none granted, a wait and a debt", reply)
	}
	request.KeeperForMs = 60_000
	granted := 0.0
	for range 100 {
		reply := reserve()
		if reply.GetGranted() > 0 && reply.GetLifetimeMs() == 0 {
			t.Errorf("reply %v, want a lifetime", reply)
		}
		granted += reply.GetGranted()
	}
	if most := (9*29_000*1.1 + 110_000) / 3; granted > most || granted < 29_000 {
		t.Errorf("granted %.0f, want from 29000 to %.0f", granted, most)
	}
}

// TestOtherKeepersAreKnownByTheirClaims guards against other keepers of a gateway that do not reach the row, as their agents have other addresses than
// their targets, by which claims are stored, and against claims of hosts that have several.
func TestOtherKeepersAreKnownByTheirClaims(t *testing.T) {
	quotas := newQuotaKeeper(settings.Bounds{QuotaWindow: 8 * time.Second})
	server := &agentServer{agent: &Agent{quotas: quotas}}
	request := &wire.ReserveRequest{
		Customer: "acme", RoutesVersion: 1, PerSecond: 29_000, Burst: 29_000, Keepers: 3, Amount: 1000, Minimum: 1000,
		OtherKeepers: []string{"10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000"},
	}
	if _, err := server.Reserve(context.Background(), request); err != nil {
		t.Fatal(err)
	}
	changes := quotas.changes()
	if len(changes) != 1 {
		t.Fatalf("%d changes to be stored, want 1", len(changes))
	}
	record := quotalevels.New(1)
	for _, address := range []string{"10.0.0.1:8000", "10.0.0.2:8000", "10.0.0.3:8000", "10.0.0.3:8001"} {
		record.Claims[address] = quotalevels.Claim{}
	}
	if got := claimsOf(record, changes[0].Beside); !slices.Equal(got, []string{"10.0.0.2:8000"}) {
		t.Errorf("claims %v of the other keepers, want that of the host which has one", got)
	}
}
