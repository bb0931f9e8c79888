package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/pause"
	"gypsumbank/registry"
	"gypsumbank/standby"
)

const (
	// newsTick is the interval at which attempts are checked while there is news of their engines.
	newsTick = 10 * time.Millisecond
	// silenceLifetime is the time after which an engine counts as silent no more unless its agent has said so again. Agents do so at least each 500 ms.
	silenceLifetime = 1500 * time.Millisecond
)

// errGivenUp is the cause of the end of an attempt whose engine has ended or is silent.
var errGivenUp = errors.New("engine has ended or does not answer its agent")

// engineRun identifies one run of an engine.
type engineRun struct {
	id   string
	born int64
}

// engineAttempt is an attempt in progress at an engine.
type engineAttempt struct {
	run        engineRun
	host       string // of the engine
	requestID  string
	sentAt     time.Time
	hasCopy    bool
	lastByteAt atomic.Int64 // Unix time in ns at which a part of the answer's body was read last; 0 before the first
	readingAt  atomic.Int64 // since when the answer, or its next part, is awaited; 0 while the caller takes the last part
	ctx        context.Context
	cancel     context.CancelCauseFunc
}

// isGivenUp reports whether the attempt was ended on news of its engine.
func (a *engineAttempt) isGivenUp() bool {
	return a != nil && errors.Is(context.Cause(a.ctx), errGivenUp)
}

// snapshot returns the attempt as the decision depends on it.
func (a *engineAttempt) snapshot() standby.Attempt {
	out := standby.Attempt{SentAt: a.sentAt, HasCopy: a.hasCopy, ReadingAt: time.Unix(0, a.readingAt.Load())}
	if ns := a.lastByteAt.Load(); ns != 0 {
		out.LastByteAt = time.Unix(0, ns)
	}
	return out
}

// engineNews is what an agent has said of a run of its engine.
type engineNews struct {
	condition standby.Condition
	at        time.Time // of the first message that said so
	heardAt   time.Time // of the last one
}

// engineAttempts holds the attempts in progress at engines and ends those whose engine has ended, as agents report.
type engineAttempts struct {
	log *logrus.Entry
	now func() time.Time

	wake chan struct{} // holds a value after news that may end attempts

	mu    sync.Mutex
	byRun map[engineRun]map[*engineAttempt]struct{}
	news  map[engineRun]engineNews // of runs that have ended or are silent
}

func newEngineAttempts(log *logrus.Entry, now func() time.Time) *engineAttempts {
	return &engineAttempts{log: log, now: now, wake: make(chan struct{}, 1), byRun: map[engineRun]map[*engineAttempt]struct{}{}, news: map[engineRun]engineNews{}}
}

// begin adds an attempt to send a request to a target. Its context ends with ctx, or when the attempt is given up.
func (e *engineAttempts) begin(ctx context.Context, target registry.Target, requestID string, hasCopy bool, now time.Time) *engineAttempt {
	a := &engineAttempt{run: engineRun{target.ID, target.Born}, host: registry.Host(target.Address), requestID: requestID, sentAt: now, hasCopy: hasCopy}
	a.readingAt.Store(now.UnixNano())
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byRun[a.run] == nil {
		e.byRun[a.run] = map[*engineAttempt]struct{}{}
	}
	e.byRun[a.run][a] = struct{}{}
	return a
}

// remove ends the watch of an attempt.
func (e *engineAttempts) remove(a *engineAttempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeLocked(a)
}

// removeLocked is remove for callers that hold the lock.
func (e *engineAttempts) removeLocked(a *engineAttempt) {
	delete(e.byRun[a.run], a)
	if len(e.byRun[a.run]) == 0 {
		delete(e.byRun, a.run)
	}
}

// record records what the agent on a VM says of the run of its engine.
func (e *engineAttempts) record(host, targetID string, born int64, condition standby.Condition) {
	now := e.now()
	said := engineRun{targetID, born}
	e.mu.Lock()
	defer e.mu.Unlock()
	if condition == standby.Answers {
		delete(e.news, said)
		for run, attempts := range e.byRun {
			if run.born < born && (run.id == targetID || hostOf(attempts) == host) {
				e.recordLocked(run, standby.Ended, now) // a later run has its place
			}
		}
		return
	}
	e.recordLocked(said, condition, now)
}

// hostOf returns the host of an engine by the attempts at it.
func hostOf(attempts map[*engineAttempt]struct{}) string {
	for a := range attempts {
		return a.host
	}
	return ""
}

// recordLocked records the condition of a run that has attempts; the caller holds the lock.
func (e *engineAttempts) recordLocked(run engineRun, condition standby.Condition, now time.Time) {
	attempts := e.byRun[run]
	if len(attempts) == 0 {
		return
	}
	known, ok := e.news[run]
	switch {
	case ok && known.condition == condition:
		known.heardAt = now
		e.news[run] = known
		return
	case ok && known.condition == standby.Ended:
		return
	}
	e.news[run] = engineNews{condition: condition, at: now, heardAt: now}
	e.log.WithFields(logrus.Fields{"target": run.id, "born": run.born, "condition": condition.String(), "attempts": len(attempts)}).Info("agent reports its engine")
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run ends attempts until ctx ends. It sleeps while there is no news.
func (e *engineAttempts) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.wake:
		}
		for e.giveUpDue(e.now()) {
			if err := pause.For(ctx, newsTick); err != nil {
				return err
			}
		}
	}
}

// giveUpDue ends the attempts that are due and drops news that ends none. It reports whether there is news left.
func (e *engineAttempts) giveUpDue(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for run, news := range e.news {
		if news.condition == standby.Silent && now.Sub(news.heardAt) > silenceLifetime {
			delete(e.news, run)
			continue
		}
		pending := news.condition == standby.Silent && len(e.byRun[run]) > 0 // streams may begin yet
		for a := range e.byRun[run] {
			at, ok := standby.GiveUpAt(a.snapshot(), news.condition, news.at)
			if !ok {
				continue
			}
			if a.readingAt.Load() == 0 || now.Before(at) {
				pending = true
				continue
			}
			e.giveUp(a, news, now)
		}
		if !pending {
			delete(e.news, run)
		}
	}
	return len(e.news) > 0
}

// giveUp ends an attempt; the caller holds the lock.
func (e *engineAttempts) giveUp(a *engineAttempt, news engineNews, now time.Time) {
	e.removeLocked(a)
	metrics.GetOrCreateCounter(`gypsumbank_gateway_attempts_given_up_total{condition="` + news.condition.String() + `"}`).Inc()
	e.log.WithFields(logrus.Fields{
		"request": a.requestID, "target": a.run.id, "condition": news.condition.String(), "since-news-ms": now.Sub(news.at).Milliseconds(), "sent-ms": now.Sub(a.sentAt).Milliseconds(),
		"has-copy": a.hasCopy, "begun": a.lastByteAt.Load() != 0,
	}).Info("attempt given up on news of its engine")
	a.cancel(errGivenUp)
}

// RecordEngine records what the agent on a VM says of the run of its engine that began at a time, so that attempts at an engine that has ended
// don't wait for their connections to break. An engine that leaves may refuse connections while it gives its last answers, so that this is no proof
// of its end.
func (d *Dispatcher) RecordEngine(host, targetID string, born int64, condition standby.Condition) {
	if condition == standby.Ended && d.fleet.Leaves(targetID) {
		condition = standby.Silent
	}
	d.attempts.record(host, targetID, born, condition)
}

// WatchEngines ends attempts on news of their engines until ctx ends.
func (d *Dispatcher) WatchEngines(ctx context.Context) error { return d.attempts.run(ctx) }

// RecordRead records that the next part of the body of the answer in progress is awaited.
func (d *Dispatch) RecordRead(now time.Time) {
	if d.engineAttempt != nil {
		d.engineAttempt.readingAt.Store(now.UnixNano())
	}
}

// RecordBytes records that a part of the body of the answer in progress has been read, and is passed on.
func (d *Dispatch) RecordBytes(now time.Time) {
	if d.engineAttempt != nil {
		d.engineAttempt.readingAt.Store(0)
		d.engineAttempt.lastByteAt.Store(now.UnixNano())
	}
}
