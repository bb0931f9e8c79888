package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/fleet"
)

// ErrNotLoaded reports that a model or adapter could not be loaded on a target.
var ErrNotLoaded = errors.New("target can not hold it now")

// LoadLimitError reports that the rate limit of loads from the weight store allows none for the time Wait. It wraps
// ErrNotLoaded.
type LoadLimitError struct{ Wait time.Duration }

// Error returns a message with the time to wait.
func (e *LoadLimitError) Error() string {
	return fmt.Sprintf("%v: no load from the weight store for %s", ErrNotLoaded, e.Wait)
}

// Unwrap returns ErrNotLoaded.
func (e *LoadLimitError) Unwrap() error { return ErrNotLoaded }

const (
	// adapterLoadTimeout bounds the load of an adapter, which usually takes some ms.
	adapterLoadTimeout = 600 * time.Millisecond
	// modelLoadTimeout bounds the load of a model, which takes a few seconds once the requests of the evicted model have
	// ended.
	modelLoadTimeout = 15 * time.Second
	// modelPollInterval is the interval at which a waiting request checks whether a target has loaded its model.
	modelPollInterval = 40 * time.Millisecond
)

// loadAdapter loads the adapter of the request on the chosen target.
func (d *Dispatch) loadAdapter(choice fleet.Choice) error {
	ctx, cancel := context.WithTimeout(d.ctx, adapterLoadTimeout)
	defer cancel()
	err := d.agents.EnsureLoaded(ctx, choice.Target, d.request.ID, d.request.Model, d.request.Adapter, "")
	if err == nil {
		d.fleet.MarkHeld(choice.Target.ID, d.request.Model, d.request.Adapter)
	}
	return err
}

// waitForModel waits for one poll interval, or refuses the request if no target is expected to load its model within the
// remaining time.
func (d *Dispatch) waitForModel(remaining time.Duration) *Refused {
	eta, known, inTime := d.modelETA(remaining)
	if !inTime {
		d.log.WithFields(logrus.Fields{
			"model": d.request.Model, "listed": known, "expected-ms": eta.Milliseconds(), "left-ms": remaining.Milliseconds(),
		}).Info("model will not be held in time")
		return &Refused{Reason: NoModel, RetryAfter: max(defaultRetryAfter, min(eta, remaining/3))}
	}
	if d.wait.began.IsZero() {
		d.beginWait("model", eta, remaining)
		d.loadForStream()
	}
	return d.pauseWait(modelPollInterval)
}

// modelETA returns the expected time until a target has loaded the model of the request, and whether that is within the remaining time.
// known is false if the service does not list the model.
func (d *Dispatch) modelETA(remaining time.Duration) (eta time.Duration, known, inTime bool) {
	eta, known = d.fleet.LoadETA(d.service, d.request.Model, d.now())
	return eta, known, known && eta+minResponseTime <= remaining
}

// loadForStream has the model loaded on a target of the software version at which alone the stream goes on. Nobody else plans
// that load, as targets of other versions hold the model.
func (d *Dispatch) loadForStream() {
	if d.streamVersion == nil {
		return
	}
	if placement, ok := d.fleet.PlanForStream(d.service, d.request.Model, *d.streamVersion, d.now()); ok {
		go d.LoadModel(context.WithoutCancel(d.ctx), placement)
	}
}

// LoadModel loads a model on a target as planned, and records the result in the fleet.
func (d *Dispatcher) LoadModel(ctx context.Context, placement fleet.Placement) {
	ctx, cancel := context.WithTimeout(ctx, modelLoadTimeout)
	defer cancel()
	start := d.now()
	log := d.log.WithFields(logrus.Fields{
		"target": placement.Target.ID, "model": placement.Model, "evict": placement.Evict, "copies": placement.Copies,
		"work-ms-per-s": int(placement.WorkPerCopyMsPerS), "expected-ms": placement.ETA.Milliseconds(),
		"gain-ms": int(placement.GainMs),
	})
	log.Info("model load begins")
	err := d.agents.EnsureLoaded(ctx, placement.Target, "", placement.Model, "", placement.Evict)
	log = log.WithField("took-ms", d.now().Sub(start).Milliseconds())
	if err != nil {
		log.WithError(err).Info("model not loaded")
		var limited *LoadLimitError
		if errors.As(err, &limited) {
			d.fleet.MarkStoreExhausted(placement.Target.Service, d.now().Add(limited.Wait))
		}
		d.fleet.MarkLoadFailed(placement.Target.ID, placement.Model)
		return
	}
	log.Info("model loaded")
	d.fleet.MarkHeld(placement.Target.ID, placement.Model, "")
	d.fleet.MarkLoaded(placement.Target.ID, placement.Model, d.now())
}
