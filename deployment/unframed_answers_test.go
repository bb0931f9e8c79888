package deployment_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gypsumbank/deployment"
	"gypsumbank/framing"
	"gypsumbank/standin/fault"
)

// TestUnframedAnswerOfAServiceIsNotFramedAsComplete guards against an answer of a plain service that has neither a length nor chunks, is cut, and
// reaches its caller, now or by its idempotency key later, with a length.
func TestUnframedAnswerOfAServiceIsNotFramedAsComplete(t *testing.T) {
	cases := map[string]struct {
		faults fault.Faults
		key    bool
	}{
		"sound":         {fault.Faults{Unframed: true}, false},
		"sound, keyed":  {fault.Faults{Unframed: true}, true},
		"cut":           {fault.Faults{Unframed: true, CutAnswer: 1}, false},
		"cut and keyed": {fault.Faults{Unframed: true, CutAnswer: 1}, true},
	}
	d := startDeployment(t, deployment.Small())
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, l := range d.Ledgers() {
				l.Faults().Put(c.faults)
			}
			id := strings.NewReplacer(" ", "-", ",", "").Replace(name)
			for i := range 2 {
				if !c.key {
					id = fmt.Sprintf("%s-%d", name, i)
				}
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, d.URL(i)+"/services/ledger/events", strings.NewReader(fmt.Sprintf(`{"id":%q}`, id)))
				if err != nil {
					t.Fatal(err)
				}
				request.Header.Set("Authorization", "Bearer "+d.Size().Key(d.Size().Members[0]))
				if c.key {
					request.Header.Set("Idempotency-Key", id)
				}
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(response.Body)
				response.Body.Close()
				if err != nil || response.StatusCode != http.StatusCreated || framing.Of(response) != framing.Connection {
					t.Errorf("call %d: status %d, framed by %s, %v; want 201 by its connection", i, response.StatusCode, framing.Of(response), err)
				}
				if want := fmt.Sprintf(`{"id":%q,"runs":1}`, id); c.faults.CutAnswer == 0 && string(body) != want {
					t.Errorf("call %d: body %q, want %q", i, body, want)
				}
				if replayed := response.Header.Get("Idempotent-Replayed") == "true"; replayed != (c.key && i == 1) {
					t.Errorf("call %d: replayed: %v", i, replayed)
				}
			}
		})
	}
}
