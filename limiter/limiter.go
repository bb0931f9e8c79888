package limiter

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gypsumbank/allowance"
)

// ErrExceeded reports that a customer has used up a limit of its plan.
var ErrExceeded = errors.New("plan limit exceeded")

// ExceededError holds the limit that was exceeded and the time after which a retry may succeed. It wraps ErrExceeded.
type ExceededError struct {
	Limit      string // key of the limit in the plan's section
	RetryAfter time.Duration
}

// Error returns a message with the limit and the time to wait.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("%s of the plan exceeded, try again in %s", e.Limit, e.RetryAfter.Round(time.Millisecond))
}

// Unwrap returns ErrExceeded.
func (e *ExceededError) Unwrap() error { return ErrExceeded }

// concurrencyRetryAfter is the time to wait for a customer that has too many concurrent requests.
const concurrencyRetryAfter = 500 * time.Millisecond

// Limiter counts the requests and tokens of each customer at one entry, which enforces its part of every limit.
type Limiter struct {
	mu        sync.Mutex
	customers map[string]*customer
}

type customer struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
	inFlight int // admitted requests that have not ended
}

// New returns a limiter in which no customer has used anything.
func New() *Limiter { return &Limiter{customers: map[string]*customer{}} }

// Begin admits a request of a customer, whose limits are divided evenly among entries. The error is an *ExceededError.
func (l *Limiter) Begin(name string, plan allowance.Plan, entries int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.getOrCreate(name)
	c.applyPlan(plan, entries)
	if c.inFlight >= entryShare(plan.ConcurrentRequests, entries) {
		return &ExceededError{Limit: "concurrent-requests", RetryAfter: concurrencyRetryAfter}
	}
	now := time.Now()
	if missing := 1 - c.tokens.TokensAt(now); missing > 0 {
		return &ExceededError{Limit: "tokens-per-minute", RetryAfter: refillTime(missing, c.tokens)}
	}
	if !c.requests.AllowN(now, 1) {
		return &ExceededError{Limit: "requests-per-second", RetryAfter: refillTime(1, c.requests)}
	}
	c.inFlight++
	return nil
}

// End records the end of a request that Begin admitted, and the tokens that it used.
func (l *Limiter) End(name string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.getOrCreate(name)
	c.inFlight--
	charge(c.tokens, tokens)
}

func (l *Limiter) getOrCreate(name string) *customer {
	c, ok := l.customers[name]
	if !ok {
		c = &customer{}
		l.customers[name] = c
	}
	return c
}

// applyPlan sets the rates to those of the plan, divided by the number of entries. Bursts are bounded by the requests
// of one second and the tokens of one minute.
func (c *customer) applyPlan(plan allowance.Plan, entries int) {
	entryCount := float64(max(1, entries))
	c.requests = withLimit(c.requests, plan.RequestsPerSecond/entryCount, plan.RequestsPerSecond/entryCount)
	c.tokens = withLimit(c.tokens, float64(plan.TokensPerMinute)/entryCount/60, float64(plan.TokensPerMinute)/entryCount)
}

// withLimit changes the limit of a limiter and keeps its balance; a nil limiter is created.
func withLimit(limiter *rate.Limiter, perSecond, burst float64) *rate.Limiter {
	limit, burstSize := rate.Limit(perSecond), max(1, int(math.Ceil(burst)))
	if limiter == nil {
		return rate.NewLimiter(limit, burstSize)
	}
	if limiter.Limit() != limit || limiter.Burst() != burstSize {
		limiter.SetLimit(limit)
		limiter.SetBurst(burstSize)
	}
	return limiter
}

// charge deducts tokens that are already used, which may make the balance negative. A single reservation can't exceed
// the burst size, so it takes as many as are needed.
func charge(limiter *rate.Limiter, tokens int) {
	for tokens > 0 {
		chunk := min(tokens, limiter.Burst())
		limiter.ReserveN(time.Now(), chunk)
		tokens -= chunk
	}
}

// refillTime returns the time in which the limiter gains the missing tokens.
func refillTime(missing float64, limiter *rate.Limiter) time.Duration {
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
}

// entryShare returns this entry's part of a limit, rounded up so that it is never 0.
func entryShare(limit, entries int) int {
	return (limit + max(1, entries) - 1) / max(1, entries)
}
