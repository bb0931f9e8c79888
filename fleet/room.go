package fleet

import (
	"time"

	"gypsumbank/request"
)

const (
	// spareSlotShare is the share of an engine's slots by which requests may exceed them: the next request then waits at the
	// engine while the news that a slot is free is on its way.
	spareSlotShare = 1.0 / 12
	// defaultResidenceMs is the time that a request has a slot, before it has been measured.
	defaultResidenceMs = 800
)

// occupied returns the number of requests at the target, those of other gateways included if its agent's report is recent.
func (s *targetState) occupied(now time.Time) int {
	if now.Sub(s.reportAt) < reportLifetime {
		return s.inflight + s.othersInflight
	}
	return s.inflight
}

// hasRoom reports whether the target can begin to serve a further request at once: it has a slot and enough KV cache.
func (s *targetState) hasRoom(req *request.Request, now time.Time) bool {
	if now.Before(s.fullUntil) {
		return false
	}
	occupied := s.occupied(now)
	return occupied == 0 || (occupied < s.Slots+int(spareSlotShare*float64(s.Slots)) && s.hasKVCache(req))
}

// hasKVCache reports whether the target has enough KV cache for a request and the expected output.
func (s *targetState) hasKVCache(req *request.Request) bool {
	needTokens := req.PromptTokens + req.ExpectedOutputTokens()
	total := s.report.KVTotal
	return total == 0 || float64(s.report.KVUsed+needTokens) <= preemptionShare*float64(total)
}

// slotIntervalMs returns the average time between two slots of the target that become free while all are taken.
func (s *targetState) slotIntervalMs() float64 {
	residenceMs := s.residenceMs
	if residenceMs == 0 {
		residenceMs = defaultResidenceMs
	}
	return residenceMs / float64(max(1, s.Slots))
}

// slotWaitMs returns the expected time until a further request gets a slot.
func (s *targetState) slotWaitMs(now time.Time) float64 {
	excess := s.occupied(now) + 1 - s.Slots
	if excess <= 0 {
		return 0
	}
	return float64(excess) * s.slotIntervalMs()
}

// occupancyCost returns a cost in ms that grows with the share of the target's slots that are taken, so that the holders of
// a model keep slots free for the next burst.
func (s *targetState) occupancyCost(now time.Time) float64 {
	return fullOccupancyCostMs * float64(s.occupied(now)) / float64(max(1, s.Slots))
}
