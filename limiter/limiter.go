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

// ExceededError names the limit and when to try again, and wraps ErrExceeded.
type ExceededError struct {
	Limit      string
	RetryAfter time.Duration
}

// Error returns the limit and the time to wait.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("%s of the plan exceeded, try again in %s", e.Limit, e.RetryAfter.Round(time.Millisecond))
}

// Unwrap returns ErrExceeded.
func (e *ExceededError) Unwrap() error { return ErrExceeded }

const concurrencyRetry = 500 * time.Millisecond

// Limiter counts the requests and tokens of customers at one entry, which enforces its part of each limit.
type Limiter struct {
	mu        sync.Mutex
	customers map[string]*customer
}

type customer struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
	active   int
}

// New returns a limiter without counts.
func New() *Limiter { return &Limiter{customers: map[string]*customer{}} }

// Begin admits a request of a customer, whose limits are spread evenly over entries, or returns an error that wraps
// ErrExceeded.
func (l *Limiter) Begin(name string, plan allowance.Plan, entries int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.get(name)
	c.adjust(plan, entries)
	if c.active >= share(plan.ConcurrentRequests, entries) {
		return &ExceededError{Limit: "concurrent-requests", RetryAfter: concurrencyRetry}
	}
	now := time.Now()
	if missing := 1 - c.tokens.TokensAt(now); missing > 0 {
		return &ExceededError{Limit: "tokens-per-minute", RetryAfter: wait(missing, c.tokens)}
	}
	if !c.requests.AllowN(now, 1) {
		return &ExceededError{Limit: "requests-per-second", RetryAfter: wait(1, c.requests)}
	}
	c.active++
	return nil
}

// End ends a request that Begin admitted and counts the tokens that it used.
func (l *Limiter) End(name string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.get(name)
	c.active--
	spend(c.tokens, tokens)
}

func (l *Limiter) get(name string) *customer {
	c, ok := l.customers[name]
	if !ok {
		c = &customer{}
		l.customers[name] = c
	}
	return c
}

func (c *customer) adjust(plan allowance.Plan, entries int) {
	part := float64(max(1, entries))
	c.requests = adjusted(c.requests, plan.RequestsPerSecond/part, plan.RequestsPerSecond/part)
	c.tokens = adjusted(c.tokens, float64(plan.TokensPerMinute)/part/60, float64(plan.TokensPerMinute)/part)
}

func adjusted(limiter *rate.Limiter, perSecond, burst float64) *rate.Limiter {
	limit, size := rate.Limit(perSecond), max(1, int(math.Ceil(burst)))
	if limiter == nil {
		return rate.NewLimiter(limit, size)
	}
	if limiter.Limit() != limit || limiter.Burst() != size {
		limiter.SetLimit(limit)
		limiter.SetBurst(size)
	}
	return limiter
}

// spend takes tokens that are already used, which may leave the limiter in debt.
func spend(limiter *rate.Limiter, tokens int) {
	for tokens > 0 {
		part := min(tokens, limiter.Burst())
		limiter.ReserveN(time.Now(), part)
		tokens -= part
	}
}

func wait(missing float64, limiter *rate.Limiter) time.Duration {
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
}

func share(limit, entries int) int {
	return (limit + max(1, entries) - 1) / max(1, entries)
}
