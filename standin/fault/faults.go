package fault

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// silentConnTime is the time until a connection without a response is closed.
const silentConnTime = time.Hour

// Faults are the faults that are set; the zero value has none. Shares are from 0 to 1.
type Faults struct {
	DelayMS     int     `json:"delay-ms"`      // delay of each request before it is handled
	Slowdown    float64 `json:"slowdown"`      // factor on processing time; values below 1 have no effect
	Silent      bool    `json:"silent"`        // requests get no response
	Refuse      bool    `json:"refuse"`        // requests get status 503 and have no effect
	LoseAnswer  float64 `json:"lose-answer"`   // share of requests that take effect and get no response
	Unframed    bool    `json:"unframed"`      // answers have neither a length nor chunks and end with their connection
	CutAnswer   float64 `json:"cut-answer"`    // share of unframed answers that end after half of their body
	LateOrderMS int     `json:"late-order-ms"` // delay of each order before it takes effect
	LoseOrder   float64 `json:"lose-order"`    // share of orders that have no effect and get no response
}

// Set holds the faults of one stand-in. Wrap applies DelayMS, Refuse, Silent, LoseAnswer, Unframed and CutAnswer; the others are applied by
// the stand-ins that have orders or a processing time.
type Set struct {
	mu        sync.Mutex
	faults    Faults
	rng       *rand.Rand
	closed    chan struct{} // closed by Close
	closeOnce sync.Once
}

// New returns a set without faults; seed determines which requests are lost.
func New(seed uint64) *Set {
	return &Set{rng: rand.New(rand.NewPCG(seed, seed)), closed: make(chan struct{})}
}

// Close ends all waits that faults have caused.
func (s *Set) Close() { s.closeOnce.Do(func() { close(s.closed) }) }

// Get returns the current faults.
func (s *Set) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Put replaces the current faults.
func (s *Set) Put(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Draw returns true with the given probability; a probability of 0 uses no random number.
func (s *Set) Draw(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return probability > 0 && s.rng.Float64() < probability
}

// Wait sleeps for duration or until the set is closed.
func (s *Set) Wait(duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closed:
	}
}

// Wrap adds to a handler the control call /faults and the faults that concern any request; /faults itself is not
// subject to them.
func (s *Set) Wrap(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/faults" {
			s.handleControl(ctx)
			return
		}
		faults := s.Get()
		s.Wait(time.Duration(faults.DelayMS) * time.Millisecond)
		if faults.Refuse {
			ctx.Error("refused by fault", fasthttp.StatusServiceUnavailable)
			return
		}
		if faults.Silent {
			s.closeUnanswered(ctx, silentConnTime)
			return
		}
		next(ctx)
		if s.Draw(s.Get().LoseAnswer) {
			s.closeUnanswered(ctx, 0)
			return
		}
		if now := s.Get(); now.Unframed {
			s.answerUnframed(ctx, s.Draw(now.CutAnswer))
		}
	}
}

// answerUnframed has the answer sent without a length or chunks, all or half of its body.
func (s *Set) answerUnframed(ctx *fasthttp.RequestCtx, cut bool) {
	const noLength = -2
	body := append([]byte(nil), ctx.Response.Body()...)
	if cut {
		body = body[:len(body)/2]
	}
	ctx.Response.Header.SetContentLength(noLength)
	message := append(append([]byte(nil), ctx.Response.Header.Header()...), body...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _, _ = conn.Write(message) })
}

// closeUnanswered closes the connection without a response after a delay, or when the set is closed.
func (s *Set) closeUnanswered(ctx *fasthttp.RequestCtx, delay time.Duration) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) { s.Wait(delay) })
}

// handleControl returns the faults on GET and replaces them on any other method; keys that are left out clear their
// fault.
func (s *Set) handleControl(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		body, _ := json.Marshal(s.Get())
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
		return
	}
	var faults Faults
	decoder := json.NewDecoder(strings.NewReader(string(ctx.PostBody())))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		ctx.Error(fmt.Sprintf("faults: %v", err), fasthttp.StatusBadRequest)
		return
	}
	s.Put(faults)
}
