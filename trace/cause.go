package trace

import (
	"fmt"
	"time"
)

// notableGap is a pause within an answer that a person notices.
const notableGap = 300 * time.Millisecond

// end returns how the request ended in a few words.
func (t *Trace) end() string {
	last := t.own[len(t.own)-1]
	switch last.text {
	case "answer ends":
		if last.field("whole") == "true" {
			return "served whole with status " + last.field("status")
		}
		return "answer not whole"
	case "not served", "refused":
		return fmt.Sprintf("refused with status %s (%s)", last.field("status"), last.field("reason"))
	}
	return last.text
}

// Cause tells in one sentence why the request ended as it did, or took as long as it did.
func (t *Trace) Cause() string {
	last := t.own[len(t.own)-1]
	switch last.text {
	case "answer ends":
		return t.causeOfTime(last)
	case "not served", "refused":
		return t.causeOfRefusal(last)
	case "caller left":
		return fmt.Sprintf("the caller left after %s; until then %s", last.ms("took-ms"), t.lastStep())
	case "answer cut at the timeout":
		return fmt.Sprintf("the route's timeout came after %s; until then %s", last.ms("took-ms"), t.lastStep())
	case "answer broken off":
		return fmt.Sprintf("target %s broke the answer off: %s%s", last.field("target"), last.field("error"), t.changeOf(last.field("target")))
	}
	return "the logs hold no end of the request; the last is " + last.text
}

// lastStep describes what the request had come to before its end.
func (t *Trace) lastStep() string {
	for i := len(t.own) - 2; i >= 0; i-- {
		if l := t.own[i]; l.text != "answer ends" {
			return fmt.Sprintf("%s (%s)%s", l.text, l.inputs(), t.changeOf(l.field("target")))
		}
	}
	return "no target had begun to answer"
}

func (t *Trace) causeOfRefusal(last line) string {
	cause := fmt.Sprintf("reason %s after %s", last.field("reason"), last.ms("took-ms"))
	for _, l := range t.own[:len(t.own)-1] {
		cause += fmt.Sprintf("; %s", l.text)
		if target := l.field("target"); target != "" {
			cause += " " + target + t.changeOf(target)
		}
		if problem := l.field("error"); problem != "" {
			cause += ": " + problem
		}
	}
	if model := last.field("model"); model != "" {
		cause += t.loadsOf(model)
	}
	return cause
}

// causeOfTime names the longest part of the time of a request that was answered.
func (t *Trace) causeOfTime(last line) string {
	var first line
	for _, l := range t.own {
		if l.text == "answer begins" {
			first = l
		}
	}
	waited, took, gap := first.ms("waited-ms"), first.ms("took-ms"), last.ms("longest-gap-ms")
	parts := fmt.Sprintf("%s before it was sent, %s to the first byte of target %s where %s was expected, longest pause %s",
		waited, took, first.field("target"), first.ms("expected-ms"), gap)
	switch {
	case waited > took && waited > gap:
		return parts + "; it waited at the gateway for a model or for another try" + t.loadsOf(last.field("model"))
	case took >= gap:
		return parts + "; the target's queue and the prompt (" + first.field("unread") + " tokens to read) took most" + t.changeOf(first.field("target"))
	case gap >= notableGap:
		return parts + "; the target paused within the answer, as when it reads other prompts" + t.changeOf(first.field("target"))
	}
	return parts
}

// changeOf tells the last change of a target that the logs hold.
func (t *Trace) changeOf(target string) string {
	change := ""
	for _, l := range t.around {
		if l.field("target") == target {
			change = fmt.Sprintf(" (%d ms: %s)", l.at.Sub(t.begun()).Milliseconds(), l.text)
		}
	}
	return change
}

// loadsOf tells of the loads of a model while the request was under way.
func (t *Trace) loadsOf(model string) string {
	loads := ""
	for _, l := range t.around {
		if l.field("model") == model && model != "" {
			loads += fmt.Sprintf("; %d ms: %s at %s %s", l.at.Sub(t.begun()).Milliseconds(), l.text, l.field("target"), l.field("error"))
		}
	}
	return loads
}
