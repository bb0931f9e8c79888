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

// startPlatform starts the stand-ins for the table service and, in each availability zone, the VM list.
func (d *Deployment) startPlatform() error {
	d.tableServer = table.New(tableReadsPerSecond, tableWritesPerSecond, d.size.Seed)
	d.vmListServers, d.vmListAddresses = map[string]*vms.Server{}, map[string]string{}
	d.weightServer = weights.New(d.size.Weights, d.size.Seed)
	var err error
	if d.tableAddress, err = startOnLoopback(d.tableServer.Start); err != nil {
		return err
	}
	for _, zone := range d.size.Zones {
		server := vms.New(d.size.ListLag, d.size.Seed)
		if d.vmListAddresses[zone], err = startOnLoopback(server.Start); err != nil {
			return err
		}
		d.vmListServers[zone] = server
	}
	return nil
}

// startTargets starts the weight store, the model engines and the ledger replicas, and the sidecar of each target.
func (d *Deployment) startTargets() error {
	weightStoreAddress, err := startOnLoopback(d.weightServer.Start)
	if err != nil {
		return err
	}
	for i := range d.size.ModelReplicas {
		if err := d.startEngine(i, weightStoreAddress); err != nil {
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

// startEngine starts a model engine and its sidecar.
func (d *Deployment) startEngine(number int, weightStoreAddress string) error {
	server := engine.New(engine.Config{
		MemoryBytes:        (acceleratorMiB - kvReserveMiB) << 20,
		Slots:              d.size.Slots,
		StepBase:           d.size.StepBase,
		StepPerSequence:    d.size.StepPerSequence,
		PrefillPerToken:    20 * time.Microsecond,
		CacheBlocks:        1024,
		ChecksFence:        d.size.ChecksFence,
		WeightStore:        weightStoreAddress,
		RestartTime:        d.size.RestartTime,
		ReportLag:          d.size.ReportLag,
		EventLag:           d.size.ReportLag,
		LostEventsPerMille: 20,
		Seed:               d.size.Seed + uint64(number),
	})
	target, err := startOnLoopback(server.Start)
	if err != nil {
		return err
	}
	d.engines = append(d.engines, server)
	checksFence := "no"
	if d.size.ChecksFence {
		checksFence = "yes"
	}
	section := fmt.Sprintf("[sidecar]\nkind = model\ntarget = %s\nmemory-mib = %d\nkv-reserve-mib = %d\nslots = %d\ntarget-checks-fence = %s\norder-lifetime = %s\ngrace = %s\n",
		target, acceleratorMiB, kvReserveMiB, d.size.Slots, checksFence, d.size.OrderLifetime, d.size.Grace) + d.size.Policy.Sidecar
	return d.StartSidecar(fmt.Sprintf("model-%02d", number), d.size.Zone(number), vmlist.VM{Role: vmlist.RoleModel}, section)
}

// startLedger starts a replica of the ledger service and its sidecar.
func (d *Deployment) startLedger(number int) error {
	server := ledger.New(d.ledgerCounts, d.size.Seed+uint64(number))
	target, err := startOnLoopback(server.Start)
	if err != nil {
		return err
	}
	d.ledgers = append(d.ledgers, server)
	section := fmt.Sprintf("[sidecar]\nkind = service\nservice = ledger\ntarget = %s\ngrace = %s\n", target, d.size.Grace)
	vm := vmlist.VM{Role: vmlist.RoleService, Service: "ledger"}
	return d.StartSidecar(fmt.Sprintf("ledger-%02d", number), d.size.Zone(number), vm, section)
}

// StartSidecar adds the VM of a sidecar to the VM lists and starts the sidecar. The section is the text of the section
// [sidecar] of its settings; name, address and availability zone of vm are filled in.
func (d *Deployment) StartSidecar(name, zone string, vm vmlist.VM, section string) error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	config, err := settings.New(name, []byte(d.commonSettings(name, zone, address)+section))
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

// runSidecar starts a sidecar with the given settings, without a change of the VM lists.
func (d *Deployment) runSidecar(config *settings.Config) (*Role, error) {
	s, err := sidecar.New(config, d.roleLog(config.Node.Name, config.Node.AvailabilityZone))
	if err != nil {
		return nil, err
	}
	role := d.startRole(config.Node.Name, "", s.Node(), s.Run)
	role.config = config
	return role, nil
}

// startEntries starts the entries, the first of which listens on listen if that is not empty.
func (d *Deployment) startEntries(listen string) error {
	for i := range d.size.Entries {
		if err := d.startEntry(i, listen); err != nil {
			return err
		}
		listen = ""
	}
	return nil
}

// startEntry adds the VM of an entry to the VM lists and starts the entry, on a free port if listen is empty.
func (d *Deployment) startEntry(number int, listen string) error {
	name, zone := fmt.Sprintf("entry-%02d", number), d.size.Zone(number)
	peerAddress, err := FreeAddress()
	if err != nil {
		return err
	}
	if listen == "" {
		if listen, err = FreeAddress(); err != nil {
			return err
		}
	}
	text := d.commonSettings(name, zone, peerAddress) + fmt.Sprintf("[entry]\nlisten = %s\ngrace = %s\n", listen, d.size.Grace) + d.size.Policy.Entry
	config, err := settings.New(name, []byte(text))
	if err != nil {
		return err
	}
	e, err := entry.New(config, d.roleLog(name, zone))
	if err != nil {
		return err
	}
	if err := d.PutVM(vmlist.VM{Name: name, Address: peerAddress, AvailabilityZone: zone, Role: vmlist.RoleEntry}); err != nil {
		return err
	}
	d.entries = append(d.entries, d.startRole(name, listen, e.Node(), e.Run))
	return nil
}

// startRole runs a role until it is stopped or the deployment is closed. An error of the role cancels the whole
// deployment.
func (d *Deployment) startRole(name, listen string, n *node.Node, run func(context.Context) error) *Role {
	ctx, cancel := context.WithCancel(d.ctx)
	role := &Role{Name: name, CallerAddress: listen, Node: n, cancel: cancel, exited: make(chan error, 1)}
	d.roles.Go(func() error {
		err := run(ctx)
		role.exited <- err
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		return nil
	})
	return role
}

// applyInitialLists applies the allowances and plans of the size as an operator does. It first waits until the VM list
// shows the nodes to the operator.
func (d *Deployment) applyInitialLists() error {
	o, err := d.Operator()
	if err != nil {
		return err
	}
	defer o.Close()
	ctx, cancel := context.WithTimeout(d.ctx, 20*time.Second)
	defer cancel()
	time.Sleep(d.size.ListLag)
	if _, err := o.Apply(ctx, operator.Allowances, []byte(d.size.Allowances()), 0); err != nil {
		return fmt.Errorf("apply initial allowances: %w", err)
	}
	if _, err := o.Apply(ctx, operator.Plans, []byte(d.size.Plans()), 0); err != nil {
		return fmt.Errorf("apply initial plans: %w", err)
	}
	return nil
}

// commonSettings returns the text of the settings sections [node] and [platform], which all roles have.
func (d *Deployment) commonSettings(name, zone, listen string) string {
	return strings.Join([]string{
		"[node]",
		"name = " + name,
		"availability-zone = " + zone,
		"listen = " + listen,
		"secret = " + Secret,
		"[platform]",
		"table = " + d.tableAddress,
		"vm-list = " + d.vmListAddresses[zone],
		"poll-interval = " + d.size.PollInterval.String(),
		"",
	}, "\n")
}

// roleLog returns the log of a role, with its name and availability zone in each line.
func (d *Deployment) roleLog(name, zone string) *logrus.Entry {
	return d.log.WithFields(logrus.Fields{"node": name, "availability-zone": zone})
}

// startOnLoopback passes a listener on a free loopback port to start and returns its address.
func startOnLoopback(start func(net.Listener) <-chan error) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for a stand-in: %w", err)
	}
	start(listener)
	return listener.Addr().String(), nil
}
