package snapshot_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"gypsumbank/deployment"
	"gypsumbank/placement"
	"gypsumbank/snapshot"
	"gypsumbank/wire"
)

// newMessage returns a snapshot message with the lists of a small deployment, changed to the given number of models and
// three times as many adapters.
func newMessage(models int) *wire.Snapshot {
	size := deployment.Small()
	size.Models, size.Adapters = models, 3*models
	return &wire.Snapshot{Version: 1, Plans: snapshot.Compress([]byte(size.Plans())), Allowances: snapshot.Compress([]byte(size.Allowances()))}
}

// BenchmarkCapacitySnapshot measures the size of a snapshot message and the time to parse it for various numbers of
// models.
func BenchmarkCapacitySnapshot(b *testing.B) {
	for _, models := range []int{34, 85, 170, 335, 670} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			message := newMessage(models)
			for b.Loop() {
				if _, err := snapshot.New(message); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(message)), "B")
		})
	}
}

// BenchmarkCapacityPlacement measures the time to compute a placement for various numbers of targets, with two models
// for every five targets.
func BenchmarkCapacityPlacement(b *testing.B) {
	for _, targets := range []int{100, 200, 425, 850, 1700} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			lists, err := snapshot.New(newMessage(targets * 2 / 5))
			if err != nil {
				b.Fatal(err)
			}
			targetNames := make([]string, targets)
			for i := range targetNames {
				targetNames[i] = fmt.Sprintf("model-%04d", i)
			}
			for b.Loop() {
				placement.New(lists.Allowances().Models(), targetNames, 48<<30)
			}
		})
	}
}
