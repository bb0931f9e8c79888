package dispatch

import (
	"time"

	"gypsumbank/fleet"
)

// beginDeadline returns until when the answer of the chosen target has to begin: its caller waits for the first byte no longer, and where there
// are many gateways, its expected tokens must fit in the time after that. An answer that is cut at the deadline helps nobody and takes the
// engine's time from others; after a restart of everything many callers come back with little time left.
func (d *Dispatch) beginDeadline(choice fleet.Choice) time.Time {
	by := d.firstByteDeadline()
	if d.request.LastEventID != "" || !d.fleet.UsesTurns() {
		return by
	}
	generation := d.fleet.GenerationTime(choice.Target.ID, d.request, d.request.ExpectedOutputTokens(), d.now())
	if begin := d.deadline.Add(-generation); begin.Before(by) {
		return begin
	}
	return by
}

// firstByteDeadline returns until when the caller waits for the answer to begin.
func (d *Dispatch) firstByteDeadline() time.Time {
	patience := d.route.StreamPatience()
	if patience == 0 || d.request.LastEventID != "" {
		return d.deadline
	}
	if by := d.request.Arrived.Add(patience); by.Before(d.deadline) {
		return by
	}
	return d.deadline
}
