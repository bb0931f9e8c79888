package fleet

import (
	"math"
	"time"

	"gypsumbank/request"
)

const (
	// demandTimeConstant is the time constant of the exponentially decaying average of demand; demand shifts between
	// models within a few seconds.
	demandTimeConstant = 3 * time.Second
	// totalDemandLifetime is the age from which the reported demand of all gateways is ignored and an estimate from
	// this gateway's own demand is used.
	totalDemandLifetime = 2500 * time.Millisecond
	// minWorkMsPerS is the work below which a model counts as having no demand.
	minWorkMsPerS = 1
)

// Demand is the expected work of serving the requests for a model.
type Demand struct {
	Service    string
	Model      string
	WorkMsPerS float64 // ms of engine time per second
}

// demandKey identifies a model of a service.
type demandKey struct{ service, model string }

// decayingWork is an exponentially decaying average of work, in ms of engine time per second.
type decayingWork struct {
	msPerS    float64
	updatedAt time.Time
}

// valueAt returns the average decayed to a time at or after the last update.
func (d *decayingWork) valueAt(now time.Time) float64 {
	return d.msPerS * math.Exp(-float64(now.Sub(d.updatedAt))/float64(demandTimeConstant))
}

// RecordDemand adds a request to the demand for its model and reports whether no target holds that model. It must be
// called once for each request. The work of a request is estimated as baseLatencyMs, the prefill of the prompt without
// its shared parts, and its share of the engine's slots while it generates the expected tokens.
func (f *Fleet) RecordDemand(service string, req *request.Request, now time.Time) (missing bool) {
	if req.Model == "" {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.promptMixes[service] == nil {
		f.promptMixes[service] = newPromptMix()
	}
	f.promptMixes[service].add(req, now)
	key := demandKey{service, req.Model}
	d := f.ownDemand[key]
	if d == nil {
		d = &decayingWork{updatedAt: now}
		f.ownDemand[key] = d
	}
	workMs := baseLatencyMs + f.prefillMsPerToken(req.Model)*float64(unsharedTokens(req)) + f.decodeWorkMs(service, req)
	d.msPerS = d.valueAt(now) + workMs/demandTimeConstant.Seconds()
	d.updatedAt = now
	for _, s := range f.byService[service] {
		if !f.mustNotUse(s) && s.holds(req.Model, "", now) {
			return false
		}
	}
	return true
}

// unsharedTokens returns the number of prompt tokens that are not shared with other requests.
func unsharedTokens(req *request.Request) int {
	if n := len(req.Parts); n > 0 {
		return req.Parts[n-1].Tokens
	}
	return req.PromptTokens
}

// Demand returns the demand from the requests of this gateway and removes models that have none any more.
func (f *Fleet) Demand(now time.Time) []Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgetDemand(now)
	all := make([]Demand, 0, len(f.ownDemand))
	for key, d := range f.ownDemand {
		all = append(all, Demand{Service: key.service, Model: key.model, WorkMsPerS: d.valueAt(now)})
	}
	return all
}

// SetTotalDemand sets the demand of all gateways as reported by an agent, which knows of the given number of gateways.
// A report from fewer gateways than the last one is ignored unless that has expired.
func (f *Fleet) SetTotalDemand(all []Demand, gateways int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if gateways < f.totalDemandGateways && now.Sub(f.totalDemandAt) < totalDemandLifetime {
		return
	}
	f.totalDemand = make(map[demandKey]float64, len(all))
	for _, d := range all {
		f.totalDemand[demandKey{d.Service, d.Model}] = d.WorkMsPerS
	}
	f.totalDemandGateways, f.totalDemandAt = gateways, now
}

// workByModel returns the demand of all gateways for a service's models. If it is not known, it is estimated as this
// gateway's own demand times the number of gateways.
func (f *Fleet) workByModel(service string, now time.Time) map[string]float64 {
	byModel := map[string]float64{}
	if now.Sub(f.totalDemandAt) < totalDemandLifetime {
		for key, msPerS := range f.totalDemand {
			if key.service == service {
				byModel[key.model] = msPerS
			}
		}
		return byModel
	}
	gateways := float64(f.gatewayCountLocked())
	for key, d := range f.ownDemand {
		if key.service == service {
			byModel[key.model] = d.valueAt(now) * gateways
		}
	}
	return byModel
}
