package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gypsumbank/deployment"
	"gypsumbank/explain"
	"gypsumbank/standin/site"
)

// explainedKey is a customer's key that must not be shown.
const explainedKey = "key-of-acme"

// startExplainingGateway starts a gateway process with a plain target and a customer, and returns the address of its metrics port.
func startExplainingGateway(t *testing.T) (metricsAddress string, gateway *process, target *site.Target) {
	t.Helper()
	store := site.NewStore()
	t.Cleanup(store.Close)
	target = site.NewTarget("p1", site.TextResponse(200, "ok"))
	t.Cleanup(target.Close)
	store.Put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "prices", "host": "callers.example", "prefix": "/prices/", "routeKind": "safe", "timeoutMs": 2000, "targetLatencyMs": 300, "service": "plain", "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": "plain", "healthPath": "/healthz", "maxConns": 100}},
		"tenants":  []any{map[string]any{"name": "acme", "apiKeys": []string{explainedKey}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	store.Put("servers", "p1", target.RegistryEntry("plain", "ready"))
	var addresses [3]string
	for i := range addresses {
		address, err := deployment.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = address
	}
	path := filepath.Join(t.TempDir(), "gateway.ini")
	text := fmt.Sprintf("[node]\nname = gateway-1\navailability-zone = zone-a\n[gateway]\nlisten = %s\nready = %s\nmetrics = %s\nagent-port = 1\n[store]\naddress = %s\n", addresses[0], addresses[1], addresses[2], store.Address())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return addresses[2], startProcess(t, "gateway", "gateway", "--config="+path), target
}

// TestExplainCommand guards against a command that shows nothing of use, sends the request or shows its key.
func TestExplainCommand(t *testing.T) {
	t.Parallel()
	metricsAddress, gateway, target := startExplainingGateway(t)
	keyFile := filepath.Join(t.TempDir(), "headers")
	if err := os.WriteFile(keyFile, []byte("X-Gypsumbank-Request-Id: r1\n\nAuthorization: Token "+explainedKey+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	flags := func(more ...string) []string {
		return append([]string{"explain", "--gateway", metricsAddress, "--host", "callers.example", "--path", "/prices/1"}, more...)
	}
	explained := func(args []string) (string, error) {
		var out bytes.Buffer
		err := run(t.Context(), args, &out, &out)
		if err != nil {
			out.WriteString(err.Error())
		}
		if strings.Contains(out.String(), explainedKey) {
			t.Errorf("the key is shown: %s", out.String())
		}
		return out.String(), err
	}
	known := func() bool {
		text, err := explained(flags("--customer", "acme"))
		return err == nil && strings.Contains(text, "sent to p1")
	}
	for deadline := time.Now().Add(readyTimeout); !known(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			text, err := explained(flags())
			t.Fatalf("the gateway does not know the target: %s, %v", text, err)
		}
	}
	cases := map[string]struct {
		args  []string
		want  []string
		fails bool
	}{
		"key in a file":       {args: flags("--header-file", keyFile), want: []string{"sent to p1", "prices (callers.example/prices/, safe", "acme, key: accepted", "average-latency"}},
		"key as a header":     {args: flags("-H", "Authorization: Token "+explainedKey), want: []string{"acme, key: accepted"}},
		"no key":              {args: flags(), want: []string{"refused with status 401, no-key"}},
		"all excluded":        {args: flags("--customer", "acme", "--exclude", "p1"), want: []string{"no-target", "excluded"}},
		"no such customer":    {args: flags("--customer", "nobody"), want: []string{"status 400", "no customer of this name"}, fails: true},
		"header without name": {args: flags("-H", "Token "+explainedKey), want: []string{"no colon"}, fails: true},
		"no such file":        {args: flags("--header-file", keyFile+"-none"), fails: true},
		"no gateway there":    {args: []string{"explain", "--gateway", "127.0.0.1:1", "--host", "h", "--path", "/"}, fails: true},
		"no port":             {args: []string{"explain", "--gateway", "gateway", "--host", "h", "--path", "/"}, want: []string{"HOST:PORT"}, fails: true},
		"no host":             {args: []string{"explain", "--gateway", metricsAddress, "--path", "/"}, want: []string{"--host"}, fails: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text, err := explained(c.args)
			if (err != nil) != c.fails {
				t.Errorf("error %v, want one: %v", err, c.fails)
			}
			for _, want := range c.want {
				if !strings.Contains(text, want) {
					t.Errorf("%q is missing in:\n%s", want, text)
				}
			}
		})
	}
	t.Run("JSON", func(t *testing.T) {
		text, err := explained(flags("--customer", "acme", "--json"))
		var e explain.Explanation
		if err != nil || json.Unmarshal([]byte(text), &e) != nil || e.Outcome != explain.Sent || e.Gateway != "gateway-1" || len(e.Choice.Candidates) != 1 {
			t.Errorf("explained %s, %v", text, err)
		}
	})
	if strings.Contains(gateway.output.String(), explainedKey) || len(target.Requests()) > 0 {
		t.Errorf("%d requests sent, log %s", len(target.Requests()), gateway.output)
	}
}
