package settings

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gypsumbank/inifile"
)

const validGatewaySettings = `[node]
name = g1
availability-zone = a
[gateway]
listen = 127.0.0.1:1
ready = 127.0.0.1:2
agent-port = 7380
grace = 8s
request-memory-mib = 100
[store]
address = 127.0.0.1:3
[bounds]
retry-ratio = 0.2
retry-extra = 54
retry-window = 10s
load-window = 5s
load-burst = 1.1
[limits]
memory-mib = 284
descriptors = 4100
`

func TestValidGatewaySettings(t *testing.T) {
	config, err := New("g.ini", []byte(validGatewaySettings))
	if err != nil {
		t.Fatal(err)
	}
	if config.Gateway.AgentPort != 7380 || config.Gateway.Grace != 8*time.Second || config.Bounds.RetryExtra != 54 || config.Limits.MemoryMiB != 284 || config.Limits.Descriptors != 4100 || config.Gateway.RequestMemoryMiB != 100 {
		t.Errorf("parsed settings %+v do not match the file", config)
	}
}

func TestInvalidGatewaySettings(t *testing.T) {
	tests := map[string]struct{ oldText, newText, want string }{
		"missing store address":   {"address = 127.0.0.1:3", "", "[store] address"},
		"missing listen address":  {"listen = 127.0.0.1:1", "", "[gateway] listen"},
		"port is not a number":    {"7380", "many", "[gateway] agent-port"},
		"grace without a unit":    {"8s", "8", "[gateway] grace"},
		"negative memory":         {"request-memory-mib = 100", "request-memory-mib = -1", "[gateway] request-memory-mib"},
		"negative event delivery": {"retry-extra = 54", "retry-extra = 54\nevent-delivery = -1ms", "[bounds] event-delivery"},
		"negative retry ratio":    {"retry-ratio = 0.2", "retry-ratio = -1", "[bounds] retry-ratio"},
		"unknown key":             {"[limits]", "[limits]\ncolour = red", "colour"},
		"unknown section":         {"[limits]", "[colours]\nred = 1\n[limits]", "colours"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := New("g.ini", []byte(strings.Replace(validGatewaySettings, test.oldText, test.newText, 1)))
			if !errors.Is(err, inifile.ErrInvalid) || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), "g.ini") {
				t.Errorf("error %v, want one that wraps ErrInvalid and names g.ini and %s", err, test.want)
			}
		})
	}
}

var (
	templateSection = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/([a-zA-Z.]+)\}\}`)
	templateValue   = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)\}\}`)
)

// fillTemplate fills a settings template in as the platform does: sections are left out where their value is missing.
func fillTemplate(t *testing.T, path string, values map[string]string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text := templateSection.ReplaceAllStringFunc(string(data), func(section string) string {
		parts := templateSection.FindStringSubmatch(section)
		if parts[1] != parts[3] {
			t.Fatalf("section %s ends as %s", parts[1], parts[3])
		}
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return []byte(templateValue.ReplaceAllStringFunc(text, func(place string) string {
		value, ok := values[strings.Trim(place, "{}")]
		if !ok {
			t.Errorf("template %s uses %s", path, place)
		}
		return value
	}))
}

// TestDeployedGatewaySettings guards against a template that is not valid where a deployment does not name an optional bound.
func TestDeployedGatewaySettings(t *testing.T) {
	cases := map[string]struct {
		optional map[string]string
		want     time.Duration
	}{
		"no optional bound":           {},
		"an earlier deployment":       {optional: map[string]string{"bounds.passMs": "120"}, want: 120 * time.Millisecond},
		"all optional bounds":         {optional: map[string]string{"bounds.passMs": "200", "bounds.quotaWindowS": "8", "bounds.quotaOverage": "0.1", "bounds.quotaSlack": "110000", "bounds.revokeMs": "3000", "bounds.revokeFailClosed": "1"}, want: 200 * time.Millisecond},
		"fractions of a millisecond":  {optional: map[string]string{"bounds.passMs": "200.5"}, want: 200500 * time.Microsecond},
		"other optional bounds alone": {optional: map[string]string{"bounds.revokeMs": "3000"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			values := map[string]string{
				"nodeName": "g1", "zone": "a", "listen.frontend": "127.0.0.1:1", "listen.ready": "127.0.0.1:2", "internalPorts.0": "7380", "ip": "127.0.0.1",
				"platform.address": "127.0.0.1:3", "limits.memoryMb": "284", "bounds.graceS": "8", "bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetExtra": "54",
				"bounds.budgetWindowS": "10", "bounds.ceilingWindowS": "5", "bounds.loadBurstFactor": "1.1",
			}
			for key, value := range c.optional {
				values[key] = value
			}
			config, err := New("gateway.ini", fillTemplate(t, "../deploy/gateway.ini", values))
			if err != nil {
				t.Fatal(err)
			}
			if config.Bounds.EventDelivery != c.want {
				t.Errorf("event delivery %s, want %s", config.Bounds.EventDelivery, c.want)
			}
		})
	}
}
