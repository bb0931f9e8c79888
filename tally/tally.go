package tally

import (
	"math"
	"time"
)

// MinGateways is the number of gateways from which each is told what the others have seen, as with that from which their choices are spread
// (package fleet). A few gateways that share their answers all leave an engine at the same moment.
const MinGateways = 7

const (
	// failureTimeConstant and slownessTimeConstant are the time constants with which reports decay. They are shorter than those of the answers
	// that a gateway has seen itself: all gateways avoid the target until the reports have decayed, and together they see enough answers.
	failureTimeConstant  = 1500 * time.Millisecond
	slownessTimeConstant = time.Second
	// priorServed and priorFirstByteMs are the prior of both averages, as in package fleet: complete answers, and first bytes on time worth
	// this many ms of expected time.
	priorServed      = 5
	priorFirstByteMs = 100
	// maxGatewayAnswers and maxGatewayExpectedMs bound the weight of what one gateway reports, and maxGatewayFailed and maxGatewayExcessMs that
	// of its failures and of its late first bytes.
	maxGatewayAnswers    = 3
	maxGatewayExpectedMs = 600
	maxGatewayFailed     = 1
	maxGatewayExcessMs   = 600
	// maxAnswers and maxExpectedMs bound the weight of all reports, so that a target is tried again after about the same time however many
	// answers have failed or were late at the same moment. They are the answers of 1.3 s, and the first bytes of some 3 s, at twice the usual
	// load of an engine.
	maxAnswers    = 8
	maxExpectedMs = 1600
	// maxZoneFailed and maxZoneExcessMs bound the weight of all gateways of one zone for those of other zones: a fault between a zone and
	// the target concerns only callers of that zone.
	maxZoneFailed   = 0.5
	maxZoneExcessMs = 450
	// singleGatewayShare is the part of the reports of the gateway with the most failures, or the slowest answers, that counts. Its own link
	// may be at fault; a second gateway that sees the same confirms it.
	singleGatewayShare = 0.5
	// minErrorRate and minSlowness are the least estimates that are worth a message; below them a target is as good as others.
	minErrorRate = 0.02
	minSlowness  = 1.2
	// forgottenAfter is the age of the last report of a gateway at which it is forgotten; its weight is then below 1 in 100.
	forgottenAfter = 5 * failureTimeConstant
)

// Report is what a gateway has seen of a target's answers since its last report.
type Report struct {
	Served, Failed     int
	TookMs, ExpectedMs float64 // sums of the measured times to the first byte, and of those expected of a target of usual speed
}

// IsEmpty reports whether there was no answer.
func (r Report) IsEmpty() bool { return r == Report{} }

// Run identifies one start of a target's process.
type Run struct {
	TargetID string
	Born     int64
}

// Estimate is what the other gateways' reports tell of a target, rounded to hundredths and tenths. The zero value is that of a target without
// failures or slowness.
type Estimate struct {
	ErrorRate float64 // expected share of answers that fail; 0 if it is below what is worth a message
	Slowness  float64 // factor by which first bytes take longer than expected; 0 if it is below what is worth a message
}

// Tally holds the decaying sums of the reports of each gateway on one run of a target.
type Tally struct {
	run      Run
	gateways map[string]*sums // by name
}

// sums holds the decaying sums of the reports of one gateway.
type sums struct {
	zone               string
	served, failed     float64
	tookMs, expectedMs float64
	updatedAt          time.Time
}

// New returns a tally without reports.
func New() *Tally { return &Tally{gateways: map[string]*sums{}} }

// Begin drops all reports if the target's process is another run than before.
func (t *Tally) Begin(run Run) {
	if t.run != run {
		t.run = run
		clear(t.gateways)
	}
}

// Add adds the report of a gateway, which is in a zone. A report on another run than the current one is ignored.
func (t *Tally) Add(gateway, zone string, run Run, report Report, now time.Time) {
	if run != t.run || report.IsEmpty() {
		return
	}
	t.forgetOld(now)
	s := t.gateways[gateway]
	if s == nil {
		s = &sums{updatedAt: now}
		t.gateways[gateway] = s
	}
	*s = s.at(now)
	s.zone = zone
	s.served += float64(report.Served)
	s.failed += float64(report.Failed)
	s.tookMs += report.TookMs
	s.expectedMs += report.ExpectedMs
	s.limit(maxGatewayAnswers, maxGatewayExpectedMs, s.served+s.failed, s.expectedMs)
	t.limit(now)
}

// limit bounds the weight of all reports.
func (t *Tally) limit(now time.Time) {
	answers, expectedMs := 0.0, 0.0
	for _, each := range t.gateways {
		s := each.at(now)
		answers += s.served + s.failed
		expectedMs += s.expectedMs
	}
	for _, each := range t.gateways {
		each.limit(maxAnswers, maxExpectedMs, answers, expectedMs)
	}
}

// limit scales the sums by what the given total weights exceed their bounds.
func (s *sums) limit(maxAnswers, maxExpectedMs, answers, expectedMs float64) {
	if answers > maxAnswers {
		s.served, s.failed = s.served*maxAnswers/answers, s.failed*maxAnswers/answers
	}
	if expectedMs > maxExpectedMs {
		s.tookMs, s.expectedMs = s.tookMs*maxExpectedMs/expectedMs, s.expectedMs*maxExpectedMs/expectedMs
	}
}

// forgetOld removes the gateways whose reports have decayed.
func (t *Tally) forgetOld(now time.Time) {
	for gateway, s := range t.gateways {
		if now.Sub(s.updatedAt) >= forgottenAfter {
			delete(t.gateways, gateway)
		}
	}
}

// at returns the sums decayed to a time.
func (s sums) at(now time.Time) sums {
	age := float64(max(0, now.Sub(s.updatedAt)))
	failuresLeft, slownessLeft := math.Exp(-age/float64(failureTimeConstant)), math.Exp(-age/float64(slownessTimeConstant))
	s.served, s.failed = s.served*failuresLeft, s.failed*failuresLeft
	s.tookMs, s.expectedMs = s.tookMs*slownessLeft, s.expectedMs*slownessLeft
	s.updatedAt = now
	return s
}

// bounded is a sum over gateways that neither a single gateway nor those of a single other zone dominate.
type bounded struct {
	sum, largest float64
	byZone       map[string]float64
}

func (b *bounded) add(part float64, zone string) {
	if b.byZone == nil {
		b.byZone = map[string]float64{}
	}
	b.sum += part
	b.largest = max(b.largest, part)
	b.byZone[zone] += part
}

// value returns the sum for a gateway in a zone, with at most maxOfZone of each other one. It is the less of two bounded sums, so that a
// further failure never lowers it.
func (b *bounded) value(zone string, maxOfZone float64) float64 {
	ofZones := 0.0
	for name, part := range b.byZone {
		if name != zone {
			part = min(part, maxOfZone)
		}
		ofZones += part
	}
	return min(ofZones, b.sum-(1-singleGatewayShare)*b.largest)
}

// Others returns what the reports of all gateways but one tell that one, which is in a zone.
func (t *Tally) Others(gateway, zone string, now time.Time) Estimate {
	return t.estimate(now, func(name string) bool { return name != gateway }, func(failed, excessMs *bounded) (float64, float64) {
		return failed.value(zone, maxZoneFailed), excessMs.value(zone, maxZoneExcessMs)
	})
}

// All returns what the reports of all gateways tell, of whatever zones.
func (t *Tally) All(now time.Time) Estimate {
	return t.estimate(now, func(string) bool { return true }, func(failed, excessMs *bounded) (float64, float64) {
		return failed.value("", math.Inf(1)), excessMs.value("", math.Inf(1))
	})
}

// estimate returns the averages over the gateways that are included, with their prior and rounded for messages.
func (t *Tally) estimate(now time.Time, includes func(gateway string) bool, bound func(failed, excessMs *bounded) (float64, float64)) Estimate {
	served, expectedMs := 0.0, 0.0
	var failed, excessMs bounded
	for name, each := range t.gateways {
		if !includes(name) {
			continue
		}
		s := each.at(now)
		served += s.served
		expectedMs += s.expectedMs
		failed.add(min(s.failed, maxGatewayFailed), s.zone)
		excessMs.add(min(s.tookMs-s.expectedMs, maxGatewayExcessMs), s.zone)
	}
	failures, lateMs := bound(&failed, &excessMs)
	var e Estimate
	if rate := math.Round(100*failures/(failures+served+priorServed)) / 100; rate >= minErrorRate {
		e.ErrorRate = rate
	}
	if slowness := math.Round(10*(1+lateMs/(expectedMs+priorFirstByteMs))) / 10; slowness >= minSlowness {
		e.Slowness = slowness
	}
	return e
}
