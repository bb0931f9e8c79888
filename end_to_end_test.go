package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gypsumbank/deployment"
)

// twoReplicaSize returns the size of a deployment of two entries, two model replicas and two ledger replicas.
func twoReplicaSize() deployment.Size {
	size := deployment.Small()
	size.ModelReplicas = 2
	size.Models = 3
	size.Adapters = 2
	return size
}

// TestRequestsAndEditsAcrossProcesses sends a completion, an event and an edit of the allowances through a deployment in which
// every role is a process of its own.
func TestRequestsAndEditsAcrossProcesses(t *testing.T) {
	t.Parallel()
	c := startCluster(t, twoReplicaSize())

	streamed := c.sendRequest(0, http.MethodPost, "/v1/chat/completions", `{"model":"counter-00","stream":true,"messages":[{"role":"user","content":"hello [[length=12]]"}]}`, "")
	if streamed.status != http.StatusOK || !strings.HasSuffix(streamed.body, "data: [DONE]\n\n") {
		t.Errorf("streamed completion: %+v", streamed)
	}
	if events := strings.Count(streamed.body, "data: "); events != 14 {
		t.Errorf("%d events in the stream, want 14: 12 tokens, a finish event and [DONE]", events)
	}
	modelList := c.get(1, "/v1/models")
	for _, name := range []string{"blend-00", "blend-02", "counter-01"} {
		if !strings.Contains(modelList.body, fmt.Sprintf("%q", name)) {
			t.Errorf("model %s is missing from the list of models: %s", name, modelList.body)
		}
	}
	for i := range 4 {
		if got := c.sendEvent(i%2, "swap-1"); got.status != http.StatusCreated || got.outcome() != "run" {
			t.Errorf("event sent repeatedly with one idempotency key: %+v", got)
		}
	}
	if runs := c.ledgerRuns("swap-1"); runs != 1 {
		t.Errorf("event swap-1 ran %d times, want 1", runs)
	}
	oneModelAllowances := strings.Replace(c.size.Allowances(), "models = *", "models = blend-01", 1)
	oneModelAllowances = strings.Replace(oneModelAllowances, "version = 0", "version = 1", 1)
	output := c.applyList("allowances", oneModelAllowances)
	for _, zone := range c.size.Zones {
		if !strings.Contains(output, "in force in "+zone) {
			t.Errorf("apply did not report that the edit is in force in %s: %s", zone, output)
		}
	}
	for entry := range 2 {
		got := c.sendRequest(entry, http.MethodPost, "/v1/completions", `{"model":"blend-00","prompt":"x"}`, "")
		if got.status != http.StatusNotFound || got.outcome() != "not-run" {
			t.Errorf("entry %d: completion for a model that the plan does not allow: %+v", entry, got)
		}
	}
	stale, err := c.runCommand("allowances", "apply", "--config="+c.operatorSettings, c.writeFile("stale.ini", c.size.Allowances()))
	if err == nil || !strings.Contains(stale, "has changed since") || !strings.Contains(stale, "+models = *") {
		t.Errorf("apply of an edit with an outdated version: %v: %s", err, stale)
	}
}

// TestCommandsRejectInvalidInput checks that a command reports invalid arguments, settings or lists in one line that names the
// file, section and key, as far as they apply.
func TestCommandsRejectInvalidInput(t *testing.T) {
	t.Parallel()
	c := &cluster{t: t, dir: t.TempDir()}
	validSettings := "[node]\nname = n\navailability-zone = z\nsecret = 0123456789abcdef\n[platform]\ntable = 127.0.0.1:1\nvm-list = 127.0.0.1:2\n"
	tests := map[string]struct {
		args []string
		want []string // substrings of the output
	}{
		"unknown flag":          {[]string{"entry", "--colour"}, []string{"unknown long flag '--colour'"}},
		"unknown command":       {[]string{"entrance"}, []string{"entrance"}},
		"missing config flag":   {[]string{"entry"}, []string{"--config"}},
		"missing settings file": {[]string{"entry", "--config=absent.ini"}, []string{"absent.ini"}},
		"missing section":       {[]string{"entry", "--config=" + c.writeFile("a.ini", validSettings)}, []string{"a.ini", "[entry]"}},
		"unknown key":           {[]string{"status", "--config=" + c.writeFile("b.ini", validSettings+"colour = red\n")}, []string{"b.ini", "[platform] colour", "allowed: "}},
		"address without an IP": {[]string{"status", "--config=" + c.writeFile("c.ini", strings.Replace(validSettings, "127.0.0.1:1", "table:1", 1))}, []string{"[platform] table", "IP:PORT"}},
		"short secret":          {[]string{"status", "--config=" + c.writeFile("d.ini", strings.Replace(validSettings, "0123456789abcdef", "short", 1))}, []string{"[node] secret", "16 characters"}},
		"invalid duration":      {[]string{"entry", "--config=" + c.writeFile("e.ini", validSettings+"[entry]\nlisten = 127.0.0.1:0\ngrace = long\n")}, []string{"[entry] grace", "a duration from"}},
		"unlisted model":        {[]string{"allowances", "check", c.writeFile("f.ini", "version = 0\n[plan p]\nmodels = m\n")}, []string{"f.ini", "[plan p] models", `"m" is not listed`}},
		"missing version":       {[]string{"allowances", "check", c.writeFile("g.ini", "[plan p]\nmodels = *\n")}, []string{"g.ini", "version = N"}},
		"repeated section":      {[]string{"allowances", "check", c.writeFile("h.ini", "version = 0\n[member a]\n[member a]\n")}, []string{"[member a]", "duplicate section"}},
		"customer without key":  {[]string{"plans", "check", c.writeFile("i.ini", "version = 0\n[customer a]\nmember = m\nplan = p\n")}, []string{"[customer a] key-sha256", "64 hexadecimal digits"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			output, err := c.runCommand(test.args...)
			if err == nil {
				t.Fatalf("the command succeeded: %s", output)
			}
			if lines := strings.Count(output, "\n"); lines != 1 {
				t.Errorf("the output has %d lines, want 1: %s", lines, output)
			}
			for _, want := range test.want {
				if !strings.Contains(output, want) {
					t.Errorf("%q is missing from the output %q", want, output)
				}
			}
		})
	}
}
