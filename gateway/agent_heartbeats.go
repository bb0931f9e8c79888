package gateway

import (
	"context"
	"time"

	"gypsumbank/fleet"
	"gypsumbank/pause"
	"gypsumbank/registry"
	"gypsumbank/wire"
)

// newHeartbeat returns a heartbeat that tells who this gateway is and which forms of states it understands. Those that only agents of many
// gateways use are not told by few, whose messages stay as they were.
func (a *agentClients) newHeartbeat() *wire.WatcherUpdate {
	storeEpoch, _ := a.epochs.Current()
	many := a.fleet.GatewayCount() > maxGatewaysForFastHeartbeat
	return &wire.WatcherUpdate{Node: a.name, KeepsHoldings: true, KeepsTargets: true, StoreEpoch: uint64(storeEpoch), ReadsPackedParts: many, KeepsLists: many}
}

// sendHeartbeats sends heartbeats with the usage, and to relay agents with the demand, until ctx ends or the stream breaks. Their times are those since
// began.
func (a *agentClients) sendHeartbeats(ctx context.Context, address string, stream wire.DRPCAgent_WatchClient, began time.Time) {
	pushUsage := a.usageChannel(address)
	var quarantineRevision uint64 // up to which the agent has been told
	var schedule demandSchedule
	var seenPush <-chan struct{} // closed once the demand has become urgent since the heartbeat before
	a.queueKeptOrigins(address)
	zone := a.fleet.AvailabilityZone() // told in the first update
	for {
		isRelay, pushDemand := a.demandStatus(address)
		isDemandPushed := isClosed(seenPush)
		seenPush = pushDemand
		gateways := a.fleet.GatewayCount()
		update := a.newHeartbeat()
		update.AvailabilityZone, zone = zone, ""
		update.HasDemand = isRelay && schedule.take(gateways, isDemandPushed, time.Now())
		if update.GetHasDemand() {
			for _, d := range a.fleet.Demand(time.Now()) {
				update.Demand = append(update.Demand, &wire.ModelDemand{Service: d.Service, Model: d.Model, Work: float32(d.WorkMsPerS)})
			}
		}
		if isRelay {
			update.Quarantine, quarantineRevision = a.crashes.table.Changes(quarantineRevision, true)
			update.SentMs = uint64(max(1, time.Since(began).Milliseconds()))
		}
		update.Origins = a.takeOrigins(address)
		share := a.fleet.TakeLoadReport(func(t registry.Target) bool { return a.address(t.Address) == address })
		update.UnreadMs = float32(share.PendingPrefillMs)
		update.Answers = encodeAnswers(share)
		for _, use := range share.Uses {
			update.Uses = append(update.Uses, &wire.ModelUse{Model: use.Model, Adapter: use.Name, Requests: uint32(use.Requests)})
		}
		for _, part := range share.Parts {
			update.Parts = append(update.Parts, &wire.PromptPart{Hash: part.Hash, Tokens: uint32(part.Tokens)})
		}
		if err := stream.Send(update); err != nil {
			return
		}
		interval := heartbeatInterval
		if isRelay {
			interval = schedule.wait(gateways, time.Now())
		} else {
			pushDemand = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-pushDemand:
			_ = pause.For(ctx, demandBatchDelay)
		case <-pushUsage:
			_ = pause.For(ctx, usageBatchDelay)
		case <-time.After(interval):
		}
	}
}

// encodeAnswers returns what this gateway has seen of a target's answers since its last report, or nil.
func encodeAnswers(share fleet.LoadReport) *wire.Answers {
	if share.Answers.IsEmpty() {
		return nil
	}
	return &wire.Answers{
		TargetId: share.Run.TargetID, Born: share.Run.Born, Served: uint32(share.Answers.Served), Failed: uint32(share.Answers.Failed),
		FirstByteMs: float32(share.Answers.TookMs), ExpectedMs: float32(share.Answers.ExpectedMs),
	}
}

// isClosed reports whether a channel is closed that no values are sent to.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
