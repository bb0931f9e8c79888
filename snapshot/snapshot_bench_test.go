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

func message(models int) *wire.Snapshot {
	size := deployment.Small()
	size.Models, size.Adapters = models, 3*models
	return &wire.Snapshot{Version: 1, Plans: snapshot.Compress([]byte(size.Plans())), Allowances: snapshot.Compress([]byte(size.Allowances()))}
}

// BenchmarkCapacitySnapshot measures the size and the parsing of the lists over the number of models.
func BenchmarkCapacitySnapshot(b *testing.B) {
	for _, models := range []int{34, 85, 170, 335, 670} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			lists := message(models)
			for b.Loop() {
				if _, err := snapshot.New(lists); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(lists)), "B")
		})
	}
}

// BenchmarkCapacityPlacement measures placement over the number of targets, with two models for five targets.
func BenchmarkCapacityPlacement(b *testing.B) {
	for _, targets := range []int{100, 200, 425, 850, 1700} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			lists, err := snapshot.New(message(targets * 2 / 5))
			if err != nil {
				b.Fatal(err)
			}
			names := make([]string, targets)
			for i := range names {
				names[i] = fmt.Sprintf("model-%04d", i)
			}
			for b.Loop() {
				placement.New(lists.Allowances().Models(), names, 48<<30)
			}
		})
	}
}
