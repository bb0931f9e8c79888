package soak

import (
	"fmt"
	"time"
)

// stopReaction is how long a process may take to handle the signal to stop.
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

// violations returns what targets, processes that stop and callers have seen that must not be.
func (k *cuts) violations(n *notices, atMostOnce map[string]bool) []string {
	arrivals := n.arrivalsByRequest()
	var violations []string
	for _, a := range n.arrivals {
		if atMostOnce[a.RequestID] {
			violations = append(violations, k.lateSend(n, a)...)
		}
	}
	for _, r := range k.received {
		if a, arrived := arrivals[r.ID]; arrived && n.calm(a.Target, a.At.Add(-disturbanceTail), r.At) {
			violations = append(violations, k.wrongEnd(n, r)...)
		}
	}
	return violations
}

// lateSend checks that a stopping process has not passed on a request that may run only once and that its route allows to outlast the grace. Others
// may be passed on by an estimate; CheckUnanswered finds those that then get no answer.
func (k *cuts) lateSend(n *notices, a Arrival) []string {
	sent := n.sends[a.RequestID]
	stop, stopping := k.stops[sent.process]
	inTime := !sent.at.After(stop.at.Add(stopReaction)) || !sent.at.Add(sent.longest).After(stop.over)
	if !stopping || inTime || !k.calmSince(n, sent.process, stop, a.At) {
		return nil
	}
	return []string{fmt.Sprintf("request %s reached %s from %s, sent %s after the signal to stop", a.RequestID, a.Target, sent.process, sent.at.Sub(stop.at))}
}

// wrongEnd checks an answer that seemed to end in order midway, or never came though its request had reached a target.
func (k *cuts) wrongEnd(n *notices, r Response) []string {
	process := n.sends[r.ID].process
	stop, stopping := k.stops[process]
	duringStop := stopping && r.At.After(stop.at) && r.At.Before(stop.over.Add(disturbanceTail))
	switch {
	case k.byTarget[r.ID]:
	case r.Status != 0:
		return []string{fmt.Sprintf("request %s got body %q, which seems to end in order, want %q", r.ID, r.Body, r.WantBody)}
	case !k.broken[r.ID] && duringStop && k.calmSince(n, process, stop, r.At):
		return []string{fmt.Sprintf("request %s got no answer as %s stopped", r.ID, process)}
	}
	return nil
}

// calmSince reports whether a stopping process was not disturbed from its stop until a time.
func (k *cuts) calmSince(n *notices, process string, stop plannedStop, until time.Time) bool {
	return n.calm(node(process), stop.at.Add(-disturbanceTail), until)
}

// CheckUnanswered checks that no process has read a request whose caller then got no answer. Requests of disturbed processes, of callers who left, and
// of targets that were disturbed or broke off their answers do not count.
func (c *Checker) CheckUnanswered(hasRead func(process, requestID string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	arrivals := c.notices.arrivalsByRequest()
	for _, r := range c.cuts.received {
		sent, known := c.notices.sends[r.ID]
		a, arrived := arrivals[r.ID]
		switch {
		case r.Status != 0, r.CallerLeft, !known, c.cuts.byTarget[r.ID], c.cuts.broken[r.ID]:
		case !c.notices.calm(node(sent.process), sent.at.Add(-disturbanceTail), r.At):
		case arrived && !c.notices.calm(a.Target, a.At.Add(-disturbanceTail), r.At):
		case hasRead(sent.process, r.ID):
			c.addViolation("request %s got no answer, but %s had read it", r.ID, sent.process)
		}
	}
}
