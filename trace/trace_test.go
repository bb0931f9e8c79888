package trace_test

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	"gypsumbank/trace"
)

// logLine returns a log line of a node with the given seconds in its timestamp.
func logLine(seconds, node, fields string) string {
	return `{"time":"2026-12-04T07:00:` + seconds + `Z","node":"` + node + `","level":"info",` + fields + `}` + "\n"
}

const requestField = `"request":"r1"`

// TestCause checks that the printed trace names the cause of an outcome and leaves out unrelated lines, and that the
// drawing is well-formed.
func TestCause(t *testing.T) {
	answerBegins := func(seconds, target string, waitedMs, tookMs string) string {
		return logLine(seconds, "g1", `"msg":"answer begins",`+requestField+`,"target":"`+target+`","waited-ms":`+waitedMs+`,"took-ms":`+tookMs+`,"expected-ms":50,"unread":900`)
	}
	answerEnds := func(seconds, longestGapMs string) string {
		return logLine(seconds, "g1", `"msg":"answer ends",`+requestField+`,"target":"e1","model":"m1","status":200,"whole":true,"longest-gap-ms":`+longestGapMs)
	}
	tests := map[string]struct {
		log      string
		want     []string
		unwanted string
	}{
		"queue at the target": {
			log:  answerBegins("01.500", "e1", "0", "700") + answerEnds("02.000", "40"),
			want: []string{"served completely", "700ms to the first byte of target e1", "prefill (900 tokens)"},
		},
		"answer without length and chunks": {
			log:  answerBegins("01.500", "e1", "0", "60") + logLine("02.000", "g1", `"msg":"answer ends",`+requestField+`,"target":"e1","status":200,"whole":false,"completeness":"unproven","longest-gap-ms":40`),
			want: []string{"served with status 200 up to the end of the target's connection", "does not show that the answer is whole"},
		},
		"gateway stopped": {
			log:  answerBegins("01.500", "e1", "0", "60") + logLine("02.000", "g1", `"msg":"answer cut at the end of the grace",`+requestField+`,"took-ms":560`),
			want: []string{"the gateway stopped", "560ms after the request arrived", "answer begins"},
		},
		"pause within the answer": {
			log:  answerBegins("01.500", "e1", "0", "60") + answerEnds("02.000", "450"),
			want: []string{"longest pause 450ms", "paused within the answer"},
		},
		"engine ended, the run went on elsewhere": {
			log: answerBegins("01.500", "e1", "0", "60") + logLine("01.900", "g1", `"msg":"answer broken off",`+requestField+`,"target":"e1","error":"unexpected EOF"`) +
				logLine("01.950", "g1", `"msg":"stream goes on at its copy",`+requestField+`,"from":"e1","to":"e2","last-event":"4","took-ms":50`) + answerEnds("02.000", "90"),
			want: []string{"served completely", "target e1 broke off and the stream went on at its copy, target e2"},
		},
		"waited for a model": {
			log: logLine("01.000", "g2", `"msg":"model load begins","model":"m1","target":"e1"`) +
				logLine("01.600", "g2", `"msg":"model loaded","model":"m1","target":"e1"`) +
				answerBegins("01.700", "e1", "800", "30") + answerEnds("02.000", "40"),
			want: []string{"waited at the gateway", "model load begins at e1", "model loaded at e1"},
		},
		"refused because a model is not held": {
			log: logLine("01.000", "g1", `"msg":"model will not be held in time",`+requestField+`,"model":"m1","expected-ms":2800`) +
				logLine("01.001", "g1", `"msg":"not served",`+requestField+`,"model":"m1","reason":"model-not-loaded","status":503,"took-ms":10`),
			want: []string{"reason model-not-loaded", "model will not be held in time"},
		},
		"target crashed": {
			log: answerBegins("01.000", "e1", "0", "60") + logLine("01.200", "a1", `"msg":"target removed","target":"e1"`) +
				logLine("01.300", "g1", `"msg":"answer broken off",`+requestField+`,"target":"e1","error":"unexpected EOF","took-ms":400`),
			want: []string{"target e1 broke off the answer", "unexpected EOF", "target removed"},
		},
		"timeout before an answer": {
			log: logLine("01.000", "g1", `"msg":"target had not answered",`+requestField+`,"target":"e1","took-ms":380`) +
				logLine("01.001", "g1", `"msg":"not served",`+requestField+`,"reason":"timeout-may-run","status":504,"took-ms":380`),
			want: []string{"reason timeout-may-run", "target had not answered e1"},
		},
		"lines about other targets and adapters": {
			log: logLine("01.100", "a1", `"msg":"order accepted","model":"m1","adapter":"a7"`) + logLine("01.100", "g1", `"msg":"target removed","target":"e9"`) +
				answerBegins("01.500", "e1", "0", "700") + answerEnds("02.000", "40"),
			want:     []string{"served completely"},
			unwanted: "e9",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			parsed, err := trace.New("r1", strings.NewReader(test.log+"no json\n"))
			if err != nil {
				t.Fatal(err)
			}
			var text, drawing strings.Builder
			if err := errors.Join(parsed.Write(&text), parsed.Draw(&drawing)); err != nil {
				t.Fatal(err)
			}
			for _, want := range append(test.want, "1 lines are not JSON log entries") {
				if !strings.Contains(text.String(), want) {
					t.Errorf("trace does not contain %q:\n%s", want, text.String())
				}
			}
			if test.unwanted != "" && strings.Contains(text.String(), test.unwanted) {
				t.Errorf("trace contains %q of an unrelated target:\n%s", test.unwanted, text.String())
			}
			requireWellFormedXML(t, drawing.String())
		})
	}
}

func requireWellFormedXML(t *testing.T, text string) {
	t.Helper()
	decoder := xml.NewDecoder(strings.NewReader(text))
	for {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatalf("drawing is not well-formed XML: %v\n%s", err, text)
		}
	}
}

func TestUnknownRequest(t *testing.T) {
	if _, err := trace.New("r2", strings.NewReader(logLine("01.000", "g1", `"msg":"refused",`+requestField))); !errors.Is(err, trace.ErrUnknownRequest) {
		t.Errorf("error for a request that is in no log: %v", err)
	}
}

// FuzzNew checks that any log about a request can be printed and drawn without an error.
func FuzzNew(f *testing.F) {
	f.Add(logLine("01.000", "g1", `"msg":"answer begins",`+requestField+`,"took-ms":"x","target":7`))
	f.Add(`prefix {"time":"2026-12-04T07:00:00Z","msg":"refused","request":"r1","took-ms":-1e300}`)
	f.Fuzz(func(t *testing.T, log string) {
		parsed, err := trace.New("r1", strings.NewReader(log))
		if err != nil {
			return
		}
		var text, drawing strings.Builder
		if err := errors.Join(parsed.Write(&text), parsed.Draw(&drawing)); err != nil {
			t.Fatal(err)
		}
	})
}
