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
	// Secret is the shared secret in the settings of all roles of a deployment.
	Secret = "a-shared-secret-for-loopback"

	tableReadsPerSecond  = 2000
	tableWritesPerSecond = 500
	readyPollInterval    = 50 * time.Millisecond // between two checks of WaitReady
)

// ErrNotReady is returned when the deployment did not become ready before the context ended.
var ErrNotReady = errors.New("deployment is not ready")

// Role is one running entry or sidecar. It has the settings and the node of a process of its own but runs in goroutines
// of this one.
type Role struct {
	Name          string
	CallerAddress string // empty for a sidecar
	Node          *node.Node
	config        *settings.Config // settings that Restart starts a sidecar with; nil for an entry
	cancel        context.CancelFunc
	exited        chan error // buffers the result of the role's run
}

// Deployment is a running system: the stand-ins and the roles.
type Deployment struct {
	size   Size
	log    *logrus.Entry
	ctx    context.Context // ends when the deployment is closed, a role fails or the caller's context ends
	cancel context.CancelFunc
	roles  *errgroup.Group // the running roles

	tableServer   *table.Server
	vmListServers map[string]*vms.Server // by availability zone, as zones list different addresses for a VM
	zoneLinks     []*link.Link           // links with the delay between availability zones
	weightServer  *weights.Server
	engines       []*engine.Server
	ledgers       []*ledger.Server
	ledgerCounts  *ledger.Counts
	entries       []*Role
	sidecars      []*Role

	tableAddress    string
	vmListAddresses map[string]string // by availability zone
}

// New starts a deployment and applies the first lists of allowances and plans. The first entry listens for callers on
// listen, or on a free port if listen is empty. The deployment is not necessarily ready yet; see WaitReady.
func New(ctx context.Context, size Size, listen string, log *logrus.Entry) (*Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	d := &Deployment{size: size, log: log, ctx: ctx, cancel: cancel, roles: group, ledgerCounts: ledger.NewCounts()}
	for _, step := range []func() error{d.startPlatform, d.startTargets, func() error { return d.startEntries(listen) }, d.applyInitialLists} {
		if err := step(); err != nil {
			// If a role failed, its error cancelled the context and is the cause of err.
			err = errors.Join(err, context.Cause(ctx))
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

// Close ends all roles at once, waits until they have drained and then closes the stand-ins and the links between zones.
func (d *Deployment) Close() {
	d.cancel()
	_ = d.roles.Wait()
	for _, e := range d.engines {
		e.Close()
	}
	for _, l := range d.ledgers {
		l.Close()
	}
	if d.weightServer != nil {
		d.weightServer.Close()
		d.tableServer.Close()
	}
	for _, server := range d.vmListServers {
		server.Close()
	}
	for _, l := range d.zoneLinks {
		l.Close()
	}
}

// Size returns the configuration that the deployment was started with.
func (d *Deployment) Size() Size { return d.size }

// Entries returns the running entries by number.
func (d *Deployment) Entries() []*Role { return d.entries }

// Sidecars returns the sidecars: those of the model engines, then those of the ledger replicas, then those started
// with StartSidecar, each in the order of their start.
func (d *Deployment) Sidecars() []*Role { return d.sidecars }

// Engines returns the stand-in model engines in the order of their sidecars.
func (d *Deployment) Engines() []*engine.Server { return d.engines }

// Ledgers returns the stand-in replicas of the ledger service in the order of their sidecars.
func (d *Deployment) Ledgers() []*ledger.Server { return d.ledgers }

// LedgerCounts returns the counts of how often the ledger replicas ran each event.
func (d *Deployment) LedgerCounts() *ledger.Counts { return d.ledgerCounts }

// Table returns the stand-in for the table service.
func (d *Deployment) Table() *table.Server { return d.tableServer }

// PutVM adds or replaces a VM in the VM list of every availability zone. If the deployment has a delay between zones,
// the lists of the other zones hold the address of a link that delays the traffic to the VM.
func (d *Deployment) PutVM(vm vmlist.VM) error {
	for zone, server := range d.vmListServers {
		listedVM := vm
		if d.size.ZoneDelay > 0 && zone != vm.AvailabilityZone {
			zoneLink, err := link.New(vm.Address)
			if err != nil {
				return err
			}
			zoneLink.SetDelay(d.size.ZoneDelay)
			d.zoneLinks = append(d.zoneLinks, zoneLink)
			listedVM.Address = zoneLink.Address()
		}
		server.Put(listedVM)
	}
	return nil
}

// SlowEngines makes a share of the model engines, from 0 to 1 and starting with the first, slower by a factor. It
// replaces their other faults; a factor of 1 restores their speed.
func (d *Deployment) SlowEngines(share, factor float64) {
	for _, e := range d.engines[:int(share*float64(len(d.engines))+0.5)] {
		e.Faults().Put(fault.Faults{Slowdown: factor})
	}
}

// ModelLoads returns the number of model loads of all engines since the deployment was started.
func (d *Deployment) ModelLoads() int {
	loads := 0
	for _, e := range d.engines {
		loads += e.ModelLoads()
	}
	return loads
}

// URL returns the base URL of the entry with the given number.
func (d *Deployment) URL(entry int) string { return "http://" + d.entries[entry].CallerAddress }

// Operator returns an operator's client for the deployment. The caller closes it.
func (d *Deployment) Operator() (*operator.Operator, error) {
	config, err := settings.New("operator", []byte(d.OperatorSettings()))
	if err != nil {
		return nil, err
	}
	return operator.New(config), nil
}

// OperatorSettings returns the text of a settings file for an operator's commands.
func (d *Deployment) OperatorSettings() string {
	return d.commonSettings("operator", d.size.Zones[0], "127.0.0.1:0")
}

// Stop starts the drain of a role, waits until it has ended and returns its error. It may be called again.
func (r *Role) Stop() error {
	r.cancel()
	err := <-r.exited
	r.exited <- err
	return err
}

// WaitReady polls the nodes until each reports that it is ready, which means that it has the lists of allowances and
// plans, and every model is resident on an engine. It returns an error that wraps ErrNotReady if ctx ends before.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for {
		err := d.checkReady(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotReady, err)
		case <-time.After(readyPollInterval):
		}
	}
}

// Restart starts the stopped sidecar with the given number again, as a new incarnation with the same name and settings.
func (d *Deployment) Restart(number int) error {
	role, err := d.runSidecar(d.sidecars[number].config)
	if err != nil {
		return err
	}
	d.sidecars[number] = role
	return nil
}

// checkReady asks all listed nodes once for their status and returns an error if the deployment is not ready.
func (d *Deployment) checkReady(ctx context.Context) error {
	o, err := d.Operator()
	if err != nil {
		return err
	}
	defer o.Close()
	reports, err := o.Reports(ctx)
	if err != nil {
		return err
	}
	resident := map[string]bool{}
	for _, report := range reports {
		if report.Err != nil || !report.Status.GetReady() {
			return fmt.Errorf("node %s is not ready", report.VM.Name)
		}
		for _, name := range report.Status.GetHint().GetResident() {
			resident[name] = true
		}
	}
	for i := range d.size.Models {
		if !resident[ModelName(i)] {
			return fmt.Errorf("model %s is not resident on any engine", ModelName(i))
		}
	}
	return nil
}
