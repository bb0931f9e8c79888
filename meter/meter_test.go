package meter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/meter"
	"gypsumbank/wire"
)

// TestUseReachesEveryNode exchanges bounded messages between random nodes, then from each node to the next one only. It
// guards against use that is counted twice, and against counters that some node never receives.
func TestUseReachesEveryNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 5
		var meters []*meter.Meter
		for i := range nodes {
			meters = append(meters, meter.New(fmt.Sprint("node-", i), 1))
		}
		used := map[string]meter.Use{}
		member := rapid.SampledFrom([]string{"a", "b"})
		index := rapid.IntRange(0, nodes-1)
		t.Repeat(map[string]func(*rapid.T){
			"use": func(t *rapid.T) {
				name := member.Draw(t, "member")
				tokens := rapid.Uint64Range(0, 100).Draw(t, "tokens")
				meters[index.Draw(t, "node")].Add(name, meter.Use{CompletionTokens: tokens, AcceleratorTime: time.Millisecond})
				total := used[name]
				total.CompletionTokens += tokens
				used[name] = total
			},
			"exchange": func(t *rapid.T) {
				meters[index.Draw(t, "to")].Merge(meters[index.Draw(t, "from")].NextBatch(2))
			},
			"": func(t *rapid.T) {
				for _, m := range meters {
					for name, total := range m.Totals() {
						if total.CompletionTokens > used[name].CompletionTokens {
							t.Fatalf("member %s: a node counts %d tokens, %d were used", name, total.CompletionTokens, used[name].CompletionTokens)
						}
					}
				}
			},
		})
		for range 10 * nodes {
			for i := range meters {
				meters[(i+1)%nodes].Merge(meters[i].NextBatch(2))
			}
		}
		for i, m := range meters {
			for name, total := range used {
				if got := m.Totals()[name].CompletionTokens; got != total.CompletionTokens {
					t.Fatalf("node %d counts %d tokens of member %s, %d were used", i, got, name, total.CompletionTokens)
				}
			}
		}
	})
}

// TestMessagesAreBounded checks that the size of a message does not grow with the number of nodes that the sender
// knows.
func TestMessagesAreBounded(t *testing.T) {
	m := meter.New("own", 1)
	for i := range 3000 {
		node := &wire.NodeUsage{Node: fmt.Sprint("node-", i), Incarnation: 1}
		if i%2 == 0 {
			node.Members = []*wire.MemberUsage{{Member: "a", Requests: 1}, {Member: "b", Requests: 1}}
		}
		m.Merge([]*wire.NodeUsage{node})
	}
	if count := len(m.NextBatch(24)); count > 13 {
		t.Errorf("a message bounded to 24 rows has %d nodes, which have two members each; want at most 13", count)
	}
}
