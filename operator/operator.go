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

// The names of the two lists.
const (
	Plans      = "plans"
	Allowances = "allowances"
)

const (
	maxEdits     = 64
	callTimeout  = 2 * time.Second
	retryPause   = 200 * time.Millisecond
	recheckTime  = 15 * time.Second
	forceTime    = 15 * time.Second
	editIDLength = 12
	// offersPerZone bounds the nodes in a zone that one round offers a snapshot to; the others receive it from them.
	offersPerZone = 8
	parallelCalls = 64
)

var (
	// ErrConflict reports that the list was changed since the version that an edit was made against.
	ErrConflict = errors.New("the list has changed since the version that this edit was made against")
	// ErrOutcomeUnknown reports that the table service did not tell whether an edit was accepted.
	ErrOutcomeUnknown = errors.New("not known whether the edit was accepted")
	// ErrNotInForce reports that an accepted edit was not confirmed in every availability zone in time.
	ErrNotInForce = errors.New("accepted, but not yet in force in every availability zone")
)

// Operator reads and edits the lists of one deployment.
type Operator struct {
	config *settings.Config
	table  *table.Client
	vms    *vmlist.Client
	dialer *dialer.Dialer
}

// EditOutcome tells what became of an accepted edit.
type EditOutcome struct {
	ListVersion uint64
	Version     uint64
	InForce     map[string][]string // names of the nodes by availability zone
	Unconfirmed map[string][]string // nodes that have not confirmed, by availability zone
}

// NodeReport is the status of one node, or the error that kept it from telling.
type NodeReport struct {
	VM     vmlist.VM
	Status *wire.NodeStatus
	Err    error
}

// New returns an operator with the given settings.
func New(config *settings.Config) *Operator {
	return &Operator{
		config: config,
		table:  table.New(config.Platform.Table, config.Platform.TableTimeout),
		vms:    vmlist.New(config.Platform.VMList),
		dialer: dialer.New(handshake.New(config.Node.Secret)),
	}
}

// Close closes all connections.
func (o *Operator) Close() error { return o.dialer.Close() }

// Current returns the lists that stand in the table.
func (o *Operator) Current(ctx context.Context) (*snapshot.Snapshot, error) {
	message, _, err := o.read(ctx)
	if err != nil {
		return nil, err
	}
	return snapshot.New(message)
}

// Apply replaces a list by text if the list is still at version base, and waits until the edit is in force everywhere.
// The error wraps ErrConflict, ErrNotKnown, ErrNotInForce, snapshot.ErrInconsistent, inifile.ErrInvalid or
// table.ErrUnavailable.
func (o *Operator) Apply(ctx context.Context, list string, text []byte, base uint64) (*EditOutcome, error) {
	id := newEditID()
	message, itemVersion, err := o.read(ctx)
	if err != nil {
		return nil, err
	}
	next, err := edited(message, list, text, base, id)
	if err != nil {
		return nil, err
	}
	if _, err := snapshot.New(next); err != nil {
		return nil, err
	}
	if err := o.write(ctx, next, itemVersion, id); err != nil {
		return nil, err
	}
	return o.putInForce(ctx, next, list)
}

// Reports asks every listed node for its status.
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
			reports[i] = o.report(ctx, vm)
		}()
	}
	calls.Wait()
	return reports, nil
}

// Timeline returns the events of one node after a sequence number.
func (o *Operator) Timeline(ctx context.Context, vm vmlist.VM, after uint64) (*wire.TimelineReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := wire.NewDRPCNodeClient(o.dialer.Conn(ctx, vm.Address))
	return client.Timeline(ctx, &wire.TimelineRequest{AfterSequence: after})
}

// VMs returns the listed VMs, or the peers of the settings if the list cannot be read.
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

func (o *Operator) read(ctx context.Context) (*wire.Snapshot, uint64, error) {
	item, err := o.table.Get(ctx, node.SnapshotKey)
	if errors.Is(err, table.ErrNotFound) {
		return &wire.Snapshot{}, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read the lists: %w", err)
	}
	message := &wire.Snapshot{}
	if err := proto.Unmarshal(item.Value, message); err != nil {
		return nil, 0, fmt.Errorf("read the lists: %w", err)
	}
	return message, item.Version, nil
}

// edited returns the snapshot after an edit.
func edited(message *wire.Snapshot, list string, text []byte, base uint64, id string) (*wire.Snapshot, error) {
	next := proto.CloneOf(message)
	next.Version++
	current := &next.PlansVersion
	if list == Plans {
		next.Plans = snapshot.Compress(text)
	} else {
		current = &next.AllowancesVersion
		next.Allowances = snapshot.Compress(text)
	}
	if *current != base {
		return nil, fmt.Errorf("%w: it is at version %d, the edit says version = %d", ErrConflict, *current, base)
	}
	*current++
	next.Edits = append(next.Edits, &wire.Edit{Id: id, Version: next.Version, List: list})
	next.Edits = next.Edits[max(0, len(next.Edits)-maxEdits):]
	return next, nil
}

// write commits the snapshot and, if the answer is lost, finds out whether it was taken.
func (o *Operator) write(ctx context.Context, next *wire.Snapshot, itemVersion uint64, id string) error {
	value, err := proto.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode the lists: %w", err)
	}
	latest, err := o.table.Get(ctx, node.VersionKey)
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return fmt.Errorf("read the version: %w", err)
	}
	err = o.table.Write(ctx, table.Transaction{Puts: []table.Put{
		{Key: node.SnapshotKey, Value: value, IfVersion: itemVersion},
		{Key: node.VersionKey, Value: strconv.AppendUint(nil, next.GetVersion(), 10), IfVersion: latest.Version},
	}})
	if errors.Is(err, table.ErrConflict) {
		return fmt.Errorf("%w: another edit came first", ErrConflict)
	}
	if err == nil {
		return nil
	}
	return o.recheck(ctx, next, id)
}

func (o *Operator) recheck(ctx context.Context, next *wire.Snapshot, id string) error {
	deadline := time.Now().Add(recheckTime)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		message, _, err := o.read(ctx)
		if err != nil {
			time.Sleep(retryPause)
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
		time.Sleep(retryPause)
	}
	return fmt.Errorf("%w: edit %s; run show to see", ErrOutcomeUnknown, id)
}

// putInForce offers the snapshot to some entries and sidecars of every availability zone, which pass it on, and asks all
// nodes for their version until each has taken it.
func (o *Operator) putInForce(ctx context.Context, next *wire.Snapshot, list string) (*EditOutcome, error) {
	applied := &EditOutcome{Version: next.GetVersion(), ListVersion: next.GetPlansVersion()}
	if list == Allowances {
		applied.ListVersion = next.GetAllowancesVersion()
	}
	deadline := time.Now().Add(forceTime)
	for {
		o.distribute(ctx, next, applied)
		if len(applied.Unconfirmed) == 0 {
			return applied, nil
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return applied, ErrNotInForce
		}
		time.Sleep(retryPause)
	}
}

// distribute offers the snapshot to a few nodes that lack it in each availability zone and notes who has it.
func (o *Operator) distribute(ctx context.Context, next *wire.Snapshot, applied *EditOutcome) {
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
	calls.SetLimit(parallelCalls)
	for _, vm := range vms {
		if vm.Leaving {
			continue
		}
		calls.Go(func() error {
			taken := o.version(ctx, vm) >= next.GetVersion()
			mu.Lock()
			offer := !taken && offered[vm.AvailabilityZone] < offersPerZone
			if offer {
				offered[vm.AvailabilityZone]++
			}
			mu.Unlock()
			taken = taken || (offer && o.offer(ctx, vm, next))
			mu.Lock()
			defer mu.Unlock()
			into := applied.Unconfirmed
			if taken {
				into = applied.InForce
			}
			into[vm.AvailabilityZone] = append(into[vm.AvailabilityZone], vm.Name)
			return nil
		})
	}
	_ = calls.Wait()
	sortNames(applied.InForce)
	sortNames(applied.Unconfirmed)
}

// version returns the version in force at a node, 0 if it does not answer.
func (o *Operator) version(ctx context.Context, vm vmlist.VM) uint64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := wire.NewDRPCNodeClient(o.dialer.Conn(ctx, vm.Address))
	reply, err := client.Exchange(ctx, &wire.ExchangeRequest{HintOnly: true, SnapshotVersion: math.MaxUint64})
	if err != nil {
		return 0
	}
	return reply.GetSnapshotVersion()
}

func (o *Operator) offer(ctx context.Context, vm vmlist.VM, next *wire.Snapshot) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := wire.NewDRPCNodeClient(o.dialer.Conn(ctx, vm.Address))
	reply, err := client.Offer(ctx, next)
	return err == nil && reply.GetVersion() >= next.GetVersion()
}

func (o *Operator) report(ctx context.Context, vm vmlist.VM) NodeReport {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := wire.NewDRPCNodeClient(o.dialer.Conn(ctx, vm.Address))
	status, err := client.Status(ctx, &wire.StatusRequest{})
	return NodeReport{VM: vm, Status: status, Err: err}
}

func newEditID() string {
	raw := make([]byte, editIDLength)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func sortNames(byZone map[string][]string) {
	for _, names := range byZone {
		sort.Strings(names)
	}
}
