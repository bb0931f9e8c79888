package agent

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/occupancy"
	"gypsumbank/platform"
	"gypsumbank/route"
	"gypsumbank/weightstore"
	"gypsumbank/wire"
)

// controlLoop handles new routes, load requests, models to restore and the fencing token, and polls the engine at the
// interval that reportInterval returns. All orders are decided and sent in its goroutine.
func (a *Agent) controlLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case token := <-a.fencingTokens:
			a.fencingToken = token
		case table := <-a.routingTables:
			a.applyRoutes(table)
			a.pollEngine(ctx)
			a.sendOrders(ctx)
		case models := <-a.modelInventory.Previous():
			a.modelsToRestore = models
			a.restoreModels()
			a.sendOrders(ctx)
		case request := <-a.loadRequests:
			a.occupancy.Add(request, time.Now())
			a.sendOrders(ctx)
		case <-timer.C:
			a.pollEngine(ctx)
			a.sendOrders(ctx)
		}
		timer.Reset(a.reportInterval())
	}
}

// reportInterval returns the time until the next read of the engine's report.
func (a *Agent) reportInterval() time.Duration {
	switch {
	case a.lastReport.Busy || a.occupancy.Loading() != "":
		return modelReportInterval
	case a.occupancy.OpenRequests() > 0:
		return adapterReportInterval
	}
	return idleReportInterval
}

// applyRoutes replaces the routing table, and with it the limits of the engine and the sizes of its models.
func (a *Agent) applyRoutes(table *route.Table) {
	a.routingTable = table
	if s, ok := table.Service(a.serviceName); ok {
		a.occupancy.SetEngine(s.Engine)
	}
}

// pollEngine reads the engine's report, updates the agent's state from it and publishes it to the gateways. An engine that wants no
// calls is not asked; gateways are told that nothing new is known.
func (a *Agent) pollEngine(ctx context.Context) {
	if a.engineRests() {
		a.silentSince = time.Time{}
		a.watchers.publishDown(a.downState(nil))
		return
	}
	report, err := a.readReport(ctx)
	if err != nil {
		a.recordRest(err)
		if !a.engineDown {
			a.log.WithError(err).Info("engine does not answer")
		}
		a.engineDown = true
		a.watchers.publishDown(a.downState(a.endedRun(err)))
		return
	}
	if a.engineDown {
		a.log.Info("engine answers again")
		a.engineDown = false
	}
	if report.Born != a.lastReport.Born {
		a.log.WithFields(logrus.Fields{"born": report.Born, "sequence": report.Sequence}).Info("engine has started")
		a.occupancy.Reset()
		a.unansweredOrder, a.targetID = nil, ""
		if len(a.lastReport.Models) > 0 {
			a.modelsToRestore = a.reportedModels()
		}
	}
	a.lastReport, a.lastReportAt = report, time.Now()
	a.identifyEngine(ctx)
	requests := a.watchers.requestsByAdapter()
	a.updateAverageUse(requests, a.lastReportAt)
	a.occupancy.SetActiveRequests(requests, a.lastReportAt)
	a.occupancy.Observe(report, a.lastReportAt)
	a.restoreModels()
	a.recordModels()
	if a.targetID != "" {
		a.watchers.publish(a.targetState())
		a.logErrorRate()
	}
}

// engineRests reports whether the engine wants no calls now.
func (a *Agent) engineRests() bool { return time.Now().Before(a.restUntil) }

// recordRest records for how long the engine wants no calls, if the error of a call says so.
func (a *Agent) recordRest(err error) {
	var resting *platform.RestError
	if errors.As(err, &resting) {
		a.restUntil = time.Now().Add(min(resting.Wait, maxRest))
		a.log.WithField("rest-ms", resting.Wait.Milliseconds()).Info("engine asks for a rest")
	}
}

// endedRun returns the engine's last known run if, by the error of a poll, its process has ended.
func (a *Agent) endedRun(pollErr error) *wire.EndedRun {
	if !errors.Is(pollErr, syscall.ECONNREFUSED) || a.targetID == "" {
		return nil
	}
	return &wire.EndedRun{TargetId: a.targetID, Born: a.lastReport.Born}
}

// identifyEngine reads the id of the engine's current run, unless it is known already.
func (a *Agent) identifyEngine(ctx context.Context) {
	if a.targetID != "" || a.routingTable == nil || a.engineRests() || time.Now().Before(a.identifyAfter) {
		return
	}
	s, ok := a.routingTable.Service(a.serviceName)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	id, err := a.engine.TargetID(callCtx, a.config.Agent.Target, s.HealthPath)
	if err != nil {
		a.recordRest(err)
		a.identifyAfter = time.Now().Add(identifyRetryInterval)
		a.log.WithError(err).Info("engine id could not be read")
		return
	}
	a.targetID = id
	a.log.WithField("target", id).Info("engine identified")
}

// sendOrders sends orders one after the other until none is due or the engine does not accept one. It sends none without a
// fencing token, nor to an engine that is down, draining or not yet identified.
func (a *Agent) sendOrders(ctx context.Context) {
	a.occupancy.SetActiveRequests(a.watchers.requestsByAdapter(), time.Now())
	for a.fencingToken != 0 && !a.engineDown && !a.engineRests() && a.targetID != "" && !a.lastReport.Draining {
		if a.unansweredOrder != nil {
			if !a.sendOrder(ctx, *a.unansweredOrder) {
				return
			}
			continue
		}
		step, ok := a.occupancy.Next(time.Now())
		if !ok {
			return
		}
		if step.FromStore {
			if err := a.takeLoadFromBudget(ctx); err != nil {
				a.occupancy.FailModel(step.Model, err)
				continue
			}
		}
		order := platform.Order{
			Unload: step.Unload, Model: step.Model, Adapter: step.Adapter,
			ExpectedSequence: a.lastReport.Sequence, Holder: a.config.Node.Name, Fence: a.fencingToken, TargetID: a.targetID,
		}
		if !a.sendOrder(ctx, order) {
			return
		}
		a.occupancy.MarkAccepted(step)
		a.pollEngine(ctx)
	}
}

// sendOrder sends an order and reports whether the engine carries it out. An order without an answer is kept to be sent
// again: the engine carries it out at most once, as it accepts an order only at the sequence that the order expects.
func (a *Agent) sendOrder(ctx context.Context, order platform.Order) bool {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	started := time.Now()
	result, err := a.engine.Order(callCtx, a.config.Agent.Target, order)
	log := a.log.WithFields(logrus.Fields{
		"unload": order.Unload, "model": order.Model, "adapter": order.Adapter, "sequence": order.ExpectedSequence,
		"report-age-ms": started.Sub(a.lastReportAt).Milliseconds(), "took-ms": time.Since(started).Milliseconds(),
	})
	a.unansweredOrder = nil
	a.recordRest(err)
	metrics.GetOrCreateCounter(`gypsumbank_agent_orders_total{result="` + result.String() + `"}`).Inc()
	switch result {
	case platform.OrderAccepted, platform.OrderAlreadyDone:
		log.Info("order accepted")
		return true
	case platform.OrderUnknown:
		log.WithError(err).Info("order was not answered")
		a.unansweredOrder = &order
		a.pollEngine(ctx)
		if a.lastReport.Sequence > order.ExpectedSequence {
			a.unansweredOrder = nil
		}
	case platform.OrderBusy:
		log.Info("engine is busy")
	case platform.OrderRefused, platform.OrderMisdirected:
		log.WithError(err).Warn("order refused")
	}
	return false
}

// takeLoadFromBudget takes one load from the shared budget of the weight store. If none may begin now, it returns a
// noBudgetError at once instead of waiting, so that the engine stays free for loads from its disk or host memory. A grant
// that took more than half of storeTimeout is not used, as its load would begin long after the time it was counted at.
func (a *Agent) takeLoadFromBudget(ctx context.Context) error {
	now := time.Now()
	s, ok := a.routingTable.Service(a.serviceName)
	if !ok || s.Engine == nil {
		return &noBudgetError{wait: budgetRetryInterval}
	}
	if now.Before(a.budgetRetryAt) {
		return &noBudgetError{wait: a.budgetRetryAt.Sub(now)}
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	limit := storeLoadLimit(s.Engine, a.config.Bounds.LoadWindow, a.config.Bounds.LoadBurst)
	err := a.loadBudget.Take(callCtx, limit)
	for attempt := 1; attempt < budgetMaxAttempts && errors.Is(err, platform.ErrConflict); attempt++ {
		err = a.loadBudget.Take(callCtx, limit) // another agent took a load at the same time
	}
	if err == nil && time.Since(now) <= storeTimeout/2 {
		return nil
	}
	wait := budgetRetryInterval
	var exhausted *weightstore.ExhaustedError
	if errors.As(err, &exhausted) {
		wait = exhausted.Wait
	}
	a.budgetRetryAt = time.Now().Add(wait)
	a.log.WithError(err).WithFields(logrus.Fields{"rate": s.Engine.StoreLoadsPerSecond, "wait-ms": wait.Milliseconds()}).
		Info("no load from the weight store now")
	return &noBudgetError{wait: wait}
}

// noBudgetError reports that no load from the weight store may begin before the wait has passed.
type noBudgetError struct{ wait time.Duration }

// Error returns the message with the time to wait.
func (e *noBudgetError) Error() string {
	return fmt.Sprintf("no load from the weight store for %s", e.wait.Round(time.Millisecond))
}

// storeLoadLimit returns a limit that keeps the loads in any window one below what the platform allows.
func storeLoadLimit(engine *route.Engine, window time.Duration, burst float64) weightstore.Limit {
	const extraLoads = 2 // the platform allows 3 above the rate times the burst factor
	burstLoads := engine.StoreLoadsPerSecond*window.Seconds()*(burst-1) + extraLoads
	return weightstore.Limit{LoadsPerSecond: engine.StoreLoadsPerSecond, Burst: max(1, burstLoads)}
}

// ensureHeld passes a load request to controlLoop and returns once the engine holds the model and adapter or the request
// has failed.
func (a *Agent) ensureHeld(ctx context.Context, model, adapter, evict string) error {
	result := make(chan error, 1)
	deadline := time.Now().Add(modelLoadTimeout)
	if callerDeadline, ok := ctx.Deadline(); ok && callerDeadline.Before(deadline) {
		deadline = callerDeadline
	}
	request := &occupancy.LoadRequest{Model: model, Adapter: adapter, Evict: evict, Expires: deadline, Done: func(err error) { result <- err }}
	if adapter != "" {
		request.Expires = time.Now().Add(adapterLoadTimeout)
	}
	select {
	case a.loadRequests <- request:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

const (
	// modelLoadTimeout bounds the load of a model and, before it, the wait for the runs of an evicted model to end.
	modelLoadTimeout   = 15 * time.Second
	adapterLoadTimeout = time.Second
)
