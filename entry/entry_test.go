package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/deployment"
)

// minimalSize returns a deployment of one entry, one model replica and one ledger replica in one availability zone.
func minimalSize() deployment.Size {
	size := deployment.Small()
	size.Zones = size.Zones[:1]
	size.Entries, size.ModelReplicas, size.LedgerReplicas = 1, 1, 1
	size.Models, size.Adapters = 1, 1
	return size
}

func startDeployment(t *testing.T, size deployment.Size) *deployment.Deployment {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	d, err := deployment.New(t.Context(), size, "", logrus.NewEntry(logger))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	if err := d.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	return d
}

// sendRaw sends raw bytes to the first entry and returns the status and the body of the response.
func sendRaw(t *testing.T, d *deployment.Deployment, raw string) (int, string) {
	t.Helper()
	conn, err := net.Dial("tcp", d.Entries()[0].CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// rawRequest returns the bytes of an HTTP/1.1 request with a bearer key and a JSON body.
func rawRequest(method, path, key, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		method, path, key, len(body), body)
}

func TestBadRequests(t *testing.T) {
	d := startDeployment(t, minimalSize())
	key := d.Size().Key(d.Size().Members[0])
	completion := "/v1/completions"
	tests := map[string]struct {
		raw    string
		status int
		code   string
	}{
		"malformed JSON":        {rawRequest("POST", completion, key, `{"model":`), 400, "invalid_body"},
		"model is missing":      {rawRequest("POST", completion, key, `{"prompt":"x"}`), 400, "invalid_body"},
		"prompt is a number":    {rawRequest("POST", completion, key, `{"model":"blend-00","prompt":7}`), 400, "invalid_body"},
		"messages are missing":  {rawRequest("POST", "/v1/chat/completions", key, `{"model":"blend-00"}`), 400, "invalid_body"},
		"negative max_tokens":   {rawRequest("POST", completion, key, `{"model":"blend-00","prompt":"x","max_tokens":-1}`), 400, "invalid_body"},
		"n is 2":                {rawRequest("POST", completion, key, `{"model":"blend-00","prompt":"x","n":2}`), 400, "invalid_body"},
		"unknown model":         {rawRequest("POST", completion, key, `{"model":"absent","prompt":"x"}`), 404, "model_not_found"},
		"unknown key":           {rawRequest("POST", completion, "wrong", `{"model":"blend-00","prompt":"x"}`), 401, "invalid_api_key"},
		"wrong method":          {rawRequest("GET", completion, key, ""), 405, "method_not_allowed"},
		"unknown path":          {rawRequest("GET", "/v2/models", key, ""), 404, "not_found"},
		"unknown model by path": {rawRequest("GET", "/v1/models/absent", key, ""), 404, "model_not_found"},
		"unknown service":       {rawRequest("POST", "/services/absent/x", key, ""), 404, "service_not_found"},
		"oversized body":        {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n", 413, "body_too_large"},
		"oversized header":      {"GET /v1/models HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 32<<10) + "\r\n\r\n", 431, "headers_too_large"},
		"incomplete header":     {"GET /v1/models HTTP/1.1\r\nHost: x\r\n", 408, "request_timeout"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status, body := sendRaw(t, d, test.raw)
			if status != test.status || !strings.Contains(body, fmt.Sprintf(`"code":%q`, test.code)) {
				t.Errorf("wrong error response: status %d, body %s", status, body)
			}
		})
	}
}

func TestRetrieveModel(t *testing.T) {
	d := startDeployment(t, minimalSize())
	key := d.Size().Key(d.Size().Members[0])
	status, body := sendRaw(t, d, rawRequest("GET", "/v1/models/blend-00", key, ""))
	if status != 200 || !strings.Contains(body, `"id":"blend-00"`) || !strings.Contains(body, `"object":"model"`) {
		t.Errorf("no description of the model: status %d, body %s", status, body)
	}
}

// TestCallerDisconnectFreesEngineSlot checks that the engine stops generating soon after the caller closes its
// connection.
func TestCallerDisconnectFreesEngineSlot(t *testing.T) {
	d := startDeployment(t, minimalSize())
	tests := map[string]string{
		"streamed answer": `{"model":"blend-00","stream":true,"prompt":"[[length=4000]]","max_tokens":4000}`,
		"whole answer":    `{"model":"blend-00","prompt":"[[length=4000]]","max_tokens":4000}`,
	}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", d.Entries()[0].CallerAddress)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, rawRequest("POST", "/v1/completions", d.Size().Key(d.Size().Members[0]), body))
			waitFor(t, 5*time.Second, func() bool { return d.Engines()[0].InFlight() == 1 })
			conn.Close()
			waitFor(t, time.Second, func() bool { return d.Engines()[0].InFlight() == 0 })
		})
	}
}

func waitFor(t *testing.T, limit time.Duration, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s", limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
