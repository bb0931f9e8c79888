package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"gypsumbank/explain"
	"gypsumbank/gateway"
	"gypsumbank/settings"
	"gypsumbank/standin/site"
)

// explainedRequest returns a question about a GET request to a path.
func explainedRequest(path string, headers ...string) *explain.Request {
	r := &explain.Request{Method: "GET", Host: callerHost, Path: path, Headers: []explain.Header{{Name: "X-Gypsumbank-Request-Id", Value: "r1"}}}
	for _, line := range headers {
		name, value, _ := strings.Cut(line, ":")
		r.Headers = append(r.Headers, explain.Header{Name: name, Value: strings.TrimSpace(value)})
	}
	return r
}

// explain asks the gateway, and checks that neither the answer nor the log holds a key.
func (d *testDeployment) explain(asked *explain.Request) *explain.Explanation {
	d.t.Helper()
	answer, err := explain.Ask(d.t.Context(), d.metricsAddress, asked)
	if err != nil {
		d.t.Fatal(err)
	}
	var text bytes.Buffer
	if err := answer.Write(&text); err != nil {
		d.t.Fatal(err)
	}
	_ = json.NewEncoder(&text).Encode(answer)
	for _, entry := range d.logHook.AllEntries() {
		line, _ := entry.String()
		text.WriteString(line)
	}
	if strings.Contains(text.String(), "key-1") || strings.Contains(text.String(), "key-9") {
		d.t.Errorf("a key is in the explanation or the log: %s", text.String())
	}
	return answer
}

// TestExplanationIsWhatTheGatewayDoes guards against explanations that differ from what becomes of the request, that reach a target or
// connect to one, and that show a key.
func TestExplanationIsWhatTheGatewayDoes(t *testing.T) {
	d := newDeployment(t)
	d.publish(customersDocument(2, map[string][]string{"acme": {"key-1"}}))
	engineHeaders := []string{keyHeader, m1Header, "X-Gypsumbank-Token-Usage: 100,10"}
	cases := map[string]struct {
		path     string
		headers  []string
		status   int
		reason   string
		customer string
		key      string
		target   string
	}{
		"known key":    {"/safe/a", []string{keyHeader}, 200, "", "acme", "accepted", "p1"},
		"no key":       {"/safe/a", nil, 401, "no-key", "", "no-key", ""},
		"unknown key":  {"/safe/a", []string{"Authorization: Token key-9"}, 401, "unknown-key", "", "unknown-key", ""},
		"forged name":  {"/safe/a", []string{"X-Gypsumbank-Tenant: acme"}, 401, "no-key", "", "no-key", ""},
		"public":       {"/public/a?token=key-9", nil, 200, "", "", "not-needed", "p1"},
		"no route":     {"/none/a", []string{keyHeader}, 404, "no-such-route", "", "", ""},
		"held model":   {"/stream/a", engineHeaders, 200, "", "acme", "accepted", "e1"},
		"no such list": {"/stream/a", []string{keyHeader, "X-Gypsumbank-Model: m9"}, 503, "model-not-loaded", "acme", "accepted", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			seen := len(d.plainTarget.Requests()) + len(d.engineTarget.Requests())
			e := d.explain(explainedRequest(c.path, c.headers...))
			if got := len(d.plainTarget.Requests()) + len(d.engineTarget.Requests()); got != seen {
				t.Errorf("the explanation has reached a target")
			}
			if (e.Refusal != nil) != (c.reason != "") || (e.Refusal != nil && (e.Refusal.Reason != c.reason || e.Refusal.Status != c.status)) {
				t.Errorf("refusal %+v, want %d %q", e.Refusal, c.status, c.reason)
			}
			if c.key != "" && (e.Customer == nil || e.Customer.Name != c.customer || e.Customer.KeyCheck != c.key) {
				t.Errorf("customer %+v, want %q as %s", e.Customer, c.customer, c.key)
			}
			if c.target != "" && (e.Choice == nil || len(e.Choice.Candidates) != 1 || e.Choice.Candidates[0].Target != c.target || e.Outcome != explain.Sent) {
				t.Errorf("explained %+v, want it sent to %s", e, c.target)
			}
			response, body, err := d.roundTrip(getRequest(c.path, c.headers...))
			if err != nil || response.StatusCode != c.status || (c.reason != "" && strings.TrimSpace(body) != c.reason) {
				t.Errorf("the gateway answered %v %q, %v", response, body, err)
			}
		})
	}
	t.Run("customer by name", func(t *testing.T) {
		asked := explainedRequest("/safe/a")
		asked.Customer, asked.Exclude = "acme", []string{"p1"}
		e := d.explain(asked)
		if e.Customer == nil || e.Customer.Name != "acme" || e.Refusal == nil || e.Refusal.Reason != "no-target" || e.Choice.LeftOut[0].Why != "excluded" {
			t.Errorf("explained %+v %+v, want the only target excluded", e.Customer, e.Refusal)
		}
	})
}

// TestExplanationOpensNoConnection guards against explanations that connect to the targets that they name.
func TestExplanationOpensNoConnection(t *testing.T) {
	d := newDeployment(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	connected := make(chan struct{})
	go func() {
		if conn, err := listener.Accept(); err == nil {
			conn.Close()
			close(connected)
		}
	}()
	d.store.Put("servers", "p2", d.plainTarget.RegistryEntryAt(listener.Addr().String(), "plain", "ready"))
	d.store.Remove("servers", "p1")
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		e := d.explain(explainedRequest("/safe/a"))
		if len(e.Choice.Candidates) == 1 && e.Choice.Candidates[0].Target == "p2" {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the new target is no candidate: %+v", e.Choice)
		}
	}
	select {
	case <-connected:
		t.Error("the gateway has connected to a target")
	case <-time.After(200 * time.Millisecond):
	}
}

// TestExplanationKnowsTheQuota guards against explanations of requests that the quota of their customer refuses and that are told to be sent.
func TestExplanationKnowsTheQuota(t *testing.T) {
	d := newDeployment(t)
	d.publish(quotaDocument(2, 20))
	asked := explainedRequest("/safe/a", keyHeader)
	if e := d.explain(asked); e.Quota == nil || e.Quota.Prospect != "not-known" || len(e.Waits) != 1 || e.Waits[0].Cause != explain.WaitForQuota {
		t.Errorf("explained %+v, quota %+v, want an agent to be asked", e, e.Quota)
	}
	if response, body, err := d.roundTrip(getRequest("/safe/a", keyHeader)); err != nil || response.StatusCode != http.StatusTooManyRequests {
		t.Fatalf("response %v %q, %v; want 429, as there is no agent", response, body, err)
	}
	if e := d.explain(asked); e.Quota.Prospect != "no-keeper" || e.Refusal == nil || e.Refusal.Status != http.StatusTooManyRequests || e.Refusal.Reason != "quota-unknown" {
		t.Errorf("explained %+v, quota %+v, want it refused", e.Refusal, e.Quota)
	}
}

// TestInvalidQuestionsAreRefused guards against questions that are answered although they could not be sent as requests, that take much of
// the gateway, and whose refusal quotes a key.
func TestInvalidQuestionsAreRefused(t *testing.T) {
	d := newDeployment(t)
	d.publish(customersDocument(2, map[string][]string{"acme": {"key-1"}}))
	question := func(change func(*explain.Request)) string {
		r := explainedRequest("/safe/a", "Authorization: Token key-9")
		change(r)
		text, _ := json.Marshal(r)
		return string(text)
	}
	cases := map[string]struct {
		method, body string
		status       int
	}{
		"sound":                    {"POST", question(func(*explain.Request) {}), 200},
		"GET":                      {"GET", "", 405},
		"empty":                    {"POST", "", 400},
		"no JSON":                  {"POST", "Authorization: Token key-9", 400},
		"unknown field":            {"POST", `{"key-9": 1}`, 400},
		"wrong type":               {"POST", `{"headers": "key-9"}`, 400},
		"no host":                  {"POST", question(func(r *explain.Request) { r.Host = "" }), 400},
		"no path":                  {"POST", question(func(r *explain.Request) { r.Path = "" }), 400},
		"path with a line break":   {"POST", question(func(r *explain.Request) { r.Path = "/a\r\nX: key-9" }), 400},
		"no method":                {"POST", question(func(r *explain.Request) { r.Method = "" }), 400},
		"header with a line break": {"POST", question(func(r *explain.Request) { r.Headers[1].Value = "Token key-9\r\nX: y" }), 400},
		"header without a name":    {"POST", question(func(r *explain.Request) { r.Headers[1].Name = "" }), 400},
		"host as a header":         {"POST", question(func(r *explain.Request) { r.Headers[1].Name = "host" }), 400},
		"unknown customer":         {"POST", question(func(r *explain.Request) { r.Headers, r.Customer = nil, "nobody" }), 400},
		"key and customer":         {"POST", question(func(r *explain.Request) { r.Customer = "acme" }), 400},
		"too many headers":         {"POST", question(func(r *explain.Request) { r.Headers = make([]explain.Header, 1000) }), 400},
		"too large":                {"POST", question(func(r *explain.Request) { r.Path = "/" + strings.Repeat("a", explain.MaxRequestBytes) }), 413},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+d.metricsAddress+explain.Path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			body, _ := io.ReadAll(response.Body)
			if response.StatusCode != c.status || strings.Contains(string(body), "key-9") {
				t.Errorf("status %d, %q; want %d without the key", response.StatusCode, body, c.status)
			}
		})
	}
}

// TestExplanationsAtOnce guards against explanations that pile up: each question is answered or refused in time.
func TestExplanationsAtOnce(t *testing.T) {
	d := newDeployment(t)
	var asking sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for range 20 {
		asking.Go(func() {
			_, err := explain.Ask(t.Context(), d.metricsAddress, explainedRequest("/safe/a"))
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				answered++
			} else if !strings.Contains(err.Error(), "status 503") {
				t.Error(err)
			}
		})
	}
	asking.Wait()
	if answered == 0 {
		t.Error("no question was answered")
	}
}

// TestGatewayWithoutRoutesSaysSo guards against a gateway that has no routes yet and fails on a question or names a reason that misleads.
func TestGatewayWithoutRoutesSaysSo(t *testing.T) {
	t.Parallel()
	store := site.NewStore()
	defer store.Close()
	config := &settings.Config{
		Node:    settings.Node{Name: "gateway-1", AvailabilityZone: "zone-a"},
		Gateway: settings.Gateway{Listen: freeAddress(t), Ready: freeAddress(t), Metrics: freeAddress(t), AgentPort: 1, Grace: time.Second},
		Store:   settings.Store{Address: store.Address()},
	}
	log, _ := logtest.NewNullLogger()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- gateway.New(config, log.WithField("test", t.Name())).Run(ctx) }()
	defer func() {
		stop()
		<-ended
	}()
	var e *explain.Explanation
	err := errors.New("not asked")
	for deadline := time.Now().Add(5 * time.Second); err != nil && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		e, err = explain.Ask(t.Context(), config.Gateway.Metrics, explainedRequest("/safe/a"))
	}
	if err != nil {
		t.Fatal(err)
	}
	if e.Refusal == nil || e.Refusal.Reason != "no-routes-known" || !strings.Contains(fmt.Sprint(e.Notes), "no routes yet") {
		t.Errorf("explained %+v, want that there are no routes", e)
	}
}
