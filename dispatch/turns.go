package dispatch

import (
	"maps"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/fleet"
	"gypsumbank/turns"
)

// TurnRequest asks an agent for a turn to have a long prompt prefilled.
type TurnRequest struct {
	Rank    turns.Rank
	Content uint64    // the same for each attempt of the caller
	GiveUp  time.Time // until when the request can wait
}

// TurnAnswer is what is known of a turn that was asked for.
type TurnAnswer struct {
	Kind TurnAnswerKind
	Wait time.Duration // until the grant, or for a refusal until there is room, as expected
}

// TurnAnswerKind is the kind of a TurnAnswer.
type TurnAnswerKind int

// The kinds of answers.
const (
	TurnGranted TurnAnswerKind = iota
	TurnWaits                  // the grant is expected after Wait
	TurnRefused                // there is none within the time that the request can wait
	TurnLost                   // the connection to the agent is lost
)

// Turn is a turn that was asked for. It must be ended.
type Turn struct {
	Answers <-chan TurnAnswer // holds the newest answer that was not read
	End     func()            // gives the turn back, or withdraws the request
}

const (
	// turnAnswerTime is the time within which an agent answers, and which it may be late with a turn that it has foretold.
	turnAnswerTime = 60 * time.Millisecond
	// turnMoveInterval is the interval at which a request that waits for a turn looks for a better holder.
	turnMoveInterval = 150 * time.Millisecond
	// turnMoveGain is the time that another holder must save.
	turnMoveGain = 100 * time.Millisecond
	// maxTurnMoves bounds the changes of the holder at which a request waits.
	maxTurnMoves = 3
	// resumedObjective is the objective of a stream that has broken off, whose caller sees a pause.
	resumedObjective = 300 * time.Millisecond
	// loggedTurnWait is the wait for a turn from which it is logged.
	loggedTurnWait = 100 * time.Millisecond
)

// turnWait is the wait of a request for a turn, at one holder after the other.
type turnWait struct {
	*Dispatch
	choice   fleet.Choice
	turn     Turn
	began    time.Time
	giveUp   time.Time // until when the request can wait at this holder
	answerBy time.Time // by when the next answer of the agent is due
	expected time.Time // when the grant is expected; zero if the agent has not foretold it
	moves    int
	refused  map[string]bool // holders that have no turn in time
	roomIn   time.Duration   // shortest wait until there is room, as refusals say; 0 without a refusal
}

// takePrefillTurn waits until the request may be sent to the chosen target, or another that has become better, as the target's
// agent lets few long prompts be prefilled at a time. A request that needs no turn, or whose agent does not answer, is sent by
// the estimates of this gateway. mayBegin is false if the choice is to be made anew, or the context has ended.
func (d *Dispatch) takePrefillTurn(choice fleet.Choice) (chosen fleet.Choice, mayBegin bool, refused *Refused) {
	if !d.needsPrefillTurn(choice) {
		return choice, true, nil
	}
	w := &turnWait{Dispatch: d, choice: choice, began: d.now(), refused: map[string]bool{}}
	for {
		outcome, ok := w.waitAtHolder()
		if !ok {
			return w.choice, true, nil
		}
		w.record(outcome)
		switch outcome {
		case turnGranted:
			if !d.fleet.AcceptsRequests(w.choice.Target) {
				w.turn.End()
				metrics.GetOrCreateCounter(`gypsumbank_gateway_turns_total{outcome="unused"}`).Inc()
				return w.choice, false, nil
			}
			d.turn = &w.turn
			return w.choice.AfterTurn(), true, nil
		case turnUnanswered:
			if d.now().After(w.giveUp) {
				return w.choice, false, &Refused{Reason: Overload, RetryAfter: max(w.roomIn, defaultRetryAfter)}
			}
			return w.choice, true, nil
		case turnEnded:
			return w.choice, false, nil
		case turnStopped:
			return w.choice, false, &Refused{Reason: Stopping, RetryAfter: StoppingRetryAfter}
		case turnMoved:
			w.moves++
		case turnRefused:
			next, ok := w.otherHolder()
			if !ok {
				return w.choice, false, &Refused{Reason: Overload, RetryAfter: w.roomIn}
			}
			w.choice = next
		}
	}
}

// needsPrefillTurn reports whether the request is to be sent to the chosen target in a turn.
func (d *Dispatch) needsPrefillTurn(choice fleet.Choice) bool {
	return d.request.Model != "" && choice.NeedsTurn() && d.fleet.UsesTurns()
}

// turnOutcome is how the wait at a holder has ended.
type turnOutcome string

const (
	turnGranted    turnOutcome = "granted"
	turnRefused    turnOutcome = "refused"
	turnUnanswered turnOutcome = "unanswered" // the agent is lost, or has not answered in time
	turnMoved      turnOutcome = "moved"      // to another holder
	turnEnded      turnOutcome = "ended"      // with the caller, or the time that it has
	turnStopped    turnOutcome = "stopped"    // as this process stops
)

// waitAtHolder asks for a turn at the chosen holder and waits for it. ok is false if its agent can't be asked.
func (w *turnWait) waitAtHolder() (outcome turnOutcome, ok bool) {
	now := w.now()
	prefill := w.choice.PrefillTime()
	w.giveUp = w.beginDeadline(w.choice).Add(-prefill - minResponseTime)
	request := TurnRequest{
		Rank:    turns.Rank{Priority: w.request.Priority, Objective: w.request.Arrived.Add(w.route.LatencyObjective), Prefill: prefill, Returned: w.returned, Customer: customerOf(w.request), Weight: w.request.CustomerWeight},
		Content: w.contents[len(w.contents)-1].Hash, GiveUp: w.giveUp,
	}
	if w.request.LastEventID != "" {
		request.Rank.Priority, request.Rank.Objective = 0, now.Add(prefill+resumedObjective)
	}
	if w.turn, ok = w.agents.AskTurn(w.choice.Target, request); !ok {
		return "", false
	}
	defer w.fleet.BeginTurnWait(w.choice)()
	w.answerBy, w.expected = now.Add(turnAnswerTime), time.Time{}
	outcome = w.await()
	if outcome != turnGranted && outcome != turnMoved {
		w.turn.End()
	}
	return outcome, true
}

// await waits for the answers of the agent until the wait at this holder ends. A wait that moves to another holder is withdrawn
// from this one first.
func (w *turnWait) await() turnOutcome {
	late := time.NewTimer(w.answerBy.Sub(w.now()))
	defer late.Stop()
	look := time.NewTicker(turnMoveInterval)
	defer look.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return turnEnded
		case <-w.stop.waitsOver:
			return turnStopped
		case <-late.C:
			return turnUnanswered
		case answer := <-w.turn.Answers:
			switch answer.Kind {
			case TurnGranted:
				return turnGranted
			case TurnLost:
				return turnUnanswered
			case TurnRefused:
				w.refused[w.choice.Target.ID] = true
				if w.roomIn == 0 || answer.Wait < w.roomIn {
					w.roomIn = answer.Wait
				}
				return turnRefused
			case TurnWaits:
				w.expected = w.now().Add(answer.Wait)
				late.Reset(answer.Wait + turnAnswerTime)
			}
		case <-look.C:
		}
		if w.move() {
			return turnMoved
		}
	}
}

// move changes to another holder at which the request would be served clearly sooner, if there is one, and withdraws the request
// from this one.
func (w *turnWait) move() bool {
	now := w.now()
	if w.moves >= maxTurnMoves || w.expected.IsZero() || w.expected.Sub(now) < turnMoveGain {
		return false
	}
	next, ok := w.otherHolder()
	if !ok || next.Expected+next.PrefillQueue+turnMoveGain > w.expected.Sub(now)+w.choice.PrefillTime() {
		return false
	}
	w.turn.End()
	w.choice = next
	return true
}

// otherHolder returns the best holder that has room, other than the current one and those without a turn in time.
func (w *turnWait) otherHolder() (fleet.Choice, bool) {
	now := w.now()
	exclude := maps.Clone(w.excluded)
	maps.Copy(exclude, w.refused)
	exclude[w.choice.Target.ID] = true
	next, ok := w.fleet.Choose(fleet.Query{Service: w.service, Request: w.request, Exclude: exclude, SoftwareVersion: w.streamVersion}, now)
	if !ok || next.LacksModel || next.LacksAdapter || !next.HasRoom || next.TurnWait > 0 || next.Expected+minResponseTime > w.beginDeadline(next).Sub(now) {
		return next, false
	}
	return next, true
}

// record counts how the wait at a holder has ended, and logs it unless it was short.
func (w *turnWait) record(outcome turnOutcome) {
	waited := w.now().Sub(w.began)
	metrics.GetOrCreateCounter(`gypsumbank_gateway_turns_total{outcome="` + string(outcome) + `"}`).Inc()
	if outcome == turnGranted {
		metrics.GetOrCreateHistogram(`gypsumbank_gateway_turn_wait_seconds{priority="` + strconv.Itoa(w.request.Priority) + `"}`).Update(waited.Seconds())
	}
	if outcome == turnGranted && waited < loggedTurnWait {
		return
	}
	w.log.WithFields(logrus.Fields{
		"outcome": outcome, "target": w.choice.Target.ID, "model": w.request.Model, "priority": w.request.Priority, "returned": w.returned,
		"waited-ms": waited.Milliseconds(), "prefill-ms": w.choice.PrefillTime().Milliseconds(), "room-in-ms": w.roomIn.Milliseconds(), "moves": w.moves,
		"objective-in-ms": w.request.Arrived.Add(w.route.LatencyObjective).Sub(w.now()).Milliseconds(), "left-ms": w.firstByteDeadline().Sub(w.now()).Milliseconds(),
		"report-age-ms": w.choice.ReportAge.Milliseconds(), "candidates": w.choice.Candidates,
	}).Info("wait for a prefill turn ends")
}

// endPrefillTurn gives the turn of the request back, if it has one: its first token has come, or it was not sent.
func (d *Dispatch) endPrefillTurn(sendsBefore int) {
	if d.turn == nil {
		return
	}
	d.turn.End()
	d.turn = nil
	if d.sendCount == sendsBefore {
		metrics.GetOrCreateCounter(`gypsumbank_gateway_turns_total{outcome="unused"}`).Inc()
	}
}
