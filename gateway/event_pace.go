package gateway

import (
	"time"

	"gypsumbank/eventscan"
	"gypsumbank/fleet"
)

// recordedEvents is the number of events of a stream after which their pace is recorded, so that long streams count before they end.
const recordedEvents = 16

// eventPace measures in which time the events of an answer come, from the first one on.
type eventPace struct {
	assignment *fleet.Assignment
	scanner    *eventscan.Scanner
	counted    int           // events that have been seen
	lastAt     time.Time     // when the last of these came
	events     int           // that came since the last record
	took       time.Duration // from the event before them to the last of them
}

func newEventPace(assignment *fleet.Assignment) *eventPace {
	return &eventPace{assignment: assignment, scanner: eventscan.New()}
}

// add measures a part of the answer that has arrived.
func (p *eventPace) add(chunk []byte, now time.Time) {
	p.scanner.Scan(chunk)
	events := p.scanner.Events() - p.counted
	if events == 0 {
		return
	}
	if p.counted > 0 {
		p.events += events
		p.took += now.Sub(p.lastAt)
	}
	p.counted += events
	p.lastAt = now
	if p.events >= recordedEvents {
		p.record()
	}
}

// record records what has been measured since the last call.
func (p *eventPace) record() {
	p.assignment.RecordEvents(p.events, p.took)
	p.events, p.took = 0, 0
}
