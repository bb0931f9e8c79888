package deployment

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/entry"
	"gypsumbank/node"
	"gypsumbank/operator"
	"gypsumbank/settings"
	"gypsumbank/sidecar"
	"gypsumbank/standin/engine"
	"gypsumbank/standin/ledger"
	"gypsumbank/standin/table"
	"gypsumbank/standin/vms"
	"gypsumbank/standin/weights"
	"gypsumbank/vmlist"
)

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
		MemoryBytes:        (acceleratorMiB - kvReserveMiB) << 20,
		Slots:              d.size.Slots,
		StepBase:           d.size.StepBase,
		StepPerSequence:    d.size.StepPerSequence,
		PrefillPerToken:    20 * time.Microsecond,
		CacheBlocks:        1024,
		ChecksFence:        d.size.ChecksFence,
		WeightStore:        weightStore,
		RestartTime:        d.size.RestartTime,
		ReportLag:          d.size.ReportLag,
		EventLag:           d.size.ReportLag,
		LostEventsPerMille: 20,
		Seed:               d.size.Seed + uint64(number),
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
	return d.StartSidecar(fmt.Sprintf("model-%02d", number), d.size.Zone(number), vmlist.VM{Role: vmlist.RoleModel}, role)
}

func (d *Deployment) startLedger(number int) error {
	server := ledger.New(d.counts, d.size.Seed+uint64(number))
	target, err := listenAnd(server.Start)
	if err != nil {
		return err
	}
	d.ledgers = append(d.ledgers, server)
	role := fmt.Sprintf("[sidecar]\nkind = service\nservice = ledger\ntarget = %s\ngrace = %s\n", target, d.size.Grace)
	vm := vmlist.VM{Role: vmlist.RoleService, Service: "ledger"}
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
	if err := d.PutVM(vm); err != nil {
		return err
	}
	role, err := d.runSidecar(config)
	if err != nil {
		return err
	}
	d.sidecars = append(d.sidecars, role)
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
	if err := d.PutVM(vmlist.VM{Name: name, Address: peers, AvailabilityZone: zone, Role: vmlist.RoleEntry}); err != nil {
		return err
	}
	d.entries = append(d.entries, d.run(name, listen, e.Node(), e.Run))
	return nil
}

func (d *Deployment) run(name, listen string, n *node.Node, run func(context.Context) error) *Role {
	ctx, cancel := context.WithCancel(d.ctx)
	role := &Role{Name: name, CallerAddress: listen, Node: n, cancel: cancel, ended: make(chan error, 1)}
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
