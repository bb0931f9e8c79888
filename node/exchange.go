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
	peersOnAdoption = 3  // processes that a new snapshot is passed on to at once
	hintsPerTick    = 12 // targets asked for their load at every tick
	usagePerMessage = 24 // rows of members' use in one message
	exchangeTimeout = time.Second
	notifyTimeout   = 300 * time.Millisecond
)

// Exchange answers another process with what it does not know yet.
func (n *Node) Exchange(_ context.Context, request *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	n.learn(request.GetUsage(), request.GetSuspects(), request.GetClock())
	reply := &wire.ExchangeReply{
		From:            n.info,
		SnapshotVersion: n.version(),
		Clock:           n.ring.NextClock(),
	}
	if current, err := n.Snapshot(); err == nil && current.Version() > request.GetSnapshotVersion() {
		reply.Snapshot = current.Message()
	}
	if !request.GetHintOnly() {
		reply.Usage = n.meter.NextBatch(usagePerMessage)
		reply.Suspects = n.suspects.Entries(maxSuspects)
	}
	status := &wire.NodeStatus{}
	n.describe(status)
	reply.Hint = status.GetHint()
	return reply, nil
}

// Offer adopts a snapshot and returns the version in force.
func (n *Node) Offer(_ context.Context, message *wire.Snapshot) (*wire.OfferReply, error) {
	if err := n.AdoptSnapshot(message, "operator"); err != nil {
		return nil, err
	}
	return &wire.OfferReply{Version: n.version()}, nil
}

// Status describes the node.
func (n *Node) Status(context.Context, *wire.StatusRequest) (*wire.NodeStatus, error) {
	status := &wire.NodeStatus{Info: n.info, TableUp: n.table.Up(), Usage: n.meter.All()}
	if current, err := n.Snapshot(); err == nil {
		status.SnapshotVersion = current.Version()
		status.PlansVersion = current.Message().GetPlansVersion()
		status.AllowancesVersion = current.Message().GetAllowancesVersion()
		status.Ready = true
	}
	n.describe(status)
	return status, nil
}

// Timeline returns the recorded events after a sequence number.
func (n *Node) Timeline(_ context.Context, request *wire.TimelineRequest) (*wire.TimelineReply, error) {
	events, dropped := n.ring.After(request.GetAfterSequence())
	return &wire.TimelineReply{From: n.info, Events: events, Dropped: dropped}, nil
}

// SendSuspectsToEntries sends the crash suspects to every entry and returns when all have answered or a short time has passed.
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
			_ = n.exchangeWith(ctx, vm.Address)
		}()
	}
	calls.Wait()
}

// exchangeOne exchanges with one random process, so that the cost of a node does not grow with their number.
func (n *Node) exchangeOne(ctx context.Context) { n.exchangeWithRandom(ctx, 1) }

// passOn exchanges with a few processes as soon as a new snapshot is in force.
func (n *Node) passOn(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.adopted:
			n.exchangeWithRandom(ctx, peersOnAdoption)
		}
	}
}

func (n *Node) exchangeWithRandom(ctx context.Context, count int) {
	peers := n.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers[:min(count, len(peers))] {
		if err := n.exchangeWith(ctx, address); err != nil {
			n.log.WithError(err).WithField("peer", address).Debug("exchange failed")
		}
	}
}

func (n *Node) peers() []string {
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

// exchangeWith exchanges with one process and offers it the lists if it turns out to have older ones.
func (n *Node) exchangeWith(ctx context.Context, address string) error {
	reply, err := n.exchange(ctx, address, &wire.ExchangeRequest{
		From:            n.info,
		SnapshotVersion: n.version(),
		Usage:           n.meter.NextBatch(usagePerMessage),
		Suspects:        n.suspects.Entries(maxSuspects),
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

func (n *Node) exchange(ctx context.Context, address string, request *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client := wire.NewDRPCNodeClient(n.dialer.Conn(ctx, address))
	reply, err := client.Exchange(ctx, request)
	if err != nil {
		return nil, err
	}
	n.learn(reply.GetUsage(), reply.GetSuspects(), reply.GetClock())
	if reply.GetSnapshot() != nil {
		if err := n.AdoptSnapshot(reply.GetSnapshot(), reply.GetFrom().GetName()); err != nil {
			n.log.WithError(err).Error("lists from a peer are not valid")
		}
	}
	return reply, nil
}

func (n *Node) learn(usage []*wire.NodeUsage, suspects []*wire.Suspect, clock uint64) {
	n.ring.Observe(clock)
	n.meter.Merge(usage)
	n.suspects.Merge(suspects)
}

// pollHints asks the next few model targets for their load, at a rate that does not grow with their number.
func (n *Node) pollHints(ctx context.Context) {
	if n.info.GetRole() != vmlist.RoleEntry {
		return
	}
	targets := n.roster.ModelVMs()
	var calls sync.WaitGroup
	for range min(hintsPerTick, len(targets)) {
		vm := targets[n.cursor%len(targets)]
		n.cursor++
		calls.Add(1)
		go func() {
			defer calls.Done()
			n.pollHint(ctx, vm)
		}()
	}
	calls.Wait()
}

func (n *Node) pollHint(ctx context.Context, vm vmlist.VM) {
	reply, err := n.exchange(ctx, vm.Address, &wire.ExchangeRequest{
		From:            n.info,
		SnapshotVersion: n.version(),
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
