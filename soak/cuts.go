package soak

import (
	"fmt"
	"time"
)

// stopReaction is the time after the signal to stop within which a process need not have taken note of it.
const stopReaction = 300 * time.Millisecond

// cuts holds which answers targets have cut, which processes have stopped, and the answers that callers got in part or not at all.
type cuts struct {
	byTarget map[string]bool // ids of requests whose target has ended the connection of the answer in order, midway
	broken   map[string]bool // ids of requests whose target has broken off the answer otherwise
	stops    map[string]plannedStop
	received []Response // that seemed to end in order midway, or never came
}

// plannedStop is the stop of a process.
type plannedStop struct {
	at   time.Time
	over time.Time // end of the grace
}

func newCuts() cuts {
	return cuts{byTarget: map[string]bool{}, broken: map[string]bool{}, stops: map[string]plannedStop{}}
}

// RecordCut records that a target has cut the answer to a request, and whether it then closed the connection in order.
func (c *Checker) RecordCut(id string, inOrder bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if inOrder {
		c.cuts.byTarget[id] = true
		return
	}
	c.cuts.broken[id] = true
}

// RecordStop records that a process was told to stop within a grace.
func (c *Checker) RecordStop(process string, at time.Time, grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts.stops[process] = plannedStop{at: at, over: at.Add(grace)}
}

// violations returns the answers that seem to end in order though no target ended them so, the requests that a stopping process has passed on
// too late and those that it has left without an answer.
func (k *cuts) violations(n *notices) []string {
	var violations []string
	arrivals := map[string]Arrival{}
	for _, a := range n.arrivals {
		arrivals[a.RequestID] = a
		sent := n.sends[a.RequestID]
		stop, stopping := k.stops[sent.process]
		if stopping && sent.at.After(stop.at.Add(stopReaction)) && sent.at.Add(sent.longest).After(stop.over) && n.calm(node(sent.process), stop.at.Add(-disturbanceTail), a.At) {
			violations = append(violations, fmt.Sprintf("request %s reached %s from %s, sent %s after the signal to stop", a.RequestID, a.Target, sent.process, sent.at.Sub(stop.at)))
		}
	}
	for _, r := range k.received {
		a, arrived := arrivals[r.ID]
		process := n.sends[r.ID].process
		if !arrived || k.byTarget[r.ID] || k.broken[r.ID] && r.Status == 0 || !n.calm(a.Target, a.At.Add(-disturbanceTail), r.At) {
			continue
		}
		stop, stopping := k.stops[process]
		switch {
		case r.Status != 0:
			violations = append(violations, fmt.Sprintf("request %s got body %q, which seems to end in order, want %q", r.ID, r.Body, r.WantBody))
		case stopping && r.At.After(stop.at) && r.At.Before(stop.over.Add(disturbanceTail)) && n.calm(node(process), stop.at.Add(-disturbanceTail), r.At):
			violations = append(violations, fmt.Sprintf("request %s got no answer as %s stopped", r.ID, process))
		}
	}
	return violations
}
