package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gypsumbank/deployment"
)

// twoTargets is a deployment of two entries, two model replicas and two ledger replicas.
func twoTargets() deployment.Size {
	size := deployment.Small()
	size.ModelReplicas = 2
	size.Models = 3
	size.Adapters = 2
	return size
}

func TestWholePathOverProcesses(t *testing.T) {
	c := startCluster(t, twoTargets())

	streamed := c.ask(0, http.MethodPost, "/v1/chat/completions", `{"model":"counter-00","stream":true,"messages":[{"role":"user","content":"hello [[length=12]]"}]}`, "")
	if streamed.status != http.StatusOK || !strings.HasSuffix(streamed.text, "data: [DONE]\n\n") {
		t.Errorf("streamed: %+v", streamed)
	}
	if events := strings.Count(streamed.text, "data: "); events != 14 {
		t.Errorf("%d events, want 12 tokens, an end and a mark", events)
	}
	models := c.get(1, "/v1/models")
	for _, name := range []string{"blend-00", "blend-02", "counter-01"} {
		if !strings.Contains(models.text, fmt.Sprintf("%q", name)) {
			t.Errorf("%s is missing in %s", name, models.text)
		}
	}
	for i := range 4 {
		if got := c.event(i%2, "swap-1"); got.status != http.StatusCreated || got.outcome() != "run" {
			t.Errorf("event: %+v", got)
		}
	}
	if runs := c.runs("swap-1"); runs != 1 {
		t.Errorf("the event ran %d times", runs)
	}
	narrowed := strings.Replace(c.size.Allowances(), "models = *", "models = blend-01", 1)
	narrowed = strings.Replace(narrowed, "version = 0", "version = 1", 1)
	output := c.apply("allowances", narrowed)
	for _, zone := range c.size.Zones {
		if !strings.Contains(output, "in force in "+zone) {
			t.Errorf("not in force in %s: %s", zone, output)
		}
	}
	for entry := range 2 {
		got := c.ask(entry, http.MethodPost, "/v1/completions", `{"model":"blend-00","prompt":"x"}`, "")
		if got.status != http.StatusNotFound || got.outcome() != "not-run" {
			t.Errorf("entry %d: a model outside the plan: %+v", entry, got)
		}
	}
	stale, err := c.command("allowances", "apply", "--config="+c.operator, c.write("stale.ini", c.size.Allowances()))
	if err == nil || !strings.Contains(stale, "has changed since") || !strings.Contains(stale, "+models = *") {
		t.Errorf("a stale edit: %v: %s", err, stale)
	}
}

func TestCommandsRejectBadInput(t *testing.T) {
	c := &cluster{t: t, dir: t.TempDir()}
	good := "[node]\nname = n\navailability-zone = z\nsecret = 0123456789abcdef\n[platform]\ntable = 127.0.0.1:1\nvm-list = 127.0.0.1:2\n"
	tests := map[string]struct {
		args []string
		want []string
	}{
		"unknown flag":    {[]string{"entry", "--colour"}, []string{"unknown long flag '--colour'"}},
		"no command":      {[]string{"entrance"}, []string{"entrance"}},
		"no settings":     {[]string{"entry"}, []string{"--config"}},
		"no file":         {[]string{"entry", "--config=absent.ini"}, []string{"absent.ini"}},
		"no section":      {[]string{"entry", "--config=" + c.write("a.ini", good)}, []string{"a.ini", "[entry]"}},
		"unknown key":     {[]string{"status", "--config=" + c.write("b.ini", good+"colour = red\n")}, []string{"b.ini", "[platform] colour", "allowed: "}},
		"bad address":     {[]string{"status", "--config=" + c.write("c.ini", strings.Replace(good, "127.0.0.1:1", "table:1", 1))}, []string{"[platform] table", "IP:PORT"}},
		"short secret":    {[]string{"status", "--config=" + c.write("d.ini", strings.Replace(good, "0123456789abcdef", "short", 1))}, []string{"[node] secret", "16 characters"}},
		"bad duration":    {[]string{"entry", "--config=" + c.write("e.ini", good+"[entry]\nlisten = 127.0.0.1:0\ngrace = long\n")}, []string{"[entry] grace", "a duration from"}},
		"unlisted model":  {[]string{"allowances", "check", c.write("f.ini", "version = 0\n[plan p]\nmodels = m\n")}, []string{"f.ini", "[plan p] models", `"m" is not listed`}},
		"no version":      {[]string{"allowances", "check", c.write("g.ini", "[plan p]\nmodels = *\n")}, []string{"g.ini", "version = N"}},
		"section twice":   {[]string{"allowances", "check", c.write("h.ini", "version = 0\n[member a]\n[member a]\n")}, []string{"[member a]", "twice"}},
		"customer no key": {[]string{"plans", "check", c.write("i.ini", "version = 0\n[customer a]\nmember = m\nplan = p\n")}, []string{"[customer a] key-sha256", "64 hexadecimal digits"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			output, err := c.command(test.args...)
			if err == nil {
				t.Fatalf("succeeded: %s", output)
			}
			if lines := strings.Count(output, "\n"); lines != 1 {
				t.Errorf("%d lines, want 1: %s", lines, output)
			}
			for _, want := range test.want {
				if !strings.Contains(output, want) {
					t.Errorf("%q is missing in %q", want, output)
				}
			}
		})
	}
}
