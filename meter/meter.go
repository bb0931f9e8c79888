package meter

import (
	"sort"
	"sync"
	"time"

	"gypsumbank/wire"
)

// Use is an amount of use of one member.
type Use struct {
	PromptTokens     uint64
	CompletionTokens uint64
	AcceleratorTime  time.Duration
	Requests         uint64
}

// Meter holds the monotonic counters of this node and the highest known ones of others.
type Meter struct {
	node        string
	incarnation uint64

	mu    sync.Mutex
	known map[nodeKey]map[string]Use
	order []nodeKey
	next  int
}

type nodeKey struct {
	node        string
	incarnation uint64
}

// New returns a meter for one incarnation of a node.
func New(node string, incarnation uint64) *Meter {
	m := &Meter{node: node, incarnation: incarnation, known: map[nodeKey]map[string]Use{}}
	m.slot(nodeKey{node, incarnation})
	return m
}

// Add counts use of a member at this node.
func (m *Meter) Add(member string, use Use) {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.slot(nodeKey{m.node, m.incarnation})
	own[member] = own[member].plus(use)
}

// Merge takes over counters of other nodes that are higher than the known ones.
func (m *Meter) Merge(usage []*wire.NodeUsage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, node := range usage {
		if node.GetNode() == m.node && node.GetIncarnation() == m.incarnation {
			continue
		}
		known := m.slot(nodeKey{node.GetNode(), node.GetIncarnation()})
		for _, member := range node.GetMembers() {
			known[member.GetMember()] = known[member.GetMember()].highest(useOf(member))
		}
	}
}

// NextBatch returns this node's counters and, in turn over calls, those of other nodes with use, with at most limit rows of
// members unless a single node has more.
func (m *Meter) NextBatch(limit int) []*wire.NodeUsage {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := nodeKey{m.node, m.incarnation}
	usage := []*wire.NodeUsage{m.message(own)}
	rows := 0
	for range m.order {
		key := m.order[m.next%len(m.order)]
		rows += len(m.known[key])
		if rows > limit && len(usage) > 1 {
			break
		}
		m.next++
		if key != own && len(m.known[key]) > 0 {
			usage = append(usage, m.message(key))
		}
	}
	return usage
}

// All returns the counters of every known node.
func (m *Meter) All() []*wire.NodeUsage {
	m.mu.Lock()
	defer m.mu.Unlock()
	usage := make([]*wire.NodeUsage, 0, len(m.order))
	for _, key := range m.order {
		usage = append(usage, m.message(key))
	}
	return usage
}

// Totals returns the use of each member over all known nodes.
func (m *Meter) Totals() map[string]Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	totals := map[string]Use{}
	for _, members := range m.known {
		for member, use := range members {
			totals[member] = totals[member].plus(use)
		}
	}
	return totals
}

func (m *Meter) slot(key nodeKey) map[string]Use {
	known, ok := m.known[key]
	if !ok {
		known = map[string]Use{}
		m.known[key] = known
		m.order = append(m.order, key)
	}
	return known
}

func (m *Meter) message(key nodeKey) *wire.NodeUsage {
	message := &wire.NodeUsage{Node: key.node, Incarnation: key.incarnation}
	for member, use := range m.known[key] {
		message.Members = append(message.Members, &wire.MemberUsage{
			Member:           member,
			PromptTokens:     use.PromptTokens,
			CompletionTokens: use.CompletionTokens,
			AcceleratorUs:    uint64(use.AcceleratorTime.Microseconds()),
			Requests:         use.Requests,
		})
	}
	sort.Slice(message.Members, func(i, j int) bool { return message.Members[i].Member < message.Members[j].Member })
	return message
}

func useOf(member *wire.MemberUsage) Use {
	return Use{
		PromptTokens:     member.GetPromptTokens(),
		CompletionTokens: member.GetCompletionTokens(),
		AcceleratorTime:  time.Duration(member.GetAcceleratorUs()) * time.Microsecond,
		Requests:         member.GetRequests(),
	}
}

func (u Use) plus(other Use) Use {
	return Use{
		PromptTokens:     u.PromptTokens + other.PromptTokens,
		CompletionTokens: u.CompletionTokens + other.CompletionTokens,
		AcceleratorTime:  u.AcceleratorTime + other.AcceleratorTime,
		Requests:         u.Requests + other.Requests,
	}
}

func (u Use) highest(other Use) Use {
	return Use{
		PromptTokens:     max(u.PromptTokens, other.PromptTokens),
		CompletionTokens: max(u.CompletionTokens, other.CompletionTokens),
		AcceleratorTime:  max(u.AcceleratorTime, other.AcceleratorTime),
		Requests:         max(u.Requests, other.Requests),
	}
}
