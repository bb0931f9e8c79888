package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gypsumbank/pause"
	"gypsumbank/soak"
	"gypsumbank/standin/site"
)

// answerSeries are series of faults of targets that show in their answers.
var answerSeries = []func(*soakDeployment, context.Context){(*soakDeployment).spoilAnswers, (*soakDeployment).letTargetsLeave, (*soakDeployment).endTargets, (*soakDeployment).takeUpStreams}

// runHeader names the run of a target that has given an answer.
const runHeader = "X-Soak-Run"

// soakAnswers is how a target answers now.
type soakAnswers struct {
	mu     sync.Mutex
	faults answerFaults
	copies map[copyKey]string // of refusals, to be written before an answer to the same request on the same connection
}

// copyKey is a refused request on a connection.
type copyKey struct {
	conn      net.Conn
	requestID string
}

// answerFaults are the faults of a target's answers.
type answerFaults struct {
	leaving        bool          // says that it leaves
	rest           time.Duration // refuses and asks for a rest
	refuses        bool          // refuses every second request and writes the refusal once more before the answer to the next send
	cutHead        bool          // closes in the middle of the head of every second answer
	errorsOnResume bool          // answers a stream that is to go on with an error
	unframed       bool          // answers without a length or chunks, every third one in part
	slow           time.Duration // before an answer
	answered       int
}

// change replaces what a target does, but for whether it leaves.
func (a *soakAnswers) change(faults answerFaults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	faults.leaving = a.faults.leaving
	a.faults = faults
}

// slowness returns the pause before an answer.
func (a *soakAnswers) slowness() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults.slow
}

func (a *soakAnswers) setLeaving(leaving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.leaving = leaving
}

// next returns the faults of the next answer, and the copy of a refusal that comes before it.
func (a *soakAnswers) next(key copyKey) (faults answerFaults, refusalCopy string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.answered++
	refusalCopy = a.copies[key]
	delete(a.copies, key)
	return a.faults, refusalCopy
}

// keepCopy has a refusal be written again before the answer to the same request on the same connection.
func (a *soakAnswers) keepCopy(key copyKey, refusal string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.copies == nil {
		a.copies = map[copyKey]string{}
	}
	a.copies[key] = refusal
}

// respondFaulty answers a request if the target has a fault that concerns it; done is false if it is to be answered as usual.
func (s *soakDeployment) respondFaulty(target *soakTarget, conn net.Conn, seen *site.ReceivedRequest) (done, keepOpen bool) {
	id := seen.Header.Get("X-Gypsumbank-Request-Id")
	faults, refusalCopy := target.answers.next(copyKey{conn, id})
	run := fmt.Sprintf("%s/%d", target.id, target.Run())
	s.checker.RecordArrival(soak.Arrival{RequestID: id, Target: target.id, Run: run, At: time.Now(), Rest: faults.rest})
	_, _ = io.WriteString(conn, refusalCopy)
	seen.AnswerHeaders = runHeader + ": " + run + "\r\n"
	if faults.leaving {
		seen.AnswerHeaders += site.LeavingHeader
	}
	second := faults.answered%2 == 0
	refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Gypsumbank-Not-Executed: 1\r\n" + site.IdentityHeaders(seen)
	switch {
	case faults.rest > 0:
		_, err := fmt.Fprintf(conn, "%sRetry-After: %.3f\r\nContent-Length: 0\r\n\r\n", refusal, faults.rest.Seconds())
		return true, err == nil
	case faults.refuses && second:
		refusal += "Content-Length: 0\r\n\r\n"
		target.answers.keepCopy(copyKey{conn, id}, refusal)
		_, err := io.WriteString(conn, refusal)
		return true, err == nil
	case strings.Contains(seen.RequestLine, endingPath):
		s.checker.RecordRun(id)
		s.checker.RecordEnd(strings.Fields(seen.RequestLine)[1], id, time.Now())
		target.Crash(time.Duration(200+rand.IntN(300))*time.Millisecond, func() { s.registerTarget(target, "ready") })
		return true, false
	case faults.cutHead && second:
		s.checker.RecordRun(id)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+site.IdentityHeaders(seen)+"Content-Le")
		return true, false
	case faults.unframed:
		return true, s.respondUnframed(target, conn, seen, faults.answered%3 == 0)
	case faults.errorsOnResume && seen.Header.Get("Last-Event-Id") != "":
		s.checker.RecordRun(id)
		status := []int{http.StatusOK, http.StatusInternalServerError}[faults.answered%2]
		return true, site.TextResponse(status, "token-1-error\n\n")(conn, seen)
	}
	return false, false
}

// recordLeaving records what the header of an answer, which a gateway process has passed on, says of its target.
func (s *soakDeployment) recordLeaving(process string, header http.Header) {
	if header.Get("Server-Leaving") == "1" {
		s.checker.RecordLeaving(process, header.Get(runHeader), time.Now())
	}
}

// spoilAnswers has one target after the other ask for rests, cut heads or answer with errors for some seconds, or all targets refuse, so
// that some are asked again, until ctx ends.
func (s *soakDeployment) spoilAnswers(ctx context.Context) {
	rng := s.seriesRand(20)
	for turn := rng.IntN(4); ctx.Err() == nil; turn++ {
		target := s.targets[rng.IntN(len(s.targets))]
		duration := between(rng, time.Second, 3*time.Second)
		rest := between(rng, 700*time.Millisecond, 2500*time.Millisecond).Round(time.Millisecond)
		faults := []answerFaults{{rest: rest}, {refuses: true}, {cutHead: true}, {errorsOnResume: true}}[turn%4]
		spoiled := []*soakTarget{target}
		if faults.refuses {
			spoiled = s.targets
		}
		for _, each := range spoiled {
			s.logFault("%s answers with %+v for %s", each.id, faults, duration)
			each.answers.change(faults)
		}
		_ = pause.For(ctx, duration)
		for _, each := range spoiled {
			each.answers.change(answerFaults{})
		}
	}
}

// letTargetsLeave has one target after the other say in its answers, and nowhere else, that it leaves, and then start again, until
// ctx ends.
func (s *soakDeployment) letTargetsLeave(ctx context.Context) {
	rng := s.seriesRand(21)
	for pause.For(ctx, between(rng, 200*time.Millisecond, time.Second)) == nil {
		target := s.targets[rng.IntN(len(s.targets))]
		s.logFault("%s says that it leaves", target.id)
		target.answers.setLeaving(true)
		_ = pause.For(ctx, between(rng, 3500*time.Millisecond, 5*time.Second))
		target.answers.setLeaving(false)
		target.Restart()
		s.registerTarget(target, "ready")
	}
}

// endingPath is the begin of the paths of requests under which plain targets end.
const endingPath = "/safe/ends-targets"

// endTargets sends a request under which targets end to random gateways, again and again, until ctx ends.
func (s *soakDeployment) endTargets(ctx context.Context) {
	rng := s.seriesRand(22)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	gateways := s.nodes[len(s.nodes)-s.size*gatewaysPerSize:]
	for ctx.Err() == nil {
		gateway := gateways[rng.IntN(len(gateways))]
		id := "e" + strconv.FormatInt(s.lastRequestID.Add(1), 10)
		_, process := gateway.currentProcess()
		s.checker.RecordRequest(id, false)
		s.checker.RecordSender(id, process, time.Now(), routeTimeout)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway.listenAddress+endingPath, nil)
		if err != nil {
			s.checker.RecordViolation("create request: %v", err)
			return
		}
		request.Host = "callers.example"
		request.Header.Set("X-Gypsumbank-Request-Id", id)
		if response, err := client.Do(request); err == nil {
			response.Body.Close()
		}
		_ = pause.For(ctx, 250*time.Millisecond)
	}
}
