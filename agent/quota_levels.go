package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"gypsumbank/epoch"
	"gypsumbank/platform"
	"gypsumbank/quota"
	"gypsumbank/quotalevels"
	"gypsumbank/registry"
)

const (
	// quotaLevelsTable is the table of the store with a row for each customer with a quota.
	quotaLevelsTable = "quota-levels"
	// quotaLevelsRetry is the time until a row is tried again after a failed call, and minQuotaLevelsConflictDelay the least time after a conflict:
	// a customer's three keepers start at the same time.
	quotaLevelsRetry            = time.Second
	minQuotaLevelsConflictDelay = 5 * time.Millisecond
	quotaLevelsConflictSpread   = 30 * time.Millisecond
	// maxQuotaLevelWrites bounds the rows that are stored at the same time.
	maxQuotaLevelWrites = 16
)

// quotaRows stores the rows that the keeper of quotas wants to be stored.
type quotaRows struct {
	keeper  *quotaKeeper
	store   *platform.Store
	epochs  *epoch.Tracker
	address string // by which this agent's claims are found again after a restart
	log     *logrus.Entry
}

// run stores rows until ctx ends. Requests do not wait for it.
func (r *quotaRows) run(ctx context.Context) error {
	var writes errgroup.Group
	writes.SetLimit(maxQuotaLevelWrites)
	_, restored := r.epochs.Current()
	for {
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), writes.Wait())
		case <-r.keeper.changesDue:
			for _, change := range r.keeper.changes() {
				writes.Go(func() error {
					r.apply(ctx, change)
					return nil
				})
			}
		case <-restored:
			_, restored = r.epochs.Current()
			r.keeper.reconfirm(maxRewriteDelay)
		}
	}
}

// apply stores one change and reports the outcome to the keeper.
func (r *quotaRows) apply(ctx context.Context, change quota.Change) {
	begun := time.Now()
	log := r.log.WithFields(logrus.Fields{"customer": change.Customer, "starts": change.Start})
	outcome, written, err := r.write(ctx, change)
	metrics.GetOrCreateCounter(`gypsumbank_agent_quota_level_writes_total{result="` + writeResult(written, err) + `"}`).Inc()
	switch {
	case err == nil:
		r.keeper.stored(change, outcome, begun)
		if change.Start || change.Moves() {
			log.WithFields(logrus.Fields{
				"share": outcome.Level.Share(), "at-once": outcome.Shares, "took-ms": time.Since(begun).Milliseconds(),
			}).Info("quota level stored")
		}
	case errors.Is(err, platform.ErrConflict):
		r.keeper.failed(change, minQuotaLevelsConflictDelay+rand.N(quotaLevelsConflictSpread))
	case errors.Is(err, quotalevels.ErrUnsettled):
		log.WithError(err).Info("quota level stays at the lowest for now")
		r.keeper.failed(change, change.UnsettledRetry())
	default:
		log.WithError(err).Info("quota level not stored, will retry")
		r.keeper.failed(change, quotaLevelsRetry)
	}
}

// writeResult returns the name by which metrics have the outcome of a write.
func writeResult(written bool, err error) string {
	switch {
	case err == nil && !written:
		return "confirmed"
	case err == nil:
		return "stored"
	case errors.Is(err, platform.ErrConflict):
		return "conflict"
	case errors.Is(err, quotalevels.ErrUnsettled):
		return "unsettled"
	}
	return "failed"
}

// write reads a customer's row and writes it with a change, if nobody else has written it meanwhile. It is not written if it has all of the
// change already.
func (r *quotaRows) write(ctx context.Context, change quota.Change) (outcome quotalevels.Outcome, written bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.store.CallTime(storeTimeout))
	defer cancel()
	row, nowMs, err := r.store.Row(ctx, quotaLevelsTable, "", change.Customer)
	record := quotalevels.New(row.Epoch)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		row = platform.Row{Table: quotaLevelsTable, Key: change.Customer, Epoch: row.Epoch}
	case err != nil:
		return quotalevels.Outcome{}, false, fmt.Errorf("read quota levels: %w", err)
	default:
		if record, err = quotalevels.Decode(row.Value, row.Epoch, nowMs); err != nil {
			r.log.WithError(err).WithField("customer", change.Customer).Warn("stored quota levels are replaced")
		}
	}
	update := change.Update(r.address, time.Now())
	update.Beside = claimsOf(record, change.Beside)
	if record.Confirms(update, nowMs) {
		return quotalevels.Outcome{Level: update.Level, Counts: true}, false, nil
	}
	next, outcome, err := record.Apply(update, nowMs)
	if err != nil && !record.FromEarlierEpoch() {
		return quotalevels.Outcome{}, false, fmt.Errorf("take over part of a quota: %w", err)
	}
	var encodeErr error
	if row.Value, encodeErr = next.Encode(); encodeErr != nil {
		return quotalevels.Outcome{}, false, fmt.Errorf("encode quota levels: %w", encodeErr)
	}
	r.keeper.lower(change)
	if _, err := r.store.CompareAndSwap(ctx, row); err != nil {
		return quotalevels.Outcome{}, false, fmt.Errorf("write quota levels: %w", err)
	}
	return outcome, true, err
}

// claimsOf returns the addresses that the claims of agents have, which are those of their targets: gateways name agents by their own addresses, on
// the same hosts. A host with several claims has none of them, as it is not known which one is meant.
func claimsOf(record quotalevels.Record, agents []string) []string {
	byHost := map[string][]string{}
	for address := range record.Claims {
		host := registry.Host(address)
		byHost[host] = append(byHost[host], address)
	}
	var claims []string
	for _, agent := range agents {
		if found := byHost[registry.Host(agent)]; len(found) == 1 && registry.Host(agent) != "" {
			claims = append(claims, found[0])
		}
	}
	return claims
}
