package agent

import (
	"context"
	"sync"
	"time"

	"gypsumbank/quota"
	"gypsumbank/quotalevels"
	"gypsumbank/settings"
	"gypsumbank/wire"
)

// quotaTickInterval is the interval at which the keeper of quotas is told that the process runs.
const quotaTickInterval = 100 * time.Millisecond

// quotaKeeper grants gateways parts of customers' quotas. Its methods are safe for concurrent use.
type quotaKeeper struct {
	changesDue chan struct{} // holds a value once rows may have to be stored

	mu     sync.Mutex
	keeper *quota.Keeper
}

func newQuotaKeeper(bounds settings.Bounds) *quotaKeeper {
	limits := quota.Bounds{Window: bounds.QuotaWindow, Overage: bounds.QuotaOverage, Slack: bounds.QuotaSlack}
	return &quotaKeeper{changesDue: make(chan struct{}, 1), keeper: quota.NewStoringKeeper(limits, time.Now())}
}

// run tells the keeper that the process runs, and has its rows stored when they are due, until ctx ends.
func (q *quotaKeeper) run(ctx context.Context) error {
	ticker := time.NewTicker(quotaTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		q.mu.Lock()
		q.keeper.Tick(time.Now())
		q.mu.Unlock()
		q.notify()
	}
}

// notify has the rows stored that are due.
func (q *quotaKeeper) notify() {
	select {
	case q.changesDue <- struct{}{}:
	default:
	}
}

// changes returns what is to be stored now. Either stored or failed must be called for each change.
func (q *quotaKeeper) changes() []quota.Change {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.keeper.Changes(time.Now())
}

// lower takes a lower level into force before it is stored.
func (q *quotaKeeper) lower(change quota.Change) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.keeper.Lower(change)
}

func (q *quotaKeeper) stored(change quota.Change, outcome quotalevels.Outcome, begun time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.keeper.Stored(change, outcome, begun, time.Now())
}

func (q *quotaKeeper) failed(change quota.Change, retry time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.keeper.Failed(change, retry, time.Now())
}

// reconfirm has all rows written again within a time.
func (q *quotaKeeper) reconfirm(within time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.keeper.Reconfirm(within, time.Now())
}

// reserve grants a part of a customer's quota.
func (q *quotaKeeper) reserve(in quota.Reservation) quota.Reply {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	reply := q.keeper.Reserve(in, now)
	if q.keeper.IsDue(in.Customer, now) {
		q.notify()
	}
	return reply
}

// Reserve grants a gateway a part of a customer's quota.
func (s *agentServer) Reserve(_ context.Context, in *wire.ReserveRequest) (*wire.ReserveReply, error) {
	reply := s.agent.quotas.reserve(quota.Reservation{
		Customer: in.GetCustomer(),
		Limit: quota.Limit{
			Version: in.GetRoutesVersion(), PerSecond: in.GetPerSecond(), Burst: in.GetBurst(),
			CountsTokens: in.GetCountsTokens(), Keepers: int(in.GetKeepers()),
		},
		Amount: in.GetAmount(), Minimum: in.GetMinimum(),
		Returned: in.GetReturned(), ReturnedAge: time.Duration(in.GetReturnedAgeMs()) * time.Millisecond,
		KeeperFor: time.Duration(in.GetKeeperForMs()) * time.Millisecond, Beside: in.GetOtherKeepers(),
	})
	return &wire.ReserveReply{
		Granted: reply.Granted, LifetimeMs: uint32(reply.Lifetime.Milliseconds()), WaitMs: uint32(reply.Wait.Milliseconds()), Left: reply.Left,
	}, nil
}
