package logs

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"gypsumbank/settings"
)

// BenchmarkDecisionLine writes the longest of the log lines about a request. A line should take less than 150 microseconds: a
// gateway with 0.3 of a processor and 100 requests per second writes two lines per request, and logging should use less than
// a tenth of its processor time.
func BenchmarkDecisionLine(b *testing.B) {
	out := NewWriter(io.Discard)
	defer out.Close()
	log := New(settings.Log{Level: "info", Format: "json"}, settings.Node{Name: "gateway-1", AvailabilityZone: "zone-a"}, out)
	b.ReportAllocs()
	for b.Loop() {
		log.WithFields(logrus.Fields{"request": "6f2a9d0c1b3e4f58", "route": "r-stream", "kind": "streaming", "service": "llm"}).
			WithFields(logrus.Fields{
				"target": "i-0123456789", "waited-ms": 0, "expected-ms": 120, "took-ms": 131, "unread": 4096, "fetched": 0,
				"report-age-ms": 87, "candidates": 5, "send": 1, "status": 200,
			}).Info("answer begins")
	}
}
