package explain

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// TestInvalidRequestsAreNamed guards against requests that no gateway could get, and against errors that quote the value of a header, which
// may be a key.
func TestInvalidRequestsAreNamed(t *testing.T) {
	sound := func() Request {
		return Request{Method: "POST", Host: "h", Path: "/p?q=1", Headers: []Header{{"Authorization", "Token secret"}}}
	}
	cases := map[string]struct {
		change func(*Request)
		valid  bool
	}{
		"sound":                 {func(*Request) {}, true},
		"method of two words":   {func(r *Request) { r.Method = "GET /x" }, false},
		"no method":             {func(r *Request) { r.Method = "" }, false},
		"no host":               {func(r *Request) { r.Host = "" }, false},
		"host with a blank":     {func(r *Request) { r.Host = "h x" }, false},
		"path without a slash":  {func(r *Request) { r.Path = "p" }, false},
		"path with a blank":     {func(r *Request) { r.Path = "/p HTTP/1.1" }, false},
		"long path":             {func(r *Request) { r.Path = "/" + strings.Repeat("p", maxPathBytes) }, false},
		"name with a blank":     {func(r *Request) { r.Headers[0].Name = "a b" }, false},
		"name of other letters": {func(r *Request) { r.Headers[0].Name = "Größe" }, false},
		"value of two lines":    {func(r *Request) { r.Headers[0].Value = "Token secret\nX: y" }, false},
		"value with a tab":      {func(r *Request) { r.Headers[0].Value = "Token\tsecret" }, true},
		"empty value":           {func(r *Request) { r.Headers[0].Value = "" }, true},
		"too many headers":      {func(r *Request) { r.Headers = make([]Header, maxHeaders+1) }, false},
		"too many exclusions":   {func(r *Request) { r.Exclude = make([]string, maxExcluded+1) }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := sound()
			c.change(&r)
			err := r.Check()
			if (err == nil) != c.valid || (err != nil && (!errors.Is(err, ErrInvalid) || strings.Contains(err.Error(), "secret"))) {
				t.Errorf("error %v, want one: %v", err, !c.valid)
			}
		})
	}
	for _, line := range []string{"Authorization Token secret", ": secret", "Author ization: Token secret"} {
		if _, err := ParseHeader(line); !errors.Is(err, ErrInvalid) || strings.Contains(err.Error(), "secret") {
			t.Errorf("%q: error %v", line, err)
		}
	}
	if h, err := ParseHeader("authorization:  Token secret "); err != nil || h != (Header{"authorization", "Token secret"}) {
		t.Errorf("header %+v, %v", h, err)
	}
}

// TestTooLargeQuestionIsNotSent guards against questions that a gateway breaks off without a reason.
func TestTooLargeQuestionIsNotSent(t *testing.T) {
	r := Request{Method: "GET", Host: "h", Path: "/", Headers: []Header{{"A", strings.Repeat("a", MaxRequestBytes)}}}
	if _, err := Ask(t.Context(), "127.0.0.1:1", &r); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v, want ErrTooLarge", err)
	}
	r.Headers = nil
	if _, err := Ask(t.Context(), "127.0.0.1", &r); !errors.Is(err, ErrInvalid) {
		t.Errorf("error %v for an address without a port, want ErrInvalid", err)
	}
}

// TestTextNamesOutcomes guards against texts that leave out why a request is refused, what it waits for or where it goes.
func TestTextNamesOutcomes(t *testing.T) {
	choice := &Choice{
		Gateways: 30, DrawnByShare: true,
		Candidates:     []Candidate{{Target: "e1", Zone: "a", Share: 0.6, CostMs: 12, Costs: []Cost{{"queue", 4}, {"prefill", 8}}, HasRoom: true}, {Target: "e2", Share: 0.4}},
		MoreCandidates: 3, LeftOut: []LeftOut{{Target: "e3", Why: "limit-or-rest", WaitMs: 250}},
	}
	cases := map[string]struct {
		explanation Explanation
		want        []string
	}{
		"refused":    {Explanation{Outcome: Refused, Refusal: &Refusal{Reason: "no-key", Status: 401}}, []string{"refused with status 401, no-key"}},
		"retry":      {Explanation{Outcome: Refused, Refusal: &Refusal{Reason: "overload", Status: 503, RetryAfterMs: 300}}, []string{"after 300 ms"}},
		"drawn":      {Explanation{Outcome: Sent, Choice: choice}, []string{"most likely e1 (60%)", "by shares, gateways: 30", "prefill 8.0, queue 4.0", "and 3 more", "limit-or-rest for 250 ms"}},
		"waits":      {Explanation{Outcome: Waits, Waits: []Wait{{Cause: WaitForRoom, ExpectedMs: 90, Ahead: 2}}}, []string{"waits, and is then sent", "room behind 2 others, about 90 ms"}},
		"lacks":      {Explanation{Outcome: Waits, Choice: &Choice{LacksModel: true}}, []string{"no target holds the model"}},
		"customer":   {Explanation{Outcome: Sent, Customer: &Customer{Name: "acme", KeyCheck: "accepted"}}, []string{"acme, key: accepted"}},
		"weights":    {Explanation{Outcome: Sent, Route: &Route{Name: "r", Service: "s1", Backends: []Backend{{"s1", 9}, {"s2", 1}}}}, []string{"s1 9, s2 1"}},
		"quota":      {Explanation{Outcome: Sent, Quota: &Quota{Unit: "tokens", PerSecond: 100, Cost: 7, Prospect: "covered"}}, []string{"100 tokens a second", "costs 7", "covered"}},
		"an outline": {Explanation{Gateway: "g1", At: time.Unix(0, 0), RoutesVersion: 8, Outcome: Sent, Notes: []string{"a note"}}, []string{"g1 at 1970-01-01T00:00:00Z, routes version 8", "a note"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			if err := c.explanation.Write(&text); err != nil {
				t.Fatal(err)
			}
			for _, want := range c.want {
				if !strings.Contains(text.String(), want) {
					t.Errorf("%q is missing in:\n%s", want, text.String())
				}
			}
		})
	}
}
