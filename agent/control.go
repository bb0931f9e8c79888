package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/occupancy"
	"gypsumbank/platform"
	"gypsumbank/route"
	"gypsumbank/weightstore"
)

// control runs all decisions of the agent.
func (a *Agent) control(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case fence := <-a.fences:
			a.fence = fence
		case table := <-a.tables:
			a.adopt(table)
			a.observe(ctx)
			a.order(ctx)
		case former := <-a.held.Previous():
			a.former = former
			a.restore()
			a.order(ctx)
		case want := <-a.wants:
			a.occupancy.Add(want, time.Now())
			a.order(ctx)
		case <-timer.C:
			a.observe(ctx)
			a.order(ctx)
		}
		timer.Reset(a.pause())
	}
}

func (a *Agent) pause() time.Duration {
	switch {
	case a.report.Busy || a.occupancy.Loading() != "":
		return loadInterval
	case a.occupancy.OpenRequests() > 0:
		return orderInterval
	}
	return restInterval
}

func (a *Agent) adopt(table *route.Table) {
	a.table = table
	if s, ok := table.Service(a.service); ok {
		a.occupancy.SetEngine(s.Engine)
	}
}

// observe reads the engine's report and tells it to the gateways.
func (a *Agent) observe(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := a.engine.Report(call, a.config.Agent.Target)
	if err != nil {
		if !a.down {
			a.log.WithError(err).Info("engine does not answer")
		}
		a.down = true
		return
	}
	if a.down {
		a.log.Info("engine answers again")
		a.down = false
	}
	if report.Born != a.report.Born {
		a.log.WithFields(logrus.Fields{"born": report.Born, "sequence": report.Sequence}).Info("engine has started")
		a.occupancy.Reset()
		a.unanswered, a.targetID = nil, ""
		if len(a.report.Models) > 0 {
			a.former = a.inventory()
		}
	}
	a.report, a.reportAt = report, time.Now()
	a.identify(ctx)
	uses := a.watchers.uses()
	a.measureUse(uses, a.reportAt)
	a.occupancy.SetActiveRequests(uses, a.reportAt)
	a.occupancy.Observe(report, a.reportAt)
	a.restore()
	a.record()
	if a.targetID != "" {
		a.watchers.publish(a.state())
	}
}

// identify asks a run of the engine for its id once.
func (a *Agent) identify(ctx context.Context) {
	if a.targetID != "" || a.table == nil || time.Now().Before(a.identifyAt) {
		return
	}
	s, ok := a.table.Service(a.service)
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	id, err := a.engine.TargetID(call, a.config.Agent.Target, s.HealthPath)
	if err != nil {
		a.identifyAt = time.Now().Add(identifyPause)
		a.log.WithError(err).Info("engine not identified")
		return
	}
	a.targetID = id
	a.log.WithField("target", id).Info("engine identified")
}

// order sends the next order, if there is one to send.
func (a *Agent) order(ctx context.Context) {
	a.occupancy.SetActiveRequests(a.watchers.uses(), time.Now())
	for a.fence != 0 && !a.down && a.targetID != "" && !a.report.Draining {
		if a.unanswered != nil {
			if !a.send(ctx, *a.unanswered) {
				return
			}
			continue
		}
		step, ok := a.occupancy.Next(time.Now())
		if !ok {
			return
		}
		if step.FromStore {
			if err := a.takeLoad(ctx); err != nil {
				a.occupancy.FailModel(step.Model, err)
				continue
			}
		}
		order := platform.Order{
			Unload: step.Unload, Model: step.Model, Adapter: step.Adapter,
			ExpectedSequence: a.report.Sequence, Holder: a.config.Node.Name, Fence: a.fence, TargetID: a.targetID,
		}
		if !a.send(ctx, order) {
			return
		}
		a.occupancy.MarkAccepted(step)
		a.observe(ctx)
	}
}

// send sends an order and reports whether the engine carries it out. An order without an answer is sent again until it
// has one: with the same expected sequence it is carried out once at most.
func (a *Agent) send(ctx context.Context, order platform.Order) bool {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	begun := time.Now()
	result, err := a.engine.Order(call, a.config.Agent.Target, order)
	log := a.log.WithFields(logrus.Fields{
		"unload": order.Unload, "model": order.Model, "adapter": order.Adapter, "sequence": order.ExpectedSequence,
		"report-age-ms": begun.Sub(a.reportAt).Milliseconds(), "took-ms": time.Since(begun).Milliseconds(),
	})
	a.unanswered = nil
	metrics.GetOrCreateCounter(`gypsumbank_agent_orders_total{result="` + result.String() + `"}`).Inc()
	switch result {
	case platform.OrderAccepted, platform.OrderAlreadyDone:
		log.Info("order accepted")
		return true
	case platform.OrderUnknown:
		log.WithError(err).Info("order has no answer")
		a.unanswered = &order
		a.observe(ctx)
		if a.report.Sequence > order.ExpectedSequence {
			a.unanswered = nil
		}
	case platform.OrderBusy:
		log.Info("engine is busy")
	case platform.OrderRefused, platform.OrderMisdirected:
		log.WithError(err).Warn("order refused")
	}
	return false
}

// takeLoad takes a load from the budget of the weight store; the error is a noBudgetError if none may begin now, so that
// the engine is free for what it has at hand.
func (a *Agent) takeLoad(ctx context.Context) error {
	now := time.Now()
	s, ok := a.table.Service(a.service)
	if !ok || s.Engine == nil {
		return &noBudgetError{wait: budgetPause}
	}
	if now.Before(a.budgetAt) {
		return &noBudgetError{wait: a.budgetAt.Sub(now)}
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	limit := loadLimit(s.Engine, a.config.Bounds.LoadWindow, a.config.Bounds.LoadBurst)
	err := a.budget.Take(call, limit)
	for try := 1; try < budgetTries && errors.Is(err, platform.ErrConflict); try++ {
		err = a.budget.Take(call, limit) // another agent took a load at the same moment
	}
	if err == nil && time.Since(now) <= storeTimeout/2 {
		return nil
	}
	wait := budgetPause
	var exhausted *weightstore.ExhaustedError
	if errors.As(err, &exhausted) {
		wait = exhausted.Wait
	}
	a.budgetAt = time.Now().Add(wait)
	a.log.WithError(err).WithFields(logrus.Fields{"rate": s.Engine.StoreLoadsPerSecond, "wait-ms": wait.Milliseconds()}).
		Info("no load from the weight store now")
	return &noBudgetError{wait: wait}
}

// noBudgetError reports that no load from the weight store may begin for a time.
type noBudgetError struct{ wait time.Duration }

// Error returns the time to wait.
func (e *noBudgetError) Error() string {
	return fmt.Sprintf("no load from the weight store for %s", e.wait.Round(time.Millisecond))
}

// loadLimit returns a limit under which no window sees more loads than the platform allows, with one load to spare.
func loadLimit(engine *route.Engine, window time.Duration, burst float64) weightstore.Limit {
	const fixedExtra = 2 // the platform allows 3 beyond the burst
	beyond := engine.StoreLoadsPerSecond*window.Seconds()*(burst-1) + fixedExtra
	return weightstore.Limit{LoadsPerSecond: engine.StoreLoadsPerSecond, Burst: max(1, beyond)}
}

// ensure hands a want to control and returns when it is met.
func (a *Agent) ensure(ctx context.Context, model, adapter, evict string) error {
	done := make(chan error, 1)
	expires := time.Now().Add(wantLifetime)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(expires) {
		expires = deadline
	}
	want := &occupancy.LoadRequest{Model: model, Adapter: adapter, Evict: evict, Expires: expires, Done: func(err error) { done <- err }}
	if adapter != "" {
		want.Expires = time.Now().Add(adapterLifetime)
	}
	select {
	case a.wants <- want:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

const (
	// wantLifetime bounds a load of a model: the runs of the model that makes way, then the load.
	wantLifetime = 15 * time.Second
	// adapterLifetime bounds the load of an adapter.
	adapterLifetime = time.Second
)
