package gateway

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/dialer"
	"gypsumbank/dispatch"
	"gypsumbank/fleet"
	"gypsumbank/target"
	"gypsumbank/wire"
)

const (
	// silenceTimeout is above the agents' heartbeat of 500 ms by two lost packets.
	silenceTimeout = 1500 * time.Millisecond
	reconnectPause = 300 * time.Millisecond
)

// agents is the client of the agents beside the engines.
type agents struct {
	name   string
	port   string
	dialer *dialer.Dialer
	fleet  *fleet.Fleet
	log    *logrus.Entry

	mu      sync.Mutex
	watched map[string]context.CancelFunc
	ended   sync.WaitGroup
}

func newAgents(name string, port int, d *dialer.Dialer, f *fleet.Fleet, log *logrus.Entry) *agents {
	return &agents{name: name, port: strconv.Itoa(port), dialer: d, fleet: f, log: log, watched: map[string]context.CancelFunc{}}
}

// address returns the address of the agent beside the target at an address.
func (a *agents) address(target string) string {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, a.port)
}

// follow watches the agents at the given addresses and no others.
func (a *agents) follow(addresses map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for address, stop := range a.watched {
		if !addresses[address] {
			stop()
			delete(a.watched, address)
		}
	}
	for address := range addresses {
		if _, ok := a.watched[address]; ok {
			continue
		}
		ctx, stop := context.WithCancel(context.Background())
		a.watched[address] = stop
		a.ended.Add(1)
		go func() {
			defer a.ended.Done()
			a.watch(ctx, address)
		}()
	}
}

func (a *agents) close() {
	a.follow(nil)
	a.ended.Wait()
}

// watch takes over the states that an agent sends until ctx ends.
func (a *agents) watch(ctx context.Context, address string) {
	lost := false
	for ctx.Err() == nil {
		err := a.watchOnce(ctx, address, func() {
			if lost {
				a.log.WithField("agent", address).Info("agent regained")
			}
			lost = false
		})
		if !lost && ctx.Err() == nil {
			a.log.WithError(err).WithField("agent", address).Info("agent lost")
		}
		lost = true
		sleep(ctx, reconnectPause)
	}
}

func (a *agents) watchOnce(ctx context.Context, address string, received func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := a.dialer.Fresh(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	silence := time.AfterFunc(silenceTimeout, func() { conn.Close() })
	defer silence.Stop()
	stream, err := wire.NewDRPCAgentClient(conn).Watch(ctx, &wire.WatchRequest{Node: a.name})
	if err != nil {
		return err
	}
	for {
		state, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(silenceTimeout)
		received()
		a.observe(state)
	}
}

func (a *agents) observe(state *wire.TargetState) {
	report := target.Report{
		Born: state.GetBorn(), Busy: state.GetBusy(), Sequence: state.GetSequence(),
		Waiting: int(state.GetWaiting()), Running: int(state.GetRunning()), KVUsed: int(state.GetKvUsed()), KVTotal: int(state.GetKvTotal()),
		Draining: state.GetDraining(), Remaining: time.Duration(state.GetRemainingMs()) * time.Millisecond,
		InMemory: state.GetInMemory(), OnDisk: state.GetOnDisk(),
	}
	for _, m := range state.GetModels() {
		report.Models = append(report.Models, target.Model{Name: m.GetName(), Adapters: m.GetAdapters()})
	}
	a.fleet.Observe(state.GetTargetId(), report, state.GetLoading(), int(state.GetWatchers()), time.Now())
}

// Ensure has the agent beside a target make it hold a model and adapter; errors wrap dispatch.ErrNotHeld.
func (a *agents) Ensure(ctx context.Context, to target.Target, requestID, model, adapter, evict string) error {
	address := a.address(to.Address)
	conn := a.dialer.Conn(ctx, address)
	defer conn.Close()
	reply, err := wire.NewDRPCAgentClient(conn).Ensure(ctx, &wire.EnsureRequest{RequestId: requestID, Model: model, Adapter: adapter, Evict: evict})
	if err != nil {
		a.dialer.Forget(address)
		return fmt.Errorf("%w: %w", dispatch.ErrNotHeld, err)
	}
	if reply.GetOutcome() != wire.EnsureOutcome_ENSURE_HELD {
		return fmt.Errorf("%w: %s", dispatch.ErrNotHeld, reply.GetDetail())
	}
	return nil
}
