package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"sort"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"gypsumbank/dialer"
	"gypsumbank/handshake"
	"gypsumbank/node"
	"gypsumbank/settings"
	"gypsumbank/snapshot"
	"gypsumbank/table"
	"gypsumbank/vmlist"
	"gypsumbank/wire"
)

// The names of the lists that operators edit.
const (
	Plans      = "plans"
	Allowances = "allowances"
)

const (
	// maxRecordedEdits bounds the ids of edits that the snapshot keeps; resolveUncertainWrite looks an edit up among them.
	maxRecordedEdits = 64
	callTimeout      = 2 * time.Second
	retryInterval    = 200 * time.Millisecond
	resolveTimeout   = 15 * time.Second
	inForceTimeout   = 15 * time.Second
	editIDBytes      = 12
	// maxOffersPerZone bounds how many nodes of an availability zone one round offers a snapshot to; those nodes pass it
	// on to the others.
	maxOffersPerZone = 8
	maxParallelCalls = 64
)

var (
	// ErrConflict reports that another edit changed the list after the version that this edit is based on.
	ErrConflict = errors.New("the list has changed since the version that this edit was made against")
	// ErrOutcomeUnknown reports that the table service did not confirm in time whether it committed an edit.
	ErrOutcomeUnknown = errors.New("not known whether the edit was accepted")
	// ErrNotInForce reports that some nodes did not confirm an accepted edit before the timeout.
	ErrNotInForce = errors.New("accepted, but not yet in force in every availability zone")
)

// Operator reads and edits the lists of one deployment and queries its nodes.
type Operator struct {
	config *settings.Config
	table  *table.Client
	vms    *vmlist.Client
	dialer *dialer.Dialer
}

// EditOutcome holds the versions after an accepted edit and the nodes that confirmed it or have yet to confirm it.
type EditOutcome struct {
	ListVersion uint64              // new version of the edited list
	Version     uint64              // new version of the snapshot
	InForce     map[string][]string // names of the nodes that confirmed the edit, by availability zone
	Unconfirmed map[string][]string // names of the nodes that have not confirmed it, by availability zone
}

// NodeReport is the status of one node, or the error of the call that asked for it.
type NodeReport struct {
	VM     vmlist.VM
	Status *wire.NodeStatus
	Err    error
}

// New returns an operator for the deployment that config describes.
func New(config *settings.Config) *Operator {
	return &Operator{
		config: config,
		table:  table.New(config.Platform.Table, config.Platform.TableTimeout),
		vms:    vmlist.New(config.Platform.VMList),
		dialer: dialer.New(handshake.New(config.Node.Secret)),
	}
}

// Close closes the connections to the nodes.
func (o *Operator) Close() error { return o.dialer.Close() }

// Current returns the snapshot of the lists that the table service holds.
func (o *Operator) Current(ctx context.Context) (*snapshot.Snapshot, error) {
	message, _, err := o.readSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	return snapshot.New(message)
}

// Apply replaces a list with newText if the list is still at baseVersion, and waits until the edit is in force on all
// nodes. The error wraps ErrConflict, ErrOutcomeUnknown, ErrNotInForce, snapshot.ErrInconsistent, inifile.ErrInvalid or
// table.ErrUnavailable. With ErrNotInForce, the outcome is returned too.
func (o *Operator) Apply(ctx context.Context, list string, newText []byte, baseVersion uint64) (*EditOutcome, error) {
	id := newEditID()
	current, itemVersion, err := o.readSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	next, err := applyEdit(current, list, newText, baseVersion, id)
	if err != nil {
		return nil, err
	}
	if _, err := snapshot.New(next); err != nil {
		return nil, err
	}
	if err := o.writeSnapshot(ctx, next, itemVersion, id); err != nil {
		return nil, err
	}
	return o.propagate(ctx, next, list)
}

// Reports queries all listed nodes for their status in parallel.
func (o *Operator) Reports(ctx context.Context) ([]NodeReport, error) {
	vms, err := o.VMs(ctx)
	if err != nil {
		return nil, err
	}
	reports := make([]NodeReport, len(vms))
	var calls sync.WaitGroup
	for i, vm := range vms {
		calls.Add(1)
		go func() {
			defer calls.Done()
			reports[i] = o.nodeStatus(ctx, vm)
		}()
	}
	calls.Wait()
	return reports, nil
}

// Timeline returns the events of one node whose sequence numbers are above after.
func (o *Operator) Timeline(ctx context.Context, vm vmlist.VM, after uint64) (*wire.TimelineReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := wire.NewDRPCNodeClient(o.dialer.Conn(ctx, vm.Address))
	return client.Timeline(ctx, &wire.TimelineRequest{AfterSequence: after})
}

// VMs returns the listed VMs. If the list cannot be read, it falls back to the peers in the settings, if there are any.
func (o *Operator) VMs(ctx context.Context) ([]vmlist.VM, error) {
	vms, err := o.vms.VMs(ctx)
	if err == nil {
		return vms, nil
	}
	if len(o.config.Platform.Peers) == 0 {
		return nil, fmt.Errorf("list of VMs: %w", err)
	}
	for _, address := range o.config.Platform.Peers {
		vms = append(vms, vmlist.VM{Name: address, Address: address})
	}
	return vms, nil
}

// readSnapshot returns the snapshot in the table and the version of its item, or an empty snapshot and 0 if there is
// none.
func (o *Operator) readSnapshot(ctx context.Context) (*wire.Snapshot, uint64, error) {
	item, err := o.table.Get(ctx, node.SnapshotKey)
	if errors.Is(err, table.ErrNotFound) {
		return &wire.Snapshot{}, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read the lists from the table: %w", err)
	}
	message := &wire.Snapshot{}
	if err := proto.Unmarshal(item.Value, message); err != nil {
		return nil, 0, fmt.Errorf("decode the lists in the table: %w", err)
	}
	return message, item.Version, nil
}

// applyEdit returns a copy of the snapshot in which newText replaces one list. The copy records the edit under id.
func applyEdit(current *wire.Snapshot, list string, newText []byte, baseVersion uint64, id string) (*wire.Snapshot, error) {
	next := proto.CloneOf(current)
	next.Version++
	listVersion := &next.PlansVersion
	if list == Plans {
		next.Plans = snapshot.Compress(newText)
	} else {
		listVersion = &next.AllowancesVersion
		next.Allowances = snapshot.Compress(newText)
	}
	if *listVersion != baseVersion {
		return nil, fmt.Errorf("%w: it is at version %d, the edit says version = %d", ErrConflict, *listVersion, baseVersion)
	}
	*listVersion++
	next.Edits = append(next.Edits, &wire.Edit{Id: id, Version: next.Version, List: list})
	next.Edits = next.Edits[max(0, len(next.Edits)-maxRecordedEdits):]
	return next, nil
}

// writeSnapshot commits the snapshot and its version in one transaction, conditional on the versions of both items. If
// the result of the write is unknown, it finds out from the table whether the edit with this id was committed.
func (o *Operator) writeSnapshot(ctx context.Context, next *wire.Snapshot, itemVersion uint64, id string) error {
	value, err := proto.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode the snapshot of the lists: %w", err)
	}
	versionItem, err := o.table.Get(ctx, node.VersionKey)
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return fmt.Errorf("read the version of the lists: %w", err)
	}
	err = o.table.Write(ctx, table.Transaction{Puts: []table.Put{
		{Key: node.SnapshotKey, Value: value, IfVersion: itemVersion},
		{Key: node.VersionKey, Value: strconv.AppendUint(nil, next.GetVersion(), 10), IfVersion: versionItem.Version},
	}})
	if errors.Is(err, table.ErrConflict) {
		return fmt.Errorf("%w: another edit came first", ErrConflict)
	}
	if err == nil {
		return nil
	}
	return o.resolveUncertainWrite(ctx, next, id)
}

// resolveUncertainWrite reads the snapshot until it holds the edit with this id, or has reached the version of next
// without it, which means that another edit was committed instead.
func (o *Operator) resolveUncertainWrite(ctx context.Context, next *wire.Snapshot, id string) error {
	deadline := time.Now().Add(resolveTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		message, _, err := o.readSnapshot(ctx)
		if err != nil {
			time.Sleep(retryInterval)
			continue
		}
		for _, edit := range message.GetEdits() {
			if edit.GetId() == id {
				return nil
			}
		}
		if message.GetVersion() >= next.GetVersion() {
			return fmt.Errorf("%w: another edit came first", ErrConflict)
		}
		time.Sleep(retryInterval)
	}
	return fmt.Errorf("%w: edit %s; run show to see", ErrOutcomeUnknown, id)
}

// propagate offers the snapshot to some nodes of every availability zone, which pass it on, and polls all nodes for
// their version until each has the snapshot in force or inForceTimeout has passed.
func (o *Operator) propagate(ctx context.Context, next *wire.Snapshot, list string) (*EditOutcome, error) {
	applied := &EditOutcome{Version: next.GetVersion(), ListVersion: next.GetPlansVersion()}
	if list == Allowances {
		applied.ListVersion = next.GetAllowancesVersion()
	}
	deadline := time.Now().Add(inForceTimeout)
	for {
		o.propagateOnce(ctx, next, applied)
		if len(applied.Unconfirmed) == 0 {
			return applied, nil
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return applied, ErrNotInForce
		}
		time.Sleep(retryInterval)
	}
}

// propagateOnce polls all nodes that are not draining for their version, offers the snapshot to at most
// maxOffersPerZone outdated nodes of each availability zone, and records in applied which nodes have it in force.
func (o *Operator) propagateOnce(ctx context.Context, next *wire.Snapshot, applied *EditOutcome) {
	applied.InForce = map[string][]string{}
	applied.Unconfirmed = map[string][]string{}
	vms, err := o.VMs(ctx)
	if err != nil {
		applied.Unconfirmed["unknown"] = []string{err.Error()}
		return
	}
	var mu sync.Mutex
	offered := map[string]int{}
	var calls errgroup.Group
	calls.SetLimit(maxParallelCalls)
	for _, vm := range vms {
		if vm.Leaving {
			continue
		}
		calls.Go(func() error {
			inForce := o.nodeVersion(ctx, vm) >= next.GetVersion()
			mu.Lock()
			shouldOffer := !inForce && offered[vm.AvailabilityZone] < maxOffersPerZone
			if shouldOffer {
				offered[vm.AvailabilityZone]++
			}
			mu.Unlock()
			inForce = inForce || (shouldOffer && o.offer(ctx, vm, next))
			mu.Lock()
			defer mu.Unlock()
			nodesByZone := applied.Unconfirmed
			if inForce {
				nodesByZone = applied.InForce
			}
			nodesByZone[vm.AvailabilityZone] = append(nodesByZone[vm.AvailabilityZone], vm.Name)
			return nil
		})
	}
	_ = calls.Wait()
	sortNodeNames(applied.InForce)
	sortNodeNames(applied.Unconfirmed)
}

// nodeVersion returns the version of the snapshot in force at a node, or 0 if the node does not answer. The request
// claims the highest version, so that the reply does not carry the snapshot.
func (o *Operator) nodeVersion(ctx context.Context, vm vmlist.VM) uint64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := wire.NewDRPCNodeClient(o.dialer.Conn(ctx, vm.Address))
	reply, err := client.Exchange(ctx, &wire.ExchangeRequest{HintOnly: true, SnapshotVersion: math.MaxUint64})
	if err != nil {
		return 0
	}
	return reply.GetSnapshotVersion()
}

// offer sends the snapshot to a node and reports whether the node has it, or a later one, in force.
func (o *Operator) offer(ctx context.Context, vm vmlist.VM, next *wire.Snapshot) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := wire.NewDRPCNodeClient(o.dialer.Conn(ctx, vm.Address))
	reply, err := client.Offer(ctx, next)
	return err == nil && reply.GetVersion() >= next.GetVersion()
}

func (o *Operator) nodeStatus(ctx context.Context, vm vmlist.VM) NodeReport {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := wire.NewDRPCNodeClient(o.dialer.Conn(ctx, vm.Address))
	status, err := client.Status(ctx, &wire.StatusRequest{})
	return NodeReport{VM: vm, Status: status, Err: err}
}

func newEditID() string {
	raw := make([]byte, editIDBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func sortNodeNames(byZone map[string][]string) {
	for _, names := range byZone {
		sort.Strings(names)
	}
}
