package meter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/meter"
	"gypsumbank/wire"
)

// TestUseReachesEveryNode lets nodes exchange bounded parts of what they know, in any order, with repeats; in the end all
// have the same totals, though each tells only the next one, and none ever has more than was used.
func TestUseReachesEveryNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 5
		var all []*meter.Meter
		for i := range nodes {
			all = append(all, meter.New(fmt.Sprint("node-", i), 1))
		}
		used := map[string]meter.Use{}
		member := rapid.SampledFrom([]string{"a", "b"})
		index := rapid.IntRange(0, nodes-1)
		t.Repeat(map[string]func(*rapid.T){
			"use": func(t *rapid.T) {
				name := member.Draw(t, "member")
				tokens := rapid.Uint64Range(0, 100).Draw(t, "tokens")
				all[index.Draw(t, "node")].Add(name, meter.Use{CompletionTokens: tokens, AcceleratorTime: time.Millisecond})
				sum := used[name]
				sum.CompletionTokens += tokens
				used[name] = sum
			},
			"exchange": func(t *rapid.T) {
				all[index.Draw(t, "to")].Merge(all[index.Draw(t, "from")].NextBatch(2))
			},
			"": func(t *rapid.T) {
				for _, m := range all {
					for name, total := range m.Totals() {
						if total.CompletionTokens > used[name].CompletionTokens {
							t.Fatalf("%s: %d tokens known, %d used", name, total.CompletionTokens, used[name].CompletionTokens)
						}
					}
				}
			},
		})
		for range 10 * nodes {
			for i := range all {
				all[(i+1)%nodes].Merge(all[i].NextBatch(2))
			}
		}
		for i, m := range all {
			for name, sum := range used {
				if got := m.Totals()[name].CompletionTokens; got != sum.CompletionTokens {
					t.Fatalf("node %d knows %d tokens of %s, used were %d", i, got, name, sum.CompletionTokens)
				}
			}
		}
	})
}

// TestMessagesAreBounded checks that what a node tells does not grow with the number of nodes that it knows.
func TestMessagesAreBounded(t *testing.T) {
	m := meter.New("own", 1)
	for i := range 3000 {
		node := &wire.NodeUsage{Node: fmt.Sprint("node-", i), Incarnation: 1}
		if i%2 == 0 {
			node.Members = []*wire.MemberUsage{{Member: "a", Requests: 1}, {Member: "b", Requests: 1}}
		}
		m.Merge([]*wire.NodeUsage{node})
	}
	if told := len(m.NextBatch(24)); told > 13 {
		t.Errorf("%d nodes in a message of 24 rows of two members", told)
	}
}
