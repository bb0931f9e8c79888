package trace_test

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	"gypsumbank/trace"
)

// at returns a log line of a node at a number of ms.
func at(ms, node, rest string) string {
	return `{"time":"2026-12-04T07:00:` + ms + `Z","node":"` + node + `","level":"info",` + rest + `}` + "\n"
}

const id = `"request":"r1"`

func TestCause(t *testing.T) {
	begins := func(ms, target string, waited, took string) string {
		return at(ms, "g1", `"msg":"answer begins",`+id+`,"target":"`+target+`","waited-ms":`+waited+`,"took-ms":`+took+`,"expected-ms":50,"unread":900`)
	}
	ends := func(ms, gap string) string {
		return at(ms, "g1", `"msg":"answer ends",`+id+`,"target":"e1","model":"m1","status":200,"whole":true,"longest-gap-ms":`+gap)
	}
	tests := map[string]struct {
		log  string
		want []string
		not  string
	}{
		"queue at the target": {
			log:  begins("01.500", "e1", "0", "700") + ends("02.000", "40"),
			want: []string{"served whole", "700ms to the first byte of target e1", "900 tokens to read"},
		},
		"pause within the answer": {
			log:  begins("01.500", "e1", "0", "60") + ends("02.000", "450"),
			want: []string{"longest pause 450ms", "paused within the answer"},
		},
		"waited for a model": {
			log: at("01.000", "g2", `"msg":"model load begins","model":"m1","target":"e1"`) +
				at("01.600", "g2", `"msg":"model loaded","model":"m1","target":"e1"`) +
				begins("01.700", "e1", "800", "30") + ends("02.000", "40"),
			want: []string{"waited at the gateway", "model load begins at e1", "model loaded at e1"},
		},
		"refused for want of a model": {
			log: at("01.000", "g1", `"msg":"model will not be held in time",`+id+`,"model":"m1","expected-ms":2800`) +
				at("01.001", "g1", `"msg":"not served",`+id+`,"model":"m1","reason":"model-not-loaded","status":503,"took-ms":10`),
			want: []string{"reason model-not-loaded", "model will not be held in time"},
		},
		"target crashed": {
			log: begins("01.000", "e1", "0", "60") + at("01.200", "a1", `"msg":"target removed","target":"e1"`) +
				at("01.300", "g1", `"msg":"answer broken off",`+id+`,"target":"e1","error":"unexpected EOF","took-ms":400`),
			want: []string{"target e1 broke the answer off", "unexpected EOF", "target removed"},
		},
		"timeout before an answer": {
			log: at("01.000", "g1", `"msg":"target had not answered",`+id+`,"target":"e1","took-ms":380`) +
				at("01.001", "g1", `"msg":"not served",`+id+`,"reason":"timeout-may-run","status":504,"took-ms":380`),
			want: []string{"reason timeout-may-run", "target had not answered e1"},
		},
		"others are left out": {
			log: at("01.100", "a1", `"msg":"order accepted","model":"m1","adapter":"a7"`) + at("01.100", "g1", `"msg":"target removed","target":"e9"`) +
				begins("01.500", "e1", "0", "700") + ends("02.000", "40"),
			want: []string{"served whole"},
			not:  "e9",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			found, err := trace.New("r1", strings.NewReader(test.log+"no json\n"))
			if err != nil {
				t.Fatal(err)
			}
			var text, drawing strings.Builder
			if err := errors.Join(found.Write(&text), found.Draw(&drawing)); err != nil {
				t.Fatal(err)
			}
			for _, want := range append(test.want, "1 lines are no entries") {
				if !strings.Contains(text.String(), want) {
					t.Errorf("no %q in\n%s", want, text.String())
				}
			}
			if test.not != "" && strings.Contains(text.String(), test.not) {
				t.Errorf("%q in\n%s", test.not, text.String())
			}
			wellFormed(t, drawing.String())
		})
	}
}

func wellFormed(t *testing.T, text string) {
	t.Helper()
	decoder := xml.NewDecoder(strings.NewReader(text))
	for {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}
	}
}

func TestUnknownRequest(t *testing.T) {
	if _, err := trace.New("r2", strings.NewReader(at("01.000", "g1", `"msg":"refused",`+id))); !errors.Is(err, trace.ErrUnknownRequest) {
		t.Errorf("error %v", err)
	}
}

func FuzzNew(f *testing.F) {
	f.Add(at("01.000", "g1", `"msg":"answer begins",`+id+`,"took-ms":"x","target":7`))
	f.Add(`prefix {"time":"2026-12-04T07:00:00Z","msg":"refused","request":"r1","took-ms":-1e300}`)
	f.Fuzz(func(t *testing.T, log string) {
		found, err := trace.New("r1", strings.NewReader(log))
		if err != nil {
			return
		}
		var text, drawing strings.Builder
		if err := errors.Join(found.Write(&text), found.Draw(&drawing)); err != nil {
			t.Fatal(err)
		}
	})
}
