package deployment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"gypsumbank/entry"
	"gypsumbank/link"
	"gypsumbank/node"
	"gypsumbank/operator"
	"gypsumbank/settings"
	"gypsumbank/sidecar"
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
	lowestPort      = 12000
	highestPort     = 32000
	portTries       = 100
)

// ErrNotReady reports that the deployment did not become ready in time.
var ErrNotReady = errors.New("deployment is not ready")

// Role is one running process of the system: its name, its address for callers if it has one, and its node.
type Role struct {
	Name   string
	Listen string
	Node   *node.Node
	config *settings.Config
	cancel context.CancelFunc
	ended  chan error
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

// Counts returns how often each business event ran.
func (d *Deployment) Counts() *ledger.Counts { return d.counts }

// Table returns the table service.
func (d *Deployment) Table() *table.Server { return d.table }

// List adds or replaces a VM in the lists that all availability zones see; from other zones it is reached over a link
// with the delay between zones.
func (d *Deployment) List(vm vmlist.VM) error {
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

// Slow slows a part of the model engines by a factor; 1 ends it.
func (d *Deployment) Slow(part, factor float64) {
	for _, e := range d.engines[:int(part*float64(len(d.engines))+0.5)] {
		e.Faults().Put(fault.Faults{Slowdown: factor})
	}
}

// ModelLoads returns how many models all engines have loaded.
func (d *Deployment) ModelLoads() int {
	loads := 0
	for _, e := range d.engines {
		loads += e.Loads()
	}
	return loads
}

// Weights returns the weight store.
func (d *Deployment) Weights() *weights.Server { return d.weights }

// URL returns the address of an entry for callers.
func (d *Deployment) URL(entry int) string { return "http://" + d.entries[entry].Listen }

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

func (d *Deployment) startPlatform() error {
	d.table = table.New(readsPerSecond, writesPerSecond, d.size.Seed)
	d.vms, d.vmsAddresses = map[string]*vms.Server{}, map[string]string{}
	d.weights = weights.New(d.size.Weights, d.size.Seed)
	var err error
	if d.tableAddress, err = listenAnd(d.table.Start); err != nil {
		return err
	}
	for _, zone := range d.size.Zones {
		list := vms.New(d.size.ListLag, d.size.Seed)
		if d.vmsAddresses[zone], err = listenAnd(list.Start); err != nil {
			return err
		}
		d.vms[zone] = list
	}
	return nil
}

func (d *Deployment) startTargets() error {
	weightStore, err := listenAnd(d.weights.Start)
	if err != nil {
		return err
	}
	for i := range d.size.ModelReplicas {
		if err := d.startEngine(i, weightStore); err != nil {
			return err
		}
	}
	for i := range d.size.LedgerReplicas {
		if err := d.startLedger(i); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startEngine(number int, weightStore string) error {
	server := engine.New(engine.Config{
		MemoryBytes:      (acceleratorMiB - kvReserveMiB) << 20,
		Slots:            d.size.Slots,
		StepBase:         d.size.StepBase,
		StepPerSequence:  d.size.StepPerSeq,
		PrefillPerToken:  20 * time.Microsecond,
		CacheBlocks:      1024,
		ChecksFence:      d.size.ChecksFence,
		WeightStore:      weightStore,
		RestartTime:      d.size.RestartTime,
		ReportLag:        d.size.ReportLag,
		EventLag:         d.size.ReportLag,
		EventGapPerMille: 20,
		Seed:             d.size.Seed + uint64(number),
	})
	target, err := listenAnd(server.Start)
	if err != nil {
		return err
	}
	d.engines = append(d.engines, server)
	checks := "no"
	if d.size.ChecksFence {
		checks = "yes"
	}
	role := fmt.Sprintf("[sidecar]\nkind = model\ntarget = %s\nmemory-mib = %d\nkv-reserve-mib = %d\nslots = %d\ntarget-checks-fence = %s\norder-lifetime = %s\ngrace = %s\n",
		target, acceleratorMiB, kvReserveMiB, d.size.Slots, checks, d.size.OrderLifetime, d.size.Grace) + d.size.Policy.Sidecar
	return d.StartSidecar(fmt.Sprintf("model-%02d", number), d.size.Zone(number), vmlist.VM{Role: vmlist.Model}, role)
}

func (d *Deployment) startLedger(number int) error {
	server := ledger.New(d.counts, d.size.Seed+uint64(number))
	target, err := listenAnd(server.Start)
	if err != nil {
		return err
	}
	d.ledgers = append(d.ledgers, server)
	role := fmt.Sprintf("[sidecar]\nkind = service\nservice = ledger\ntarget = %s\ngrace = %s\n", target, d.size.Grace)
	vm := vmlist.VM{Role: vmlist.Service, Service: "ledger"}
	return d.StartSidecar(fmt.Sprintf("ledger-%02d", number), d.size.Zone(number), vm, role)
}

// StartSidecar starts a sidecar with the given section of settings and lists its VM.
func (d *Deployment) StartSidecar(name, zone string, vm vmlist.VM, section string) error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	config, err := settings.New(name, []byte(d.common(name, zone, address)+section))
	if err != nil {
		return err
	}
	vm.Name, vm.Address, vm.AvailabilityZone = name, address, zone
	if err := d.List(vm); err != nil {
		return err
	}
	role, err := d.runSidecar(config)
	if err != nil {
		return err
	}
	d.sidecars = append(d.sidecars, role)
	return nil
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

func (d *Deployment) runSidecar(config *settings.Config) (*Role, error) {
	s, err := sidecar.New(config, d.logFor(config.Node.Name, config.Node.AvailabilityZone))
	if err != nil {
		return nil, err
	}
	role := d.run(config.Node.Name, "", s.Node(), s.Run)
	role.config = config
	return role, nil
}

func (d *Deployment) startEntries(listen string) error {
	for i := range d.size.Entries {
		if err := d.startEntry(i, listen); err != nil {
			return err
		}
		listen = ""
	}
	return nil
}

func (d *Deployment) startEntry(number int, listen string) error {
	name, zone := fmt.Sprintf("entry-%02d", number), d.size.Zone(number)
	peers, err := FreeAddress()
	if err != nil {
		return err
	}
	if listen == "" {
		if listen, err = FreeAddress(); err != nil {
			return err
		}
	}
	text := d.common(name, zone, peers) + fmt.Sprintf("[entry]\nlisten = %s\ngrace = %s\n", listen, d.size.Grace) + d.size.Policy.Entry
	config, err := settings.New(name, []byte(text))
	if err != nil {
		return err
	}
	e, err := entry.New(config, d.logFor(name, zone))
	if err != nil {
		return err
	}
	if err := d.List(vmlist.VM{Name: name, Address: peers, AvailabilityZone: zone, Role: vmlist.Entry}); err != nil {
		return err
	}
	d.entries = append(d.entries, d.run(name, listen, e.Node(), e.Run))
	return nil
}

func (d *Deployment) run(name, listen string, n *node.Node, run func(context.Context) error) *Role {
	ctx, cancel := context.WithCancel(d.ctx)
	role := &Role{Name: name, Listen: listen, Node: n, cancel: cancel, ended: make(chan error, 1)}
	d.group.Go(func() error {
		err := run(ctx)
		role.ended <- err
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		return nil
	})
	return role
}

func (d *Deployment) applyLists() error {
	o, err := d.Operator()
	if err != nil {
		return err
	}
	defer o.Close()
	ctx, cancel := context.WithTimeout(d.ctx, 20*time.Second)
	defer cancel()
	time.Sleep(d.size.ListLag)
	if _, err := o.Apply(ctx, operator.Allowances, []byte(d.size.Allowances()), 0); err != nil {
		return fmt.Errorf("apply allowances: %w", err)
	}
	if _, err := o.Apply(ctx, operator.Plans, []byte(d.size.Plans()), 0); err != nil {
		return fmt.Errorf("apply plans: %w", err)
	}
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

func (d *Deployment) common(name, zone, listen string) string {
	return strings.Join([]string{
		"[node]",
		"name = " + name,
		"availability-zone = " + zone,
		"listen = " + listen,
		"secret = " + Secret,
		"[platform]",
		"table = " + d.tableAddress,
		"vm-list = " + d.vmsAddresses[zone],
		"poll-interval = " + d.size.PollInterval.String(),
		"",
	}, "\n")
}

func (d *Deployment) logFor(name, zone string) *logrus.Entry {
	return d.log.WithFields(logrus.Fields{"node": name, "availability-zone": zone})
}

func listenAnd(start func(net.Listener) <-chan error) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("deployment: %w", err)
	}
	start(listener)
	return listener.Addr().String(), nil
}

// FreeAddress returns a loopback address that nothing listens on, with a port below those that systems give to outgoing
// connections, so that none of these takes it before it is used.
func FreeAddress() (string, error) {
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(highestPort-lowestPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		return address, nil
	}
	return "", fmt.Errorf("%w: no free port from %d to %d", ErrNotReady, lowestPort, highestPort)
}
