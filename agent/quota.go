package agent

import (
	"context"
	"sync"
	"time"

	"gypsumbank/quota"
	"gypsumbank/settings"
	"gypsumbank/wire"
)

// quotaTickInterval is the interval at which the keeper of quotas is told that the process runs.
const quotaTickInterval = 100 * time.Millisecond

// quotaKeeper grants gateways parts of customers' quotas. Its methods are safe for concurrent use.
type quotaKeeper struct {
	mu     sync.Mutex
	keeper *quota.Keeper
}

func newQuotaKeeper(bounds settings.Bounds) *quotaKeeper {
	return &quotaKeeper{keeper: quota.NewKeeper(quota.Bounds{Window: bounds.QuotaWindow, Overage: bounds.QuotaOverage, Slack: bounds.QuotaSlack}, time.Now())}
}

// run tells the keeper that the process runs, until ctx ends.
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
	}
}

// reserve grants a part of a customer's quota.
func (q *quotaKeeper) reserve(in quota.Reservation) quota.Reply {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.keeper.Reserve(in, time.Now())
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
		KeeperFor: time.Duration(in.GetKeeperForMs()) * time.Millisecond,
	})
	return &wire.ReserveReply{
		Granted: reply.Granted, LifetimeMs: uint32(reply.Lifetime.Milliseconds()), WaitMs: uint32(reply.Wait.Milliseconds()), Left: reply.Left,
	}, nil
}
