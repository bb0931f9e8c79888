package trace

import (
	"fmt"
	"time"

	"gypsumbank/completeness"
)

// noticeablePause is the shortest pause within an answer that a person notices.
const noticeablePause = 300 * time.Millisecond

// outcome returns a short description of how the request ended.
func (t *Trace) outcome() string {
	last := t.requestLines[len(t.requestLines)-1]
	switch last.message {
	case "answer ends":
		switch {
		case last.field("whole") == "true":
			return "served completely with status " + last.field("status")
		case last.field("completeness") == completeness.Unproven.String():
			return "served with status " + last.field("status") + " up to the end of the target's connection, which does not show that the answer is whole"
		}
		return "answer incomplete"
	case "not served", "refused":
		return fmt.Sprintf("refused with status %s (%s)", last.field("status"), last.field("reason"))
	}
	return last.message
}

// Cause returns one sentence that explains the outcome of the request or, if it was answered, how its time was spent.
func (t *Trace) Cause() string {
	last := t.requestLines[len(t.requestLines)-1]
	switch last.message {
	case "answer ends":
		return t.causeOfDuration(last)
	case "not served", "refused":
		return t.causeOfRefusal(last)
	case "caller left":
		return fmt.Sprintf("the caller left after %s; until then %s", last.duration("took-ms"), t.lastStep())
	case "answer cut at the timeout":
		return fmt.Sprintf("the route's timeout expired after %s; until then %s", last.duration("took-ms"), t.lastStep())
	case "answer cut at the end of the grace":
		return fmt.Sprintf("the gateway stopped and its grace was over %s after the request arrived; until then %s", last.duration("took-ms"), t.lastStep())
	case "answer broken off":
		return fmt.Sprintf("target %s broke off the answer: %s%s", last.field("target"), last.field("error"), t.lastChangeOf(last.field("target")))
	}
	return "the logs do not show the end of the request; its last line is " + last.message
}

// lastStep describes the last line about the request before its end, with the last change of the line's target.
func (t *Trace) lastStep() string {
	for i := len(t.requestLines) - 2; i >= 0; i-- {
		if l := t.requestLines[i]; l.message != "answer ends" {
			return fmt.Sprintf("%s (%s)%s", l.message, l.inputs(), t.lastChangeOf(l.field("target")))
		}
	}
	return "no target had started to answer"
}

// causeOfRefusal returns the reason of a refusal, the attempts before it and the loads of the model.
func (t *Trace) causeOfRefusal(last logLine) string {
	cause := fmt.Sprintf("reason %s after %s", last.field("reason"), last.duration("took-ms"))
	for _, earlier := range t.requestLines[:len(t.requestLines)-1] {
		cause += fmt.Sprintf("; %s", earlier.message)
		if target := earlier.field("target"); target != "" {
			cause += " " + target + t.lastChangeOf(target)
		}
		if errText := earlier.field("error"); errText != "" {
			cause += ": " + errText
		}
	}
	if model := last.field("model"); model != "" {
		cause += t.loadEventsOf(model)
	}
	return cause
}

// causeOfDuration returns how long a request that was answered waited, took to its first byte and paused, and explains
// the longest of these.
func (t *Trace) causeOfDuration(last logLine) string {
	var answerBegins, goesOn logLine
	for _, l := range t.requestLines {
		switch l.message {
		case "answer begins":
			answerBegins = l
		case "stream goes on at its copy":
			goesOn = l
		}
	}
	waited, firstByte, longestPause := answerBegins.duration("waited-ms"), answerBegins.duration("took-ms"), last.duration("longest-gap-ms")
	summary := fmt.Sprintf("%s before it was sent, %s to the first byte of target %s where %s was expected, longest pause %s",
		waited, firstByte, answerBegins.field("target"), answerBegins.duration("expected-ms"), longestPause)
	switch {
	case waited > firstByte && waited > longestPause:
		return summary + "; it waited at the gateway for a model or a retry" + t.loadEventsOf(last.field("model"))
	case firstByte >= longestPause:
		return summary + "; the target's queue and the prefill (" + answerBegins.field("unread") + " tokens) took longest" + t.lastChangeOf(answerBegins.field("target"))
	case goesOn.message != "":
		return summary + "; target " + goesOn.field("from") + " broke off and the stream went on at its copy, target " + goesOn.field("to") + t.lastChangeOf(goesOn.field("from"))
	case longestPause >= noticeablePause:
		return summary + "; the target paused within the answer, as it does while it prefills other prompts" + t.lastChangeOf(answerBegins.field("target"))
	}
	return summary
}

// lastChangeOf describes the last related line about a target, with its time from the start of the request, or returns
// "" if there is none.
func (t *Trace) lastChangeOf(target string) string {
	lastChange := ""
	for _, l := range t.relatedLines {
		if l.field("target") == target {
			lastChange = fmt.Sprintf(" (%d ms: %s)", l.time.Sub(t.startTime()).Milliseconds(), l.message)
		}
	}
	return lastChange
}

// loadEventsOf describes the related lines about a model, such as its loads, with their times from the start of the
// request.
func (t *Trace) loadEventsOf(model string) string {
	events := ""
	for _, l := range t.relatedLines {
		if l.field("model") == model && model != "" {
			events += fmt.Sprintf("; %d ms: %s at %s %s", l.time.Sub(t.startTime()).Milliseconds(), l.message, l.field("target"), l.field("error"))
		}
	}
	return events
}
