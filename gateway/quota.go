package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/dialer"
	"gypsumbank/dispatch"
	"gypsumbank/platform"
	"gypsumbank/quota"
	"gypsumbank/request"
	"gypsumbank/route"
	"gypsumbank/settings"
	"gypsumbank/wire"
)

const (
	// quotaTickInterval is the interval at which unused grants are returned, and a freeze of this process is noticed by its being
	// longer than maxQuotaTickGap.
	quotaTickInterval = 100 * time.Millisecond
	maxQuotaTickGap   = 2 * time.Second
	// maxQuotaLabels bounds the customers that metrics name; all others are counted as quotaOtherLabel.
	maxQuotaLabels  = 64
	quotaOtherLabel = "other"
)

// quotas holds this gateway's accounts of customers' quotas and calls the agents that keep them.
type quotas struct {
	node   string
	bounds quota.Bounds
	dialer *dialer.Dialer
	log    *logrus.Entry

	mu       sync.Mutex
	views    quota.Views
	accounts map[string]*quotaAccount
	labels   map[string]string // of metrics, by customer
	tickedAt time.Time
}

// quotaAccount is the account of one customer with the requests that wait.
type quotaAccount struct {
	*quota.Account
	name     string
	waiters  map[*quota.Request]chan struct{} // closed once the request is decided
	keepers  []quota.KeeperSince
	revision int // of the views that the keepers are from
}

// quotaCharge is the cost of a request, charged to its customer's quota. The nil charge is of a customer without one.
type quotaCharge struct {
	quotas  *quotas
	account *quotaAccount
	request *quota.Request
}

func newQuotas(config *settings.Config, d *dialer.Dialer, log *logrus.Entry) *quotas {
	return &quotas{
		node:   config.Node.Name,
		bounds: quota.Bounds{Window: config.Bounds.QuotaWindow, Overage: config.Bounds.QuotaOverage, Slack: config.Bounds.QuotaSlack},
		dialer: d, log: log, accounts: map[string]*quotaAccount{}, labels: map[string]string{}, tickedAt: time.Now(),
	}
}

// setAgents records the addresses of the agents that are known now.
func (q *quotas) setAgents(addresses []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.tick(now)
	q.views.Update(addresses, now)
}

// chargeQuota charges a request to the quota of its customer. If the quota has no room for it, chargeQuota refuses it and returns false.
func (g *Gateway) chargeQuota(w http.ResponseWriter, r *http.Request, req *request.Request, table *route.Table) (*quotaCharge, bool) {
	customer, ok := table.Customer(req.Customer)
	if !ok || !customer.Quota.IsLimited() {
		return nil, true
	}
	cost := customer.Quota.Cost(req.PromptTokens, req.MaxOutputTokens, platform.NamesTokens(r))
	charge, ok := g.quotas.charge(req.ID, customer, table.Version(), cost)
	if !ok {
		reason, retryAfter := charge.refusal()
		g.refuse(w, r, req.ID, reason, http.StatusTooManyRequests, retryAfter)
	}
	return charge, ok
}

// charge charges a request to its customer's quota of the given version of the routes. It waits for the agents that keep the quota if what
// they have granted does not cover the cost, at most quota.AskTimeout and the time of one call.
func (q *quotas) charge(requestID string, customer *route.Customer, version int64, cost float64) (charge *quotaCharge, ok bool) {
	q.mu.Lock()
	now := time.Now()
	q.tick(now)
	account := q.account(customer, version)
	request := account.Begin(cost, now)
	q.advance(account, now)
	if request.State == quota.Waiting {
		decided := make(chan struct{})
		account.waiters[request] = decided
		q.mu.Unlock()
		<-decided
		q.mu.Lock()
	}
	q.mu.Unlock()
	if request.State == quota.Admitted {
		q.count(customer.Name, "spent", cost)
		return &quotaCharge{quotas: q, account: account, request: request}, true
	}
	q.count(customer.Name, "refused", cost)
	q.log.WithFields(logrus.Fields{
		"request": requestID, "customer": customer.Name, "cost": cost, "state": request.State.String(), "balance": request.Balance,
		"asked": request.Asked, "answer-age-ms": request.AnswerAge.Milliseconds(), "retry-after-ms": request.RetryAfter.Milliseconds(),
		"per-second": customer.Quota.PerSecond, "burst": customer.Quota.Burst, "version": version,
	}).Info("quota exceeded")
	return &quotaCharge{quotas: q, account: account, request: request}, false
}

// outlook returns what is expected of a request of a customer with a cost, and the version of the routes that its limit is from; ok is
// false if this gateway has had no request of the customer lately. It asks nobody and changes nothing.
func (q *quotas) outlook(customerName string, cost float64, now time.Time) (outlook quota.Outlook, version int64, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	account := q.accounts[customerName]
	if account == nil {
		return quota.Outlook{}, 0, false
	}
	return account.Outlook(cost, now), account.Version(), true
}

// refund takes back the cost of a request that has not run.
func (c *quotaCharge) refund() {
	if c == nil {
		return
	}
	c.quotas.mu.Lock()
	c.account.Refund(c.request, time.Now())
	c.quotas.mu.Unlock()
	c.quotas.count(c.account.name, "returned", c.request.Cost)
}

// refusal returns the reason and the time to wait of a request that was not admitted.
func (c *quotaCharge) refusal() (dispatch.Reason, time.Duration) {
	if c.request.State == quota.Unreachable {
		return dispatch.QuotaUnknown, c.request.RetryAfter
	}
	return dispatch.QuotaExceeded, c.request.RetryAfter
}

// run returns unused grants, until ctx ends.
func (q *quotas) run(ctx context.Context) error {
	ticker := time.NewTicker(quotaTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		q.mu.Lock()
		now := time.Now()
		q.tick(now)
		for name, account := range q.accounts {
			for _, ask := range account.Returns(now) {
				go q.giveBack(ctx, ask)
			}
			if account.IsIdle(now) {
				delete(q.accounts, name)
			}
		}
		q.mu.Unlock()
	}
}

// giveBack makes a call that only returns what was not used. If it fails, the keeper counts that as used.
func (q *quotas) giveBack(ctx context.Context, ask quota.Ask) {
	if _, err := q.call(ctx, ask); err != nil {
		q.log.WithError(err).WithFields(logrus.Fields{"customer": ask.Reservation.Customer, "agent": ask.Keeper, "returned": ask.Reservation.Returned}).
			Debug("agent did not take back a part of a quota")
	}
}

// tick notices a freeze of this process, in which it may have missed changes of the agents. The caller holds the lock.
func (q *quotas) tick(now time.Time) {
	if gap := now.Sub(q.tickedAt); gap > maxQuotaTickGap {
		q.views.Restart(now)
		q.log.WithField("gap-ms", gap.Milliseconds()).Info("process was not scheduled, keepers of quotas are taken as new")
	}
	q.tickedAt = now
}

// account returns the account of a customer with the limit and the keepers in force; the caller holds the lock.
func (q *quotas) account(customer *route.Customer, version int64) *quotaAccount {
	account := q.accounts[customer.Name]
	if account == nil {
		account = &quotaAccount{
			Account: quota.NewAccount(customer.Name, q.bounds), name: customer.Name,
			waiters: map[*quota.Request]chan struct{}{}, revision: -1,
		}
		q.accounts[customer.Name] = account
	}
	if account.revision != q.views.Revision() {
		account.keepers, account.revision = q.views.Keepers(customer.Name), q.views.Revision()
	}
	if version >= account.Version() { // a request may have been matched before newer routes came
		account.SetLimit(quota.NewLimit(version, customer.Quota, len(account.keepers)), account.keepers)
	}
	return account
}

// advance starts the call that the account wants to make, if any, and wakes the requests that are decided; the caller holds the lock.
func (q *quotas) advance(account *quotaAccount, now time.Time) {
	if ask, ok := account.Next(now); ok {
		go func() {
			reply, err := q.call(context.Background(), ask)
			q.mu.Lock()
			defer q.mu.Unlock()
			now := time.Now()
			if err != nil {
				q.log.WithError(err).WithFields(logrus.Fields{"customer": account.name, "agent": ask.Keeper, "amount": ask.Reservation.Amount}).
					Info("agent did not answer for a quota")
				account.Failed(ask, now)
			} else {
				account.Done(ask, reply, now)
			}
			q.advance(account, now)
		}()
	}
	for _, request := range account.TakeDecided() {
		if decided, ok := account.waiters[request]; ok {
			close(decided)
			delete(account.waiters, request)
		}
	}
}

// call asks a keeper.
func (q *quotas) call(ctx context.Context, ask quota.Ask) (quota.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, ask.Timeout)
	defer cancel()
	in := ask.Reservation
	conn := q.dialer.Conn(ctx, ask.Keeper)
	defer conn.Close()
	reply, err := wire.NewDRPCAgentClient(conn).Reserve(ctx, &wire.ReserveRequest{
		Node: q.node, Customer: in.Customer, RoutesVersion: in.Limit.Version, PerSecond: in.Limit.PerSecond, Burst: in.Limit.Burst,
		Keepers: uint32(in.Limit.Keepers), CountsTokens: in.Limit.CountsTokens, Amount: in.Amount, Minimum: in.Minimum,
		Returned: in.Returned, ReturnedAgeMs: uint32(in.ReturnedAge.Milliseconds()) + 1, KeeperForMs: uint64(in.KeeperFor.Milliseconds()), OtherKeepers: in.Beside,
	})
	metrics.GetOrCreateCounter(`gypsumbank_gateway_quota_calls_total`).Inc()
	if err != nil {
		q.dialer.CloseIdle(ask.Keeper)
		return quota.Reply{}, err
	}
	q.count(in.Customer, "granted", reply.GetGranted())
	q.count(in.Customer, "returned", in.Returned)
	return quota.Reply{
		Granted: reply.GetGranted(), Lifetime: time.Duration(reply.GetLifetimeMs()) * time.Millisecond,
		Wait: time.Duration(reply.GetWaitMs()) * time.Millisecond, Left: reply.GetLeft(),
	}, nil
}

// count adds to a metric of a customer.
func (q *quotas) count(customer, what string, amount float64) {
	if amount > 0 {
		metrics.GetOrCreateFloatCounter(`gypsumbank_gateway_quota_total{customer=` + q.label(customer) + `,use="` + what + `"}`).Add(amount)
	}
}

// label returns the label by which metrics name a customer.
func (q *quotas) label(customer string) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	label, ok := q.labels[customer]
	if !ok && len(q.labels) < maxQuotaLabels {
		label, ok = strconv.Quote(customer), true
		q.labels[customer] = label
	}
	if !ok {
		return strconv.Quote(quotaOtherLabel)
	}
	return label
}
