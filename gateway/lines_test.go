package gateway_test

import (
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

// TestEachDecisionHasALine has requests end in each way; the log must tell the way of each with what decided it.
func TestEachDecisionHasALine(t *testing.T) {
	fields := map[string][]string{
		"answer begins":                  {"target", "expected-ms", "took-ms", "waited-ms", "report-age-ms", "candidates", "send", "status", "kind", "service"},
		"answer ends":                    {"target", "status", "whole", "took-ms", "route", "priority"},
		"answer lost":                    {"target", "expected-ms", "report-age-ms", "send", "error"},
		"target refused":                 {"target", "misplaced", "report-age-ms", "candidates", "send"},
		"not served":                     {"reason", "status", "retry-after-ms", "begun", "route", "took-ms"},
		"refused":                        {"reason", "status", "host", "uri"},
		"caller left":                    {"route", "took-ms"},
		"target had not answered":        {"target", "timed-out", "expected-ms", "report-age-ms", "send"},
		"model will not be held in time": {"model", "listed", "expected-ms", "left-ms"},
		"target failed, sending again":   {"target", "status", "send"},
	}
	tests := map[string]struct {
		request string
		script  site.Script
		leave   bool
		want    []string
	}{
		"served":            {get("/safe/a"), nil, false, []string{"answer begins", "answer ends"}},
		"streamed":          {get("/stream/a", modelHeader), nil, false, []string{"answer begins", "answer ends"}},
		"no such route":     {get("/nothing/a"), nil, false, []string{"refused"}},
		"body too large":    {post(strings.Repeat("z", 1<<20+1)), nil, false, []string{"refused"}},
		"model not listed":  {get("/stream/a", "X-Gypsumbank-Model: none"), nil, false, []string{"model will not be held in time", "not served"}},
		"target fails":      {get("/safe/a"), site.Text(500, "broken"), false, []string{"target failed, sending again", "not served"}},
		"answer is lost":    {post("sale"), site.Raw(false, func(net.Conn, string) {}), false, []string{"answer lost", "not served"}},
		"no answer in time": {post("sale"), site.Hold(5 * time.Second), false, []string{"target had not answered", "not served"}},
		"the caller leaves": {get("/safe/a"), site.Hold(5 * time.Second), true, []string{"target had not answered", "caller left"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := deploy(t)
			if test.script != nil {
				d.plain.SetScript(test.script)
			}
			if test.leave {
				conn, _ := d.dial()
				if _, err := io.WriteString(conn, test.request); err != nil {
					t.Fatal(err)
				}
				time.Sleep(150 * time.Millisecond)
				conn.Close()
				time.Sleep(500 * time.Millisecond)
			} else if _, _, err := d.ask(test.request); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
			var told []string
			for _, line := range d.lines.AllEntries() {
				if line.Data["request"] != "r1" {
					continue
				}
				told = append(told, line.Message)
				for _, field := range fields[line.Message] {
					if _, ok := line.Data[field]; !ok {
						t.Errorf("%q has no %s: %v", line.Message, field, line.Data)
					}
				}
			}
			if !slices.Equal(told, test.want) {
				t.Errorf("told %q, want %q", told, test.want)
			}
		})
	}
}
