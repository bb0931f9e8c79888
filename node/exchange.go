package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gypsumbank/timeline"
	"gypsumbank/vmlist"
	"gypsumbank/wire"
)

const (
	adoptionFanout  = 3  // peers that a newly adopted snapshot is sent to immediately
	maxHintsPerPoll = 12 // targets that one poll asks for their load
	maxUsageRows    = 24 // rows of members' use in one message
	exchangeTimeout = time.Second
	notifyTimeout   = 300 * time.Millisecond
)

// Exchange merges the state that a peer sent and replies with this node's: the snapshot if the peer's is older, the
// load hint, and, unless only the hint was asked for, some of the usage and the crash suspects.
func (n *Node) Exchange(_ context.Context, request *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	n.mergeFromPeer(request.GetUsage(), request.GetSuspects(), request.GetClock())
	reply := &wire.ExchangeReply{
		From:            n.info,
		SnapshotVersion: n.snapshotVersion(),
		Clock:           n.ring.NextClock(),
	}
	if current, err := n.Snapshot(); err == nil && current.Version() > request.GetSnapshotVersion() {
		reply.Snapshot = current.Message()
	}
	if !request.GetHintOnly() {
		reply.Usage = n.meter.NextBatch(maxUsageRows)
		reply.Suspects = n.suspects.Entries(maxSuspectsPerMessage)
	}
	status := &wire.NodeStatus{}
	n.addRoleStatus(status)
	reply.Hint = status.GetHint()
	return reply, nil
}

// Offer adopts a snapshot if it is newer and returns the version in force.
func (n *Node) Offer(_ context.Context, message *wire.Snapshot) (*wire.OfferReply, error) {
	if err := n.AdoptSnapshot(message, "operator"); err != nil {
		return nil, err
	}
	return &wire.OfferReply{Version: n.snapshotVersion()}, nil
}

// Status returns the status of the node; it is ready once it has received the lists.
func (n *Node) Status(context.Context, *wire.StatusRequest) (*wire.NodeStatus, error) {
	status := &wire.NodeStatus{Info: n.info, TableUp: n.table.Up(), Usage: n.meter.All()}
	if current, err := n.Snapshot(); err == nil {
		status.SnapshotVersion = current.Version()
		status.PlansVersion = current.Message().GetPlansVersion()
		status.AllowancesVersion = current.Message().GetAllowancesVersion()
		status.Ready = true
	}
	n.addRoleStatus(status)
	return status, nil
}

// Timeline returns the recorded events after the requested sequence number.
func (n *Node) Timeline(_ context.Context, request *wire.TimelineRequest) (*wire.TimelineReply, error) {
	events, dropped := n.ring.After(request.GetAfterSequence())
	return &wire.TimelineReply{From: n.info, Events: events, Dropped: dropped}, nil
}

// SendSuspectsToEntries sends the crash suspects to every other entry and returns when all have answered or
// notifyTimeout has passed.
func (n *Node) SendSuspectsToEntries(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, vm := range n.roster.EntryVMs() {
		if vm.Name == n.info.GetName() {
			continue
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			_ = n.syncWithPeer(ctx, vm.Address)
		}()
	}
	calls.Wait()
}

// syncWithRandomPeer syncs with one random peer, so that the work of a node does not grow with the number of peers.
func (n *Node) syncWithRandomPeer(ctx context.Context) { n.syncWithRandomPeers(ctx, 1) }

// propagateSnapshots syncs with adoptionFanout random peers as soon as a new snapshot is in force.
func (n *Node) propagateSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.propagateSignal:
			n.syncWithRandomPeers(ctx, adoptionFanout)
		}
	}
}

func (n *Node) syncWithRandomPeers(ctx context.Context, count int) {
	peers := n.peerAddresses()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers[:min(count, len(peers))] {
		if err := n.syncWithPeer(ctx, address); err != nil {
			n.log.WithError(err).WithField("peer", address).Debug("exchange with peer failed")
		}
	}
}

// peerAddresses returns the addresses of the VMs in the roster and of the peers in the settings, except the node's own.
func (n *Node) peerAddresses() []string {
	seen := map[string]bool{n.config.Node.Listen: true}
	var addresses []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, vm := range n.roster.All() {
		add(vm.Address)
	}
	for _, address := range n.config.Platform.Peers {
		add(address)
	}
	return addresses
}

// syncWithPeer exchanges state with one peer and offers it the snapshot if the peer's is older.
func (n *Node) syncWithPeer(ctx context.Context, address string) error {
	reply, err := n.sendExchange(ctx, address, &wire.ExchangeRequest{
		From:            n.info,
		SnapshotVersion: n.snapshotVersion(),
		Usage:           n.meter.NextBatch(maxUsageRows),
		Suspects:        n.suspects.Entries(maxSuspectsPerMessage),
		Clock:           n.ring.NextClock(),
	})
	if err != nil {
		return err
	}
	current, err := n.Snapshot()
	if err != nil || reply.GetSnapshotVersion() >= current.Version() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	_, err = wire.NewDRPCNodeClient(n.dialer.Conn(ctx, address)).Offer(ctx, current.Message())
	return err
}

// sendExchange sends an exchange request to a peer, merges what the peer replies and adopts its snapshot if it is
// newer.
func (n *Node) sendExchange(ctx context.Context, address string, request *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	askedAt := time.Now()
	client := wire.NewDRPCNodeClient(n.dialer.Conn(ctx, address))
	reply, err := client.Exchange(ctx, request)
	if err != nil {
		return nil, err
	}
	n.mergeFromPeer(reply.GetUsage(), reply.GetSuspects(), reply.GetClock())
	if reply.GetSnapshot() != nil {
		if err := n.AdoptSnapshot(reply.GetSnapshot(), reply.GetFrom().GetName()); err != nil {
			n.log.WithError(err).Error("peer sent invalid lists")
		}
	}
	if reply.GetSnapshotVersion() <= n.snapshotVersion() {
		n.confirmLists(askedAt)
	}
	return reply, nil
}

func (n *Node) mergeFromPeer(usage []*wire.NodeUsage, suspects []*wire.Suspect, clock uint64) {
	n.ring.Observe(clock)
	n.meter.Merge(usage)
	n.suspects.Merge(suspects)
}

// pollHints asks the next model targets, in turn, for their load. Only entries do so. The number of targets per poll is
// bounded, so that the rate of calls does not grow with the number of targets.
func (n *Node) pollHints(ctx context.Context) {
	if n.info.GetRole() != vmlist.RoleEntry {
		return
	}
	targets := n.roster.ModelVMs()
	var calls sync.WaitGroup
	for range min(maxHintsPerPoll, len(targets)) {
		vm := targets[n.nextHintTarget%len(targets)]
		n.nextHintTarget++
		calls.Add(1)
		go func() {
			defer calls.Done()
			n.pollHint(ctx, vm)
		}()
	}
	calls.Wait()
}

// pollHint asks one model target for its load and updates whether the roster lists it as draining.
func (n *Node) pollHint(ctx context.Context, vm vmlist.VM) {
	reply, err := n.sendExchange(ctx, vm.Address, &wire.ExchangeRequest{
		From:            n.info,
		SnapshotVersion: n.snapshotVersion(),
		HintOnly:        true,
		Clock:           n.ring.NextClock(),
	})
	n.onHint(vm, reply, err)
	if err != nil {
		return
	}
	leaving := reply.GetHint().GetLeaving()
	n.roster.SetLeaving(vm.Name, leaving)
	if leaving && !vm.Leaving {
		n.ring.Add(timeline.Event{Kind: timeline.TargetLeaving, Target: vm.Name})
	}
}
