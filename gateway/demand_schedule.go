package gateway

import (
	"math"
	"time"
)

const (
	// demandScaledFrom is the number of gateways above which the interval between two heartbeats with the demand grows with the square root of
	// that number, so that the bytes of all of them do, too.
	demandScaledFrom = 10
	// maxDemandInterval bounds that growth: an agent reads the store for 3 s after a heartbeat with demand, and the planner's averages fade
	// within 3 s.
	maxDemandInterval = 2500 * time.Millisecond
)

// demandSchedule decides which heartbeats to an agent that reads the store have the demand. Among few gateways all do.
type demandSchedule struct{ sentAt time.Time }

// take reports whether a heartbeat that is sent now has the demand, and records it as sent; it always has if it is sent for the demand.
func (s *demandSchedule) take(gateways int, isPushed bool, now time.Time) bool {
	if gateways > maxGatewaysForFastHeartbeat && !isPushed && now.Sub(s.sentAt) < demandInterval(gateways) {
		return false
	}
	s.sentAt = now
	return true
}

// wait returns the time from now until the next heartbeat, if none is sent before for another reason.
func (s *demandSchedule) wait(gateways int, now time.Time) time.Duration {
	if gateways <= maxGatewaysForFastHeartbeat {
		return relayHeartbeatInterval
	}
	return min(heartbeatInterval, max(0, s.sentAt.Add(demandInterval(gateways)).Sub(now)))
}

// demandInterval returns the time after which many gateways send their demand again.
func demandInterval(gateways int) time.Duration {
	growth := math.Sqrt(max(1, float64(gateways)/demandScaledFrom))
	return min(time.Duration(float64(heartbeatInterval)*growth), maxDemandInterval)
}
