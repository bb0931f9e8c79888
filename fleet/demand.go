package fleet

import (
	"math"
	"time"

	"gypsumbank/request"
)

const (
	// demandMemory is the time constant over which demand is averaged; demand moves on within a few seconds.
	demandMemory = 3 * time.Second
	// totalLifetime is the age at which the demand of all gateways gives way to this gateway's own.
	totalLifetime = 2500 * time.Millisecond
	// decodeMs is the engine time that a generated token takes in a full batch.
	decodeMs = 0.1
	// leastWork is the work in ms a second below which a model counts as not asked for.
	leastWork = 1
)

// Demand is the expected work for a model in ms of engine time a second.
type Demand struct {
	Service    string
	Model      string
	WorkMsPerS float64
}

// demandKey names a model of a service.
type demandKey struct{ service, model string }

// rate is a decaying average of work.
type rate struct {
	work float64
	at   time.Time
}

func (r *rate) level(at time.Time) float64 {
	return r.work * math.Exp(-float64(at.Sub(r.at))/float64(demandMemory))
}

// RecordDemand counts a request in the demand for its model and reports whether no target holds that; it is called once for
// each request.
func (f *Fleet) RecordDemand(service string, req *request.Request, now time.Time) (missing bool) {
	if req.Model == "" {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := demandKey{service, req.Model}
	d := f.demand[key]
	if d == nil {
		d = &rate{at: now}
		f.demand[key] = d
	}
	work := baseMs + f.pace(req.Model)*float64(ownTokens(req)) + decodeMs*float64(req.MaxOutputTokens)/2
	d.work = d.level(now) + work/demandMemory.Seconds()
	d.at = now
	for _, s := range f.byService[service] {
		if !s.leaving() && s.holds(req.Model, "", now) {
			return false
		}
	}
	return true
}

// ownTokens returns the tokens of the prompt that no other request shares.
func ownTokens(req *request.Request) int {
	if n := len(req.Parts); n > 0 {
		return req.Parts[n-1].Tokens
	}
	return req.PromptTokens
}

// Demand returns the demand at this gateway.
func (f *Fleet) Demand(now time.Time) []Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Demand, 0, len(f.demand))
	for key, d := range f.demand {
		if work := d.level(now); work >= leastWork {
			all = append(all, Demand{Service: key.service, Model: key.model, WorkMsPerS: work})
			continue
		}
		delete(f.demand, key)
	}
	return all
}

// SetTotalDemand takes over the demand of all gateways, as an agent that the given number of them watch has told it.
func (f *Fleet) SetTotalDemand(all []Demand, gateways int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if gateways < f.totalFrom && now.Sub(f.totalAt) < totalLifetime {
		return
	}
	f.total = make(map[demandKey]float64, len(all))
	for _, d := range all {
		f.total[demandKey{d.Service, d.Model}] = d.WorkMsPerS
	}
	f.totalFrom, f.totalAt = gateways, now
}

// workFor returns the work of a service's models, of all gateways if it is known.
func (f *Fleet) workFor(service string, now time.Time) map[string]float64 {
	work := map[string]float64{}
	if now.Sub(f.totalAt) < totalLifetime {
		for key, level := range f.total {
			if key.service == service {
				work[key.model] = level
			}
		}
		return work
	}
	gateways := float64(f.gateways())
	for key, d := range f.demand {
		if key.service == service {
			work[key.model] = d.level(now) * gateways
		}
	}
	return work
}
