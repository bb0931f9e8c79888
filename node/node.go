package node

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"gypsumbank/dialer"
	"gypsumbank/handshake"
	"gypsumbank/meter"
	"gypsumbank/roster"
	"gypsumbank/settings"
	"gypsumbank/snapshot"
	"gypsumbank/suspect"
	"gypsumbank/table"
	"gypsumbank/timeline"
	"gypsumbank/vmlist"
	"gypsumbank/wire"
)

const (
	// SnapshotKey is the table key of the item that holds the lists.
	SnapshotKey = "lists/current"
	// VersionKey is the table key of the small item that holds the version of the lists. It is written in the same
	// transaction as the lists, and nodes poll it so that they need not read the lists each time.
	VersionKey = "lists/version"

	maxSuspectsPerMessage = 64
	// maxTableReadsPerSecond bounds the rate at which all nodes together read the version of the lists.
	maxTableReadsPerSecond = 200
)

// ErrNoSnapshot reports that the node has not received the lists yet.
var ErrNoSnapshot = errors.New("lists not received yet")

// Node is the part of an entry or sidecar that serves other nodes and operators.
type Node struct {
	info     *wire.NodeInfo
	config   *settings.Config
	dialer   *dialer.Dialer
	table    *table.Client
	vms      *vmlist.Client
	roster   *roster.Roster
	meter    *meter.Meter
	suspects *suspect.Table
	ring     *timeline.Ring
	log      *logrus.Entry

	mu               sync.RWMutex
	current          *snapshot.Snapshot
	listsConfirmedAt time.Time     // when the table or a peer was last asked that knew no newer lists than those in force
	snapshotChanged  chan struct{} // closed and replaced whenever a snapshot comes into force
	propagateSignal  chan struct{} // wakes propagateSnapshots after a snapshot came into force
	addRoleStatus    func(*wire.NodeStatus)
	onHint           func(vm vmlist.VM, reply *wire.ExchangeReply, err error)
	nextHintTarget   int // position in the roster's model targets of the next one that pollHints asks
}

// New returns the node of a process with the given role. Its incarnation is the start time, so that a restarted process
// has a higher one.
func New(config *settings.Config, role string, log *logrus.Entry) *Node {
	incarnation := uint64(time.Now().UnixNano())
	return &Node{
		info: &wire.NodeInfo{
			Name:        config.Node.Name,
			Zone:        config.Node.AvailabilityZone,
			Role:        role,
			Incarnation: incarnation,
		},
		config:          config,
		dialer:          dialer.New(handshake.New(config.Node.Secret)),
		table:           table.New(config.Platform.Table, config.Platform.TableTimeout),
		vms:             vmlist.New(config.Platform.VMList),
		roster:          roster.New(),
		meter:           meter.New(config.Node.Name, incarnation),
		suspects:        suspect.New(time.Now),
		ring:            timeline.New(0, time.Now),
		log:             log,
		snapshotChanged: make(chan struct{}),
		propagateSignal: make(chan struct{}, 1),
		addRoleStatus:   func(*wire.NodeStatus) {},
		onHint:          func(vmlist.VM, *wire.ExchangeReply, error) {},
	}
}

// Info returns the name, availability zone, role and incarnation of the node.
func (n *Node) Info() *wire.NodeInfo { return n.info }

// Dialer returns the dialer for connections to other nodes.
func (n *Node) Dialer() *dialer.Dialer { return n.dialer }

// Table returns the client of the table service.
func (n *Node) Table() *table.Client { return n.table }

// Roster returns the roster of the known VMs.
func (n *Node) Roster() *roster.Roster { return n.roster }

// Meter returns the counters of the members' use.
func (n *Node) Meter() *meter.Meter { return n.meter }

// Suspects returns the table of request contents that were running when a target crashed.
func (n *Node) Suspects() *suspect.Table { return n.suspects }

// Ring returns the ring of recorded events.
func (n *Node) Ring() *timeline.Ring { return n.ring }

// Log returns the node's logger.
func (n *Node) Log() *logrus.Entry { return n.log }

// OnStatus sets the function that adds the role's part to the status of the node. It must be called before Run.
func (n *Node) OnStatus(describe func(*wire.NodeStatus)) { n.addRoleStatus = describe }

// OnHint sets the function that receives the reply or the error of each poll of a model target. It must be called
// before Run.
func (n *Node) OnHint(onHint func(vmlist.VM, *wire.ExchangeReply, error)) { n.onHint = onHint }

// Snapshot returns the lists in force, or ErrNoSnapshot if none have been received yet.
func (n *Node) Snapshot() (*snapshot.Snapshot, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.current == nil {
		return nil, ErrNoSnapshot
	}
	return n.current, nil
}

// SnapshotChanged returns a channel that is closed when the next snapshot comes into force.
func (n *Node) SnapshotChanged() <-chan struct{} {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.snapshotChanged
}

// AdoptSnapshot puts a snapshot into force if its version is higher than the one in force, and signals the change. The
// source is recorded with the event and the log line.
func (n *Node) AdoptSnapshot(message *wire.Snapshot, source string) error {
	if message.GetVersion() <= n.snapshotVersion() {
		return nil
	}
	next, err := snapshot.New(message)
	if err != nil {
		return fmt.Errorf("snapshot %d from %s: %w", message.GetVersion(), source, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current != nil && next.Version() <= n.current.Version() {
		return nil
	}
	n.current = next
	select {
	case n.propagateSignal <- struct{}{}:
	default:
	}
	close(n.snapshotChanged)
	n.snapshotChanged = make(chan struct{})
	n.ring.Add(timeline.Event{Kind: timeline.EditInForce, Detail: fmt.Sprintf("version %d from %s", next.Version(), source)})
	n.log.WithField("version", next.Version()).WithField("source", source).Info("lists in force")
	return nil
}

// Run polls the table, the list of VMs and other nodes until ctx ends, and then closes the connections.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.runPeriodically(ctx, n.tablePollInterval, n.pollTable) })
	group.Go(func() error { return n.runPeriodically(ctx, n.pollInterval, n.pollVMList) })
	group.Go(func() error { return n.runPeriodically(ctx, n.pollInterval, n.syncWithRandomPeer) })
	group.Go(func() error { return n.runPeriodically(ctx, n.pollInterval, n.pollHints) })
	group.Go(func() error { return n.propagateSnapshots(ctx) })
	err := group.Wait()
	n.dialer.Close()
	return err
}

// runPeriodically runs a task immediately and then again after each interval, until ctx ends.
func (n *Node) runPeriodically(ctx context.Context, interval func() time.Duration, task func(context.Context)) error {
	for {
		task(ctx)
		timer := time.NewTimer(interval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

func (n *Node) pollInterval() time.Duration { return n.config.Platform.PollInterval }

// tablePollInterval returns the interval between reads of the version. It grows with the number of nodes, so that all
// nodes together stay within maxTableReadsPerSecond.
func (n *Node) tablePollInterval() time.Duration {
	minInterval := time.Duration(len(n.roster.All())) * time.Second / maxTableReadsPerSecond
	return max(n.config.Platform.PollInterval, minInterval)
}

// snapshotVersion returns the version of the snapshot in force, or 0 if there is none.
func (n *Node) snapshotVersion() uint64 {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.current == nil {
		return 0
	}
	return n.current.Version()
}

// pollTable reads the version of the lists from the table, and the lists only if that version is higher than the one in
// force.
func (n *Node) pollTable(ctx context.Context) {
	wasUp, askedAt := n.table.Up(), time.Now()
	versionItem, err := n.table.Get(ctx, VersionKey)
	n.recordTableState(wasUp)
	if err != nil {
		return
	}
	latestVersion, err := strconv.ParseUint(string(versionItem.Value), 10, 64)
	if err != nil {
		return
	}
	if latestVersion <= n.snapshotVersion() {
		n.confirmLists(askedAt)
		return
	}
	item, err := n.table.Get(ctx, SnapshotKey)
	if err != nil {
		return
	}
	message := &wire.Snapshot{}
	if err := proto.Unmarshal(item.Value, message); err != nil {
		n.log.WithError(err).Error("lists in the table cannot be decoded")
		return
	}
	if err := n.AdoptSnapshot(message, "table"); err != nil {
		n.log.WithError(err).Error("lists in the table are invalid")
	}
}

// recordTableState records an event and a log line if the table service became reachable or unreachable.
func (n *Node) recordTableState(wasUp bool) {
	isUp := n.table.Up()
	if wasUp == isUp {
		return
	}
	kind := timeline.StoreUp
	if !isUp {
		kind = timeline.StoreDown
	}
	n.ring.Add(timeline.Event{Kind: kind, Detail: "table"})
	n.log.WithField("up", isUp).Warn("table service became reachable or unreachable")
}

func (n *Node) pollVMList(ctx context.Context) {
	vms, err := n.vms.VMs(ctx)
	if err != nil {
		n.log.WithError(err).Debug("list of VMs cannot be read")
		return
	}
	n.roster.Update(vms)
}
