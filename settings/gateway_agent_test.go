package settings

import (
	"errors"
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
		"missing store address":  {"address = 127.0.0.1:3", "", "[store] address"},
		"missing listen address": {"listen = 127.0.0.1:1", "", "[gateway] listen"},
		"port is not a number":   {"7380", "many", "[gateway] agent-port"},
		"grace without a unit":   {"8s", "8", "[gateway] grace"},
		"negative memory":        {"request-memory-mib = 100", "request-memory-mib = -1", "[gateway] request-memory-mib"},
		"negative retry ratio":   {"retry-ratio = 0.2", "retry-ratio = -1", "[bounds] retry-ratio"},
		"unknown key":            {"[limits]", "[limits]\ncolour = red", "colour"},
		"unknown section":        {"[limits]", "[colours]\nred = 1\n[limits]", "colours"},
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
