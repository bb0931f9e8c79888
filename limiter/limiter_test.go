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
		entries          int
		tokensPerRequest int // used by each request, which ends before the next begins; if negative, no request ends
		wantAdmitted     int
		wantLimit        string
	}{
		"concurrent requests at one entry":                {1, -1, 4, "concurrent-requests"},
		"concurrent requests at two entries":              {2, -1, 2, "concurrent-requests"},
		"requests per second at one entry":                {1, 0, 10, "requests-per-second"},
		"requests per second at two entries":              {2, 0, 5, "requests-per-second"},
		"tokens per minute at one entry":                  {1, 200, 3, "tokens-per-minute"},
		"tokens per minute at two entries":                {2, 200, 2, "tokens-per-minute"},
		"request that uses more tokens than a full burst": {1, 5000, 1, "tokens-per-minute"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := limiter.New()
			var err error
			attempts := 0
			for ; err == nil; attempts++ {
				if err = l.Begin("customer", plan, test.entries); err == nil && test.tokensPerRequest >= 0 {
					l.End("customer", test.tokensPerRequest)
				}
			}
			var exceeded *limiter.ExceededError
			if !errors.As(err, &exceeded) || !errors.Is(err, limiter.ErrExceeded) {
				t.Fatal(err)
			}
			if attempts-1 != test.wantAdmitted || exceeded.Limit != test.wantLimit {
				t.Errorf("%d requests admitted, then error %v", attempts-1, err)
			}
			if exceeded.RetryAfter <= 0 {
				t.Errorf("retry after %s is not positive", exceeded.RetryAfter)
			}
			if err := l.Begin("other", plan, test.entries); err != nil {
				t.Errorf("request of another customer refused: %v", err)
			}
		})
	}
}
