package gateway

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumbank/wire"
)

// relayRequestTTL is that of the agents.
const relayRequestTTL = 3 * time.Second

// TestFewGatewaysSendTheDemandWithEachHeartbeat guards against heartbeats of at most 8 gateways that lack the demand or come at other times than
// every 250 ms.
func TestFewGatewaysSendTheDemandWithEachHeartbeat(t *testing.T) {
	t.Parallel()
	for gateways := 1; gateways <= maxGatewaysForFastHeartbeat; gateways++ {
		var schedule demandSchedule
		now := time.Unix(1000, 0)
		for range 20 {
			if !schedule.take(gateways, false, now) || schedule.wait(gateways, now) != 250*time.Millisecond {
				t.Fatalf("%d gateways: a heartbeat lacks the demand, or the next follows after %s", gateways, schedule.wait(gateways, now))
			}
			now = now.Add(time.Millisecond)
		}
	}
}

// TestDemandIsSentInTime guards against a demand that an agent misses for so long that it ends the reads of the store, against heartbeats that come
// so late that a gateway counts as gone, and against demand that is sent more often since requests cause heartbeats.
func TestDemandIsSentInTime(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{9, 10, 30, 62, 100, 410, 5000} {
		for _, pushesPerS := range []float64{0, 0.3, 5, 50} {
			var schedule demandSchedule
			random := rand.New(rand.NewPCG(1, uint64(gateways)))
			start := time.Unix(1000, 0)
			demandAt, now, sent := start, start, 0
			for now.Sub(start) < time.Minute {
				if schedule.take(gateways, false, now) {
					demandAt, sent = now, sent+1
				}
				wait := schedule.wait(gateways, now)
				if wait > heartbeatInterval {
					t.Fatalf("%d gateways: %s between heartbeats", gateways, wait)
				}
				if pushesPerS > 0 {
					wait = min(wait, time.Duration(random.ExpFloat64()/pushesPerS*float64(time.Second)))
				}
				now = now.Add(wait)
				if age := now.Sub(demandAt); age > relayRequestTTL-500*time.Millisecond {
					t.Fatalf("%d gateways, %.1f other heartbeats a second: the demand is %s old", gateways, pushesPerS, age)
				}
			}
			if most := int(time.Minute/demandInterval(gateways)) + 1; sent > most {
				t.Errorf("%d gateways, %.1f other heartbeats a second: the demand was sent %d times in a minute, want at most %d", gateways, pushesPerS, sent, most)
			}
			if now = now.Add(time.Millisecond); !schedule.take(gateways, true, now) {
				t.Errorf("%d gateways: an urgent heartbeat lacks the demand", gateways)
			}
		}
	}
}

// TestDemandBytesByGateways counts what an agent that reads the store receives from 30 and 100 gateways with demand for 10 models each, beside an engine
// with 19 requests a second that cause three heartbeats each. Demand with each heartbeat would grow with the number of gateways.
func TestDemandBytesByGateways(t *testing.T) {
	t.Parallel()
	received := func(gateways int, isScheduled bool) float64 {
		const played, pushesPerS = time.Minute, 3 * 19
		random := rand.New(rand.NewPCG(1, 2))
		bytes := 0
		for i := range gateways {
			var schedule demandSchedule
			for now := time.Duration(0); now < played; {
				at := time.Unix(1000, 0).Add(now)
				update := &wire.WatcherUpdate{Node: fmt.Sprintf("frontend-%03d", i), KeepsHoldings: true, KeepsTargets: true, ReadsPackedParts: isScheduled, KeepsLists: isScheduled}
				wait := heartbeatInterval
				update.HasDemand = true
				if isScheduled {
					update.HasDemand = schedule.take(gateways, false, at)
					wait = schedule.wait(gateways, at)
				}
				for m := 0; m < 10 && update.GetHasDemand(); m++ {
					update.Demand = append(update.Demand, &wire.ModelDemand{Service: "engines", Model: fmt.Sprintf("model%05x", m), Work: 17.5})
				}
				bytes += proto.Size(update)
				now += min(wait, time.Duration(random.ExpFloat64()*float64(gateways)/pushesPerS*float64(time.Second)))
			}
		}
		return float64(bytes) / played.Seconds()
	}
	for _, gateways := range []int{10, 30, 100} {
		t.Logf("%d gateways: %.0f B/s with demand in each heartbeat, %.0f B/s by the schedule", gateways, received(gateways, false), received(gateways, true))
	}
	few, many := received(30, true), received(100, true)
	if most := few * 100 / 30; many > most {
		t.Errorf("%.0f B/s from 100 gateways, want at most %.0f: %.0f from 30, by the number of gateways", many, most, few)
	}
	t.Logf("growth from 30 to 100 gateways: %.2f, the square root of their number %.2f", many/few, math.Sqrt(100.0/30))
}
