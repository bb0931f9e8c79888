package meter

import (
	"sort"
	"sync"
	"time"

	"gypsumbank/wire"
)

// Use holds the amounts that one member has used.
type Use struct {
	PromptTokens     uint64
	CompletionTokens uint64
	AcceleratorTime  time.Duration
	Requests         uint64
}

// Meter holds the counters of this node and the latest ones received of other nodes. Counters never decrease within one
// incarnation of a node, so the higher of two values is the later one.
type Meter struct {
	node        string
	incarnation uint64

	mu           sync.Mutex
	counters     map[nodeKey]map[string]Use
	nodes        []nodeKey // keys of counters in the order in which they became known
	nodesVisited int       // by all calls of NextBatch; modulo len(nodes) it is the index of the next node
}

type nodeKey struct {
	node        string
	incarnation uint64
}

// New returns a meter for one incarnation of a node.
func New(node string, incarnation uint64) *Meter {
	m := &Meter{node: node, incarnation: incarnation, counters: map[nodeKey]map[string]Use{}}
	m.memberCounters(nodeKey{node, incarnation})
	return m
}

// Add adds to the counters of a member at this node.
func (m *Meter) Add(member string, use Use) {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.memberCounters(nodeKey{m.node, m.incarnation})
	own[member] = own[member].plus(use)
}

// Merge updates the counters of other nodes to those received where these are higher; it is idempotent, and the order
// of messages does not matter.
func (m *Meter) Merge(usage []*wire.NodeUsage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, nodeUsage := range usage {
		if nodeUsage.GetNode() == m.node && nodeUsage.GetIncarnation() == m.incarnation {
			continue
		}
		counters := m.memberCounters(nodeKey{nodeUsage.GetNode(), nodeUsage.GetIncarnation()})
		for _, memberUsage := range nodeUsage.GetMembers() {
			counters[memberUsage.GetMember()] = counters[memberUsage.GetMember()].maxOf(useFromMessage(memberUsage))
		}
	}
}

// NextBatch returns this node's counters and those of some other nodes, with about maxRows rows of members at most.
// Successive calls go through all nodes in turn, so that the size of a message does not grow with their number. Nodes
// without use are left out; the first other node with use is included even if it has more rows than the limit.
func (m *Meter) NextBatch(maxRows int) []*wire.NodeUsage {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := nodeKey{m.node, m.incarnation}
	usage := []*wire.NodeUsage{m.message(own)}
	rows := 0
	for range m.nodes {
		key := m.nodes[m.nodesVisited%len(m.nodes)]
		rows += len(m.counters[key])
		if rows > maxRows && len(usage) > 1 {
			break
		}
		m.nodesVisited++
		if key != own && len(m.counters[key]) > 0 {
			usage = append(usage, m.message(key))
		}
	}
	return usage
}

// All returns the counters of every known node.
func (m *Meter) All() []*wire.NodeUsage {
	m.mu.Lock()
	defer m.mu.Unlock()
	usage := make([]*wire.NodeUsage, 0, len(m.nodes))
	for _, key := range m.nodes {
		usage = append(usage, m.message(key))
	}
	return usage
}

// Totals returns the sum of each member's use over all known nodes.
func (m *Meter) Totals() map[string]Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	totals := map[string]Use{}
	for _, members := range m.counters {
		for member, use := range members {
			totals[member] = totals[member].plus(use)
		}
	}
	return totals
}

// memberCounters returns the counters of a node by member, empty ones for a new node.
func (m *Meter) memberCounters(key nodeKey) map[string]Use {
	counters, ok := m.counters[key]
	if !ok {
		counters = map[string]Use{}
		m.counters[key] = counters
		m.nodes = append(m.nodes, key)
	}
	return counters
}

func (m *Meter) message(key nodeKey) *wire.NodeUsage {
	message := &wire.NodeUsage{Node: key.node, Incarnation: key.incarnation}
	for member, use := range m.counters[key] {
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

func useFromMessage(message *wire.MemberUsage) Use {
	return Use{
		PromptTokens:     message.GetPromptTokens(),
		CompletionTokens: message.GetCompletionTokens(),
		AcceleratorTime:  time.Duration(message.GetAcceleratorUs()) * time.Microsecond,
		Requests:         message.GetRequests(),
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

// maxOf returns the higher value of each field.
func (u Use) maxOf(other Use) Use {
	return Use{
		PromptTokens:     max(u.PromptTokens, other.PromptTokens),
		CompletionTokens: max(u.CompletionTokens, other.CompletionTokens),
		AcceleratorTime:  max(u.AcceleratorTime, other.AcceleratorTime),
		Requests:         max(u.Requests, other.Requests),
	}
}
