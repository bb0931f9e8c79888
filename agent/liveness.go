package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/registry"
	"gypsumbank/sender"
	"gypsumbank/wire"
)

const (
	// probeInterval is the interval of connections to an engine that has not answered a poll yet. On a kept connection the end of an engine may
	// not show; a new one that is refused proves it.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 50 * time.Millisecond
	// silenceAfter is the time without an answer after which gateways are told that the engine is silent, so that streams can go on at their copies.
	silenceAfter = 350 * time.Millisecond
)

// errRefused reports an engine at whose address nothing listens.
var errRefused = fmt.Errorf("new connection: %w", syscall.ECONNREFUSED)

// readReport reads the engine's report. While there is no answer it checks whether the engine's process has ended, and tells gateways once the
// engine is silent. The error wraps syscall.ECONNREFUSED if nothing listens at the engine's address.
func (a *Agent) readReport(ctx context.Context) (registry.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	started := time.Now()
	type answer struct {
		report registry.Report
		err    error
	}
	answered := make(chan answer, 1)
	go func() {
		report, err := a.engine.Report(ctx, a.config.Agent.Target)
		answered <- answer{report, err}
	}()
	probes := time.NewTicker(probeInterval)
	defer probes.Stop()
	for {
		select {
		case got := <-answered:
			if !isUnanswered(got.err) {
				a.silentSince = time.Time{}
				return got.report, got.err
			}
			a.noteSilence(started)
			if !errors.Is(got.err, syscall.ECONNREFUSED) && a.refusesConnections() {
				return registry.Report{}, errRefused
			}
			return registry.Report{}, got.err
		case <-probes.C:
			if a.refusesConnections() {
				cancel()
				<-answered
				a.noteSilence(started)
				return registry.Report{}, errRefused
			}
			a.noteSilence(started)
		}
	}
}

// isUnanswered reports whether the error of a call says that no answer came.
func isUnanswered(err error) bool {
	return errors.Is(err, sender.ErrNotSent) || errors.Is(err, sender.ErrNoUsableResponse) || errors.Is(err, net.ErrClosed)
}

// refusesConnections reports whether nothing listens at the engine's address.
func (a *Agent) refusesConnections() bool {
	conn, err := net.DialTimeout("tcp", a.config.Agent.Target, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}

// noteSilence records that a poll that began at a time has no answer yet.
func (a *Agent) noteSilence(started time.Time) {
	if a.silentSince.IsZero() {
		a.silentSince = started
		a.silenceLogged = false
	}
	if !a.isSilent() {
		return
	}
	if !a.silenceLogged {
		a.silenceLogged = true
		a.log.WithFields(logrus.Fields{"target": a.targetID, "silent-ms": time.Since(a.silentSince).Milliseconds()}).Info("engine is silent")
	}
	a.watchers.publishDown(a.downState(nil))
}

// isSilent reports whether gateways are to be told that the engine is silent, which they need where its runs have copies.
func (a *Agent) isSilent() bool {
	return a.targetID != "" && a.copiesRuns() && !a.silentSince.IsZero() && time.Since(a.silentSince) >= silenceAfter
}

// copiesRuns reports whether the runs of the engine may be copied to others.
func (a *Agent) copiesRuns() bool {
	if a.routingTable == nil {
		return false
	}
	s, ok := a.routingTable.Service(a.serviceName)
	return ok && s.Engine != nil && s.Engine.Copies.Backups
}

// downState returns the message that the engine does not answer: with the run that has ended, unless that is nil, or else with the run that is
// silent.
func (a *Agent) downState(ended *wire.EndedRun) *wire.TargetState {
	state := &wire.TargetState{EngineDown: true, EndedRun: ended, SameHoldings: true}
	if ended == nil && a.isSilent() {
		state.TargetId, state.Born = a.targetID, a.lastReport.Born
	}
	return state
}
