package deployment

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"gypsumbank/link"
	"gypsumbank/node"
	"gypsumbank/operator"
	"gypsumbank/settings"
	"gypsumbank/standin/engine"
	"gypsumbank/standin/fault"
	"gypsumbank/standin/ledger"
	"gypsumbank/standin/table"
	"gypsumbank/standin/vms"
	"gypsumbank/standin/weights"
	"gypsumbank/vmlist"
)

const (
	// Secret is the secret that the roles of a deployment share.
	Secret = "a-shared-secret-for-loopback"

	readsPerSecond  = 2000
	writesPerSecond = 500
	readyPoll       = 50 * time.Millisecond
)

// ErrNotReady reports that the deployment did not become ready in time.
var ErrNotReady = errors.New("deployment is not ready")

// Role is one running process of the system: its name, its address for callers if it has one, and its node.
type Role struct {
	Name          string
	CallerAddress string
	Node          *node.Node
	config        *settings.Config
	cancel        context.CancelFunc
	ended         chan error
}

// Deployment holds the stand-ins and the roles.
type Deployment struct {
	size   Size
	log    *logrus.Entry
	ctx    context.Context
	cancel context.CancelFunc
	group  *errgroup.Group

	table    *table.Server
	vms      map[string]*vms.Server // what each availability zone sees
	links    []*link.Link
	weights  *weights.Server
	engines  []*engine.Server
	ledgers  []*ledger.Server
	counts   *ledger.Counts
	entries  []*Role
	sidecars []*Role

	tableAddress string
	vmsAddresses map[string]string // by availability zone
}

// New starts a deployment; the first entry listens for callers on listen if that is not empty.
func New(ctx context.Context, size Size, listen string, log *logrus.Entry) (*Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	d := &Deployment{size: size, log: log, ctx: ctx, cancel: cancel, group: group, counts: ledger.NewCounts()}
	for _, step := range []func() error{d.startPlatform, d.startTargets, func() error { return d.startEntries(listen) }, d.applyLists} {
		if err := step(); err != nil {
			// A role that ended with an error has cancelled the context; that error is the cause then.
			err = errors.Join(err, context.Cause(ctx))
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

// Close stops all roles without a drain and then the stand-ins.
func (d *Deployment) Close() {
	d.cancel()
	_ = d.group.Wait()
	for _, e := range d.engines {
		e.Close()
	}
	for _, l := range d.ledgers {
		l.Close()
	}
	if d.weights != nil {
		d.weights.Close()
		d.table.Close()
	}
	for _, list := range d.vms {
		list.Close()
	}
	for _, l := range d.links {
		l.Close()
	}
}

// Size returns the size that the deployment was started with.
func (d *Deployment) Size() Size { return d.size }

// Entries returns the entries.
func (d *Deployment) Entries() []*Role { return d.entries }

// Sidecars returns the sidecars, those of model engines first.
func (d *Deployment) Sidecars() []*Role { return d.sidecars }

// Engines returns the model engines in the order of their sidecars.
func (d *Deployment) Engines() []*engine.Server { return d.engines }

// Ledgers returns the replicas of the ledger.
func (d *Deployment) Ledgers() []*ledger.Server { return d.ledgers }

// LedgerCounts returns how often each business event ran.
func (d *Deployment) LedgerCounts() *ledger.Counts { return d.counts }

// Table returns the table service.
func (d *Deployment) Table() *table.Server { return d.table }

// PutVM adds or replaces a VM in the lists that all availability zones see; from other zones it is reached over a link
// with the delay between zones.
func (d *Deployment) PutVM(vm vmlist.VM) error {
	for zone, list := range d.vms {
		seen := vm
		if d.size.ZoneDelay > 0 && zone != vm.AvailabilityZone {
			l, err := link.New(vm.Address)
			if err != nil {
				return err
			}
			l.SetDelay(d.size.ZoneDelay)
			d.links = append(d.links, l)
			seen.Address = l.Address()
		}
		list.Put(seen)
	}
	return nil
}

// SlowEngines slows a part of the model engines by a factor; 1 ends it.
func (d *Deployment) SlowEngines(part, factor float64) {
	for _, e := range d.engines[:int(part*float64(len(d.engines))+0.5)] {
		e.Faults().Put(fault.Faults{Slowdown: factor})
	}
}

// ModelLoads returns how many models all engines have loaded.
func (d *Deployment) ModelLoads() int {
	loads := 0
	for _, e := range d.engines {
		loads += e.ModelLoads()
	}
	return loads
}

// URL returns the address of an entry for callers.
func (d *Deployment) URL(entry int) string { return "http://" + d.entries[entry].CallerAddress }

// Operator returns an operator of the deployment, which the caller closes.
func (d *Deployment) Operator() (*operator.Operator, error) {
	config, err := settings.New("operator", []byte(d.OperatorSettings()))
	if err != nil {
		return nil, err
	}
	return operator.New(config), nil
}

// OperatorSettings returns the text of settings for operators' commands.
func (d *Deployment) OperatorSettings() string {
	return d.common("operator", d.size.Zones[0], "127.0.0.1:0")
}

// Stop has a role drain and returns when it has ended.
func (r *Role) Stop() error {
	r.cancel()
	err := <-r.ended
	r.ended <- err
	return err
}

// WaitReady returns once every entry knows a copy of every model and every slot of the ledger has an owner.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for {
		err := d.check(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotReady, err)
		case <-time.After(readyPoll):
		}
	}
}

// Restart starts a sidecar that was stopped as a new incarnation under the same name.
func (d *Deployment) Restart(number int) error {
	role, err := d.runSidecar(d.sidecars[number].config)
	if err != nil {
		return err
	}
	d.sidecars[number] = role
	return nil
}

func (d *Deployment) check(ctx context.Context) error {
	o, err := d.Operator()
	if err != nil {
		return err
	}
	defer o.Close()
	reports, err := o.Reports(ctx)
	if err != nil {
		return err
	}
	held := map[string]bool{}
	for _, report := range reports {
		if report.Err != nil || !report.Status.GetReady() {
			return fmt.Errorf("%s is not ready", report.VM.Name)
		}
		for _, name := range report.Status.GetHint().GetResident() {
			held[name] = true
		}
	}
	for i := range d.size.Models {
		if !held[ModelName(i)] {
			return fmt.Errorf("model %s is not resident", ModelName(i))
		}
	}
	return nil
}
