package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"gypsumbank/framing"
	"gypsumbank/pause"
	"gypsumbank/standin/site"
)

// cutSeries are series of answers that end early: without a length or chunks, or as their gateway stops.
var cutSeries = []func(*soakDeployment, context.Context){(*soakDeployment).unframeAnswers, (*soakDeployment).slowAnswers, (*soakDeployment).stopGateways, (*soakDeployment).takeUpStreams}

// respondUnframed answers a request without a length or chunks, and, if cut is set, a random part of it, which then ends in order or with a
// reset. It reports whether the connection stays open, which it never does.
func (s *soakDeployment) respondUnframed(target *soakTarget, conn net.Conn, seen *site.ReceivedRequest, cut bool) bool {
	id := seen.Header.Get("X-Gypsumbank-Request-Id")
	s.checker.RecordRun(id)
	pieces, contentType := []string{"for " + id}, "text/plain"
	if seen.Header.Get("X-Gypsumbank-Model") != "" {
		after, suffix := 0, ""
		_, _ = fmt.Sscan(seen.Header.Get("Last-Event-Id"), &after) // absent in a stream that begins
		if strings.Contains(seen.RequestLine, " /resumable/") {
			suffix = "-at-" + softwareVersion(target.id)
		}
		pieces, contentType = streamEvents(after, suffix), "text/event-stream"
	}
	length, end := len(strings.Join(pieces, "")), site.EndClose
	if cut && length > 0 {
		length = rand.IntN(length)
		end = []site.End{site.EndClose, site.EndReset}[rand.IntN(2)]
		s.checker.RecordCut(id, end == site.EndClose)
	}
	return site.CutResponse(http.StatusOK, framing.Connection, contentType, pieces, length, end)(conn, seen)
}

// unframeAnswers has half of the targets answer without a length or chunks, for some seconds each, until ctx ends.
func (s *soakDeployment) unframeAnswers(ctx context.Context) {
	rng := s.seriesRand(30)
	for ctx.Err() == nil {
		for i, target := range s.targets {
			if faults := (answerFaults{unframed: true}); i%2 == rng.IntN(2) {
				s.logFault("%s answers with %+v", target.id, faults)
				target.answers.change(faults)
			}
		}
		_ = pause.For(ctx, between(rng, time.Second, 3*time.Second))
		for _, target := range s.targets {
			target.answers.change(answerFaults{})
		}
	}
}

// slowAnswers has one plain target after the other take longer than a stopping gateway may have, until ctx ends.
func (s *soakDeployment) slowAnswers(ctx context.Context) {
	rng := s.seriesRand(31)
	plainTargets := s.targets[s.size*enginesPerSize:]
	for pause.For(ctx, between(rng, 100*time.Millisecond, 500*time.Millisecond)) == nil {
		target := plainTargets[rng.IntN(len(plainTargets))]
		faults := answerFaults{slow: between(rng, 2*time.Second, unsafeTimeout)}
		s.logFault("%s answers with %+v", target.id, faults)
		target.answers.change(faults)
		_ = pause.For(ctx, between(rng, time.Second, 2*time.Second))
		target.answers.change(answerFaults{})
	}
}

// stopGateways stops one gateway after the other, until ctx ends.
func (s *soakDeployment) stopGateways(ctx context.Context) {
	rng := s.seriesRand(32)
	gateways := s.nodes[len(s.nodes)-s.size*gatewaysPerSize:]
	for turn := rng.IntN(len(gateways)); pause.For(ctx, between(rng, 500*time.Millisecond, 2*time.Second)) == nil; turn++ {
		node := gateways[turn%len(gateways)]
		s.logFault("planned stop of %s", node.name)
		s.stop(node)
		_ = pause.For(ctx, gatewayGrace)
	}
}
