package deployment_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/deployment"
)

// startDeployment starts a deployment, waits until it is ready and closes it at the end of the test.
func startDeployment(t *testing.T, size deployment.Size) *deployment.Deployment {
	t.Helper()
	logger := logrus.New()
	output := &logTail{}
	logger.SetOutput(output)
	t.Cleanup(func() { output.dumpOnFailure(t) })
	d, err := deployment.New(t.Context(), size, "", logrus.NewEntry(logger))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := d.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return d
}

const maxLogLines = 4000 // lines of log that a failed test shows

// logTail is a writer that keeps the last log lines, of which it gets one with each write.
type logTail struct {
	mu    sync.Mutex
	lines []string
}

func (o *logTail) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lines = append(o.lines, string(p))
	if len(o.lines) > 2*maxLogLines {
		o.lines = append([]string(nil), o.lines[maxLogLines:]...)
	}
	return len(p), nil
}

// dumpOnFailure shows the last lines if the test has failed.
func (o *logTail) dumpOnFailure(t *testing.T) {
	if !t.Failed() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	t.Logf("log of the deployment:\n%s", strings.Join(o.lines[max(0, len(o.lines)-maxLogLines):], ""))
}

// post sends a POST request with the key of the first member unless headers replace it, and returns the response and its
// body.
func post(t *testing.T, d *deployment.Deployment, entry int, path, body string, headers map[string]string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, d.URL(entry)+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+d.Size().Key(d.Size().Members[0]))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(text)
}

// TestStreamedAnswerIsComplete checks that a streamed chat completion ends with [DONE] and has an event for each token.
func TestStreamedAnswerIsComplete(t *testing.T) {
	d := startDeployment(t, deployment.Small())
	response, text := post(t, d, 0, "/v1/chat/completions", `{"model":"blend-00","stream":true,"messages":[{"role":"user","content":"a light blend [[length=20]]"}]}`, nil)
	if response.StatusCode != http.StatusOK || !strings.HasSuffix(text, "data: [DONE]\n\n") {
		t.Fatalf("status %d, answer %q", response.StatusCode, text)
	}
	if events := strings.Count(text, "data: "); events != 22 {
		t.Errorf("%d events, want 22: 20 tokens, the finish reason and [DONE]: %s", events, text)
	}
}

// TestLedgerEventRunsOnce sends an event twice with the same idempotency key, each time through another entry.
func TestLedgerEventRunsOnce(t *testing.T) {
	d := startDeployment(t, deployment.Small())
	for entry := range 2 {
		headers := map[string]string{"Idempotency-Key": "sale-1"}
		response, text := post(t, d, entry, "/services/ledger/events", `{"id":"sale-1"}`, headers)
		if response.StatusCode != http.StatusCreated {
			t.Fatalf("entry %d: status %d, answer %s", entry, response.StatusCode, text)
		}
	}
	if runs := d.LedgerCounts().Runs("sale-1"); runs != 1 {
		t.Errorf("the event ran %d times", runs)
	}
}

// TestIdempotencyKeysAreScopedToCustomer sends events of two customers with the same idempotency key. Both must run, and
// each customer gets the answer to its own event.
func TestIdempotencyKeysAreScopedToCustomer(t *testing.T) {
	d := startDeployment(t, deployment.Small())
	for _, member := range d.Size().Members {
		headers := map[string]string{"Idempotency-Key": "shared", "Authorization": "Bearer " + d.Size().Key(member)}
		response, text := post(t, d, 0, "/services/ledger/events", `{"id":"of-`+member+`"}`, headers)
		if response.StatusCode != http.StatusCreated || !strings.Contains(text, member) {
			t.Errorf("event of %s: status %d: %s", member, response.StatusCode, text)
		}
		if runs := d.LedgerCounts().Runs("of-" + member); runs != 1 {
			t.Errorf("event of %s ran %d times", member, runs)
		}
	}
}
