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

const silentConnTime = time.Hour

// Faults are the faults in force; the zero value has none.
type Faults struct {
	DelayMS     int     `json:"delay-ms"`      // added before each answer
	Slowdown    float64 `json:"slowdown"`      // factor on processing time, none below 1
	Silent      bool    `json:"silent"`        // requests get no answer
	Refuse      bool    `json:"refuse"`        // requests get status 503 and have no effect
	LoseAnswer  float64 `json:"lose-answer"`   // share of answers lost after the effect
	LateOrderMS int     `json:"late-order-ms"` // orders take effect after this time
	LoseOrder   float64 `json:"lose-order"`    // share of orders that have no effect and no answer
}

// Set is the changeable set of faults of one stand-in.
type Set struct {
	mu        sync.Mutex
	faults    Faults
	rng       *rand.Rand
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns a set without faults whose draws follow from seed.
func New(seed uint64) *Set {
	return &Set{rng: rand.New(rand.NewPCG(seed, seed)), closed: make(chan struct{})}
}

// Close ends all waits that faults have caused.
func (s *Set) Close() { s.closeOnce.Do(func() { close(s.closed) }) }

// Get returns the faults in force.
func (s *Set) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Put replaces the faults in force.
func (s *Set) Put(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Draw returns true with the given probability.
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

// Wrap wraps a handler with the control call /faults and the faults of answers.
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
		}
	}
}

// closeUnanswered closes the connection after a time without an answer.
func (s *Set) closeUnanswered(ctx *fasthttp.RequestCtx, delay time.Duration) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) { s.Wait(delay) })
}

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
