package completion_test

import (
	"errors"
	"testing"

	"gypsumbank/completion"
)

// FuzzRequests checks that New rejects a malformed body with ErrInvalid and that each accepted request has a model and
// a positive token limit.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"x"}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"stream":true}`,
		`{"model":"m","prompt":["x"],"max_tokens":3,"seed":-1}`,
		`{"model":1}`,
		`[`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		for _, chat := range []bool{true, false} {
			request, err := completion.New([]byte(body), chat)
			if err != nil {
				if !errors.Is(err, completion.ErrInvalid) {
					t.Errorf("error %v does not wrap ErrInvalid", err)
				}
				continue
			}
			if request.Model() == "" || request.MaxTokens() < 1 {
				t.Errorf("accepted a request without a model or with a token limit below 1: %q", body)
			}
		}
	})
}
