package limiter_test

import (
	"errors"
	"testing"

	"gypsumbank/allowance"
	"gypsumbank/limiter"
)

func TestLimits(t *testing.T) {
	plan := allowance.Plan{RequestsPerSecond: 10, ConcurrentRequests: 4, TokensPerMinute: 600}
	tests := map[string]struct {
		entries  int
		tokens   int // tokens that each request uses before the next begins; none ends if negative
		admitted int
		limit    string
	}{
		"concurrency at one entry":        {1, -1, 4, "concurrent-requests"},
		"concurrency spread over two":     {2, -1, 2, "concurrent-requests"},
		"requests a second at one entry":  {1, 0, 10, "requests-per-second"},
		"requests a second over two":      {2, 0, 5, "requests-per-second"},
		"tokens a minute":                 {1, 200, 3, "tokens-per-minute"},
		"tokens a minute, spread":         {2, 200, 2, "tokens-per-minute"},
		"one request beyond a whole debt": {1, 5000, 1, "tokens-per-minute"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := limiter.New()
			var err error
			admitted := 0
			for ; err == nil; admitted++ {
				if err = l.Begin("customer", plan, test.entries); err == nil && test.tokens >= 0 {
					l.End("customer", test.tokens)
				}
			}
			var exceeded *limiter.ExceededError
			if !errors.As(err, &exceeded) || !errors.Is(err, limiter.ErrExceeded) {
				t.Fatal(err)
			}
			if admitted-1 != test.admitted || exceeded.Limit != test.limit {
				t.Errorf("%d admitted, then %v", admitted-1, err)
			}
			if exceeded.RetryAfter <= 0 {
				t.Errorf("retry after %s", exceeded.RetryAfter)
			}
			if err := l.Begin("other", plan, test.entries); err != nil {
				t.Errorf("another customer: %v", err)
			}
		})
	}
}
