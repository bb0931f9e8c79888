package fleet

import (
	"time"

	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/route"
	"gypsumbank/standby"
)

// Backup is the KV cache reserved at a second engine for the copy of a run.
type Backup struct {
	fleet    *Fleet
	target   registry.Target // the second engine
	firstID  string          // of the engine that runs the request
	request  *request.Request
	tokens   int
	lifetime time.Duration // of a copy that is not used
	expires  time.Time     // when the engine drops the copy; zero while the run goes on
}

// Target returns the engine that keeps the copy.
func (b *Backup) Target() registry.Target { return b.target }

// ChooseBackup decides whether the run of a request at the chosen engine is to be copied to a second one, and reserves KV cache there. The backup
// is nil if not. The decision has no reason if the service's engines copy no runs.
func (f *Fleet) ChooseBackup(choice Choice, req *request.Request, r *route.Route, deadline, now time.Time) (*Backup, standby.Decision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.states[choice.Target.ID]
	if first == nil {
		return nil, standby.Decision{Engine: -1}
	}
	engine := f.services[first.Service].Engine
	if engine == nil || !engine.Copies.Backups || req.Model == "" || r.Kind != route.Streaming {
		return nil, standby.Decision{Engine: -1}
	}
	run := standby.Run{
		RequestID: req.ID, Streaming: true, Repeatable: r.Repeatable() && r.MaxAttempts > 1,
		PromptTokens: req.PromptTokens, OutputTokens: req.ExpectedOutputTokens(), TimeLeft: deadline.Sub(now),
	}
	limits := standby.Limits{KVTokens: engine.KVTokens, Slots: engine.Slots, BytesPerToken: engine.Copies.BytesPerToken, LinkMbps: engine.Copies.LinkMbps}
	states := f.byService[first.Service]
	engines := make([]standby.Engine, 0, len(states))
	for _, s := range states {
		engines = append(engines, f.standbyEngine(s, first, req, now))
	}
	decision := standby.Choose(run, limits, standby.First{
		VM: registry.Host(first.Address), Zone: first.AvailabilityZone, Version: string(first.SoftwareVersion), Health: f.health(first, now),
	}, engines)
	if decision.Engine < 0 {
		return nil, decision
	}
	b := &Backup{
		fleet: f, target: states[decision.Engine].Target, firstID: first.ID, request: req, tokens: run.Tokens(), lifetime: engine.Copies.Lifetime,
	}
	f.addBackup(b)
	return b, decision
}

// standbyEngine returns what is known of an engine as a second one for runs of the first; the caller holds the lock.
func (f *Fleet) standbyEngine(s, first *targetState, req *request.Request, now time.Time) standby.Engine {
	e := standby.Engine{
		ID: s.ID, VM: registry.Host(s.Address), Zone: s.AvailabilityZone, Version: string(s.SoftwareVersion),
		Holds: s.holds(req.Model, req.Adapter, now), Health: f.health(s, now), Slots: s.Slots, FreeSlots: s.Slots - s.occupied(now),
	}
	if s == first || now.Before(s.backoffUntil) || now.Before(s.fullUntil) || (!f.notices.Empty() && f.notices.Wait(s.Target, f.gatewayCountLocked(), now) > 0) {
		e.Health.Unresponsive = true
	}
	if s.reportAt.IsZero() || now.Sub(s.reportAt) > missedHeartbeatAge {
		return e // its room is not known
	}
	e.KVTokens, e.FreeTokens = s.report.KVTotal, s.report.KVTotal-s.report.KVUsed
	for a := range s.pending {
		e.FreeTokens -= a.request.PromptTokens
	}
	for b := range f.liveBackups(s.ID, now) {
		e.FreeTokens -= b.tokens
		e.FreeSlots--
		if b.firstID == first.ID {
			e.CopiesOfFirst++
		}
	}
	return e
}

// health returns what makes the end of an engine more likely; the caller holds the lock.
func (f *Fleet) health(s *targetState, now time.Time) standby.Health {
	return standby.Health{
		ErrorRate: s.performance.errorRate(now), Slowness: s.performance.slowness(now), Unresponsive: s.unresponsiveCost(now) > 0,
		Leaving: f.mustNotUse(s), Restarted: s.ColdRemaining > 0,
	}
}

// addBackup reserves the KV cache of a copy; the caller holds the lock.
func (f *Fleet) addBackup(b *Backup) {
	if f.backups == nil {
		f.backups = map[string]map[*Backup]struct{}{}
	}
	if f.backups[b.target.ID] == nil {
		f.backups[b.target.ID] = map[*Backup]struct{}{}
	}
	f.backups[b.target.ID][b] = struct{}{}
}

// removeBackup frees the KV cache of a copy; the caller holds the lock.
func (f *Fleet) removeBackup(b *Backup) {
	delete(f.backups[b.target.ID], b)
	if len(f.backups[b.target.ID]) == 0 {
		delete(f.backups, b.target.ID)
	}
}

// liveBackups returns the copies that an engine keeps for this gateway; the caller holds the lock.
func (f *Fleet) liveBackups(targetID string, now time.Time) map[*Backup]struct{} {
	for b := range f.backups[targetID] {
		if !b.expires.IsZero() && !now.Before(b.expires) {
			f.removeBackup(b)
		}
	}
	return f.backups[targetID]
}

// end frees the reservation of a run that has ended with a result, or keeps it for as long as the engine keeps a copy that may be used; the
// caller holds the lock.
func (b *Backup) end(result Result, now time.Time) {
	switch result {
	case Served, ServerError, Refused, Misdirected, Unreached:
		b.fleet.removeBackup(b)
	case Failed, Abandoned:
		b.expires = now.Add(b.lifetime)
	}
}

// Use returns the choice by which the run goes on at the engine that keeps its copy, and frees the reservation. It returns false if the engine
// must not get it: it has ended, leaves, is not reached, has no turn, or is of another software version than the given one.
func (b *Backup) Use(version registry.SoftwareVersion, now time.Time) (Choice, bool) {
	f := b.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeBackup(b)
	s := f.states[b.target.ID]
	if s == nil || s.Born != b.target.Born || s.SoftwareVersion != version || f.mustNotUse(s) || now.Before(s.backoffUntil) {
		return Choice{}, false
	}
	if !s.holds(b.request.Model, b.request.Adapter, now) {
		return Choice{}, false
	}
	if !f.notices.Empty() && !f.notices.Take(s.Target, f.gatewayCountLocked(), now) {
		return Choice{}, false
	}
	baselineMs := baseLatencyMs + s.slotWaitMs(now) + runningRequestMs*float64(max(s.inflight, s.report.Running))
	return Choice{
		Target: s.Target, Expected: durationFromMs(baselineMs * s.performance.slowness(now)), ReportAge: s.reportAge(now), Candidates: 1, HasRoom: true,
		baselineMs: baselineMs,
	}, true
}

// SetBackup sets the copy of the run, whose reservation ends with the assignment; it must be called before End.
func (a *Assignment) SetBackup(b *Backup) { a.backup = b }

// Leaves reports whether a target leaves, by any source.
func (f *Fleet) Leaves(targetID string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[targetID]
	return s != nil && (s.Draining || s.report.Draining || f.notices.Leaving(s.Target))
}
