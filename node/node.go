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
	// SnapshotKey is the key of the item that holds the lists.
	SnapshotKey = "lists/current"
	// VersionKey is the key of the small item that holds the version of the lists and is written along with them.
	VersionKey = "lists/version"

	maxSuspects = 64
	// tableReadsPerSecond bounds the reads of the version by all nodes together.
	tableReadsPerSecond = 200
)

// ErrNoSnapshot reports that the process has not received the lists yet.
var ErrNoSnapshot = errors.New("lists not received yet")

// Node is the part of a process that other processes and operators talk to.
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

	mu       sync.RWMutex
	current  *snapshot.Snapshot
	changed  chan struct{}
	adopted  chan struct{} // tells the exchange loop to pass a new snapshot on at once
	describe func(*wire.NodeStatus)
	onHint   func(vm vmlist.VM, reply *wire.ExchangeReply, err error)
	cursor   int
}

// New returns the node of a process with the given role.
func New(config *settings.Config, role string, log *logrus.Entry) *Node {
	incarnation := uint64(time.Now().UnixNano())
	return &Node{
		info: &wire.NodeInfo{
			Name:        config.Node.Name,
			Zone:        config.Node.AvailabilityZone,
			Role:        role,
			Incarnation: incarnation,
		},
		config:   config,
		dialer:   dialer.New(handshake.New(config.Node.Secret)),
		table:    table.New(config.Platform.Table, config.Platform.TableTimeout),
		vms:      vmlist.New(config.Platform.VMList),
		roster:   roster.New(),
		meter:    meter.New(config.Node.Name, incarnation),
		suspects: suspect.New(time.Now),
		ring:     timeline.New(0, time.Now),
		log:      log,
		changed:  make(chan struct{}),
		adopted:  make(chan struct{}, 1),
		describe: func(*wire.NodeStatus) {},
		onHint:   func(vmlist.VM, *wire.ExchangeReply, error) {},
	}
}

// Info returns the name, zone, role and incarnation of the process.
func (n *Node) Info() *wire.NodeInfo { return n.info }

// Dialer returns the dialer of the process.
func (n *Node) Dialer() *dialer.Dialer { return n.dialer }

// Table returns the client of the table service.
func (n *Node) Table() *table.Client { return n.table }

// Roster returns the known VMs.
func (n *Node) Roster() *roster.Roster { return n.roster }

// Meter returns the counters of use.
func (n *Node) Meter() *meter.Meter { return n.meter }

// Suspects returns the contents that were running when a target crashed.
func (n *Node) Suspects() *suspect.Table { return n.suspects }

// Ring returns the recorded events.
func (n *Node) Ring() *timeline.Ring { return n.ring }

// Log returns the logger of the process.
func (n *Node) Log() *logrus.Entry { return n.log }

// OnStatus sets what the role adds to the status of the node; it is called before Run.
func (n *Node) OnStatus(describe func(*wire.NodeStatus)) { n.describe = describe }

// OnHint sets what is done with the outcome of each exchange with a model target; it is called before Run.
func (n *Node) OnHint(onHint func(vmlist.VM, *wire.ExchangeReply, error)) { n.onHint = onHint }

// Snapshot returns the lists in force or ErrNoSnapshot.
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
	return n.changed
}

// AdoptSnapshot puts a snapshot into force if its version is higher than that in force.
func (n *Node) AdoptSnapshot(message *wire.Snapshot, source string) error {
	if message.GetVersion() <= n.version() {
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
	case n.adopted <- struct{}{}:
	default:
	}
	close(n.changed)
	n.changed = make(chan struct{})
	n.ring.Add(timeline.Event{Kind: timeline.EditInForce, Detail: fmt.Sprintf("version %d from %s", next.Version(), source)})
	n.log.WithField("version", next.Version()).WithField("source", source).Info("lists in force")
	return nil
}

// Run keeps the lists, the roster and the use up to date until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.every(ctx, n.tableInterval, n.pollTable) })
	group.Go(func() error { return n.every(ctx, n.pollInterval, n.pollVMs) })
	group.Go(func() error { return n.every(ctx, n.pollInterval, n.exchangeOne) })
	group.Go(func() error { return n.every(ctx, n.pollInterval, n.pollHints) })
	group.Go(func() error { return n.passOn(ctx) })
	err := group.Wait()
	n.dialer.Close()
	return err
}

func (n *Node) every(ctx context.Context, interval func() time.Duration, do func(context.Context)) error {
	for {
		do(ctx)
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

// tableInterval grows with the number of nodes, so that all together stay within the table's rate.
func (n *Node) tableInterval() time.Duration {
	spread := time.Duration(len(n.roster.All())) * time.Second / tableReadsPerSecond
	return max(n.config.Platform.PollInterval, spread)
}

func (n *Node) version() uint64 {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.current == nil {
		return 0
	}
	return n.current.Version()
}

// pollTable reads the version of the lists and, only if it is higher than that in force, the lists.
func (n *Node) pollTable(ctx context.Context) {
	wasUp := n.table.Up()
	latest, err := n.table.Get(ctx, VersionKey)
	n.noteTable(wasUp)
	if err != nil {
		return
	}
	version, err := strconv.ParseUint(string(latest.Value), 10, 64)
	if err != nil || version <= n.version() {
		return
	}
	item, err := n.table.Get(ctx, SnapshotKey)
	if err != nil {
		return
	}
	message := &wire.Snapshot{}
	if err := proto.Unmarshal(item.Value, message); err != nil {
		n.log.WithError(err).Error("lists in the table cannot be read")
		return
	}
	if err := n.AdoptSnapshot(message, "table"); err != nil {
		n.log.WithError(err).Error("lists in the table are not valid")
	}
}

func (n *Node) noteTable(wasUp bool) {
	isUp := n.table.Up()
	if wasUp == isUp {
		return
	}
	kind := timeline.StoreUp
	if !isUp {
		kind = timeline.StoreDown
	}
	n.ring.Add(timeline.Event{Kind: kind, Detail: "table"})
	n.log.WithField("up", isUp).Warn("table service changed state")
}

func (n *Node) pollVMs(ctx context.Context) {
	vms, err := n.vms.VMs(ctx)
	if err != nil {
		n.log.WithError(err).Debug("list of VMs not read")
		return
	}
	n.roster.Update(vms)
}
