package usage

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"gypsumbank/meter"
	"gypsumbank/wire"
)

const barWidth = 30

// Report holds the use of every member and each node's part of it, so that a member can add it up.
type Report struct {
	Members []Member `json:"members"`
	Nodes   []Node   `json:"nodes,omitempty"`
}

// Member is the use of one member beside its share.
type Member struct {
	Name               string  `json:"member"`
	ShareOfAllowance   float64 `json:"share-of-allowance"`
	ShareOfUse         float64 `json:"share-of-use"`
	AcceleratorSeconds float64 `json:"accelerator-seconds"`
	PromptTokens       uint64  `json:"prompt-tokens"`
	CompletionTokens   uint64  `json:"completion-tokens"`
	Requests           uint64  `json:"requests"`
}

// Node is the accelerator time that one incarnation of a node counted, by member, in seconds.
type Node struct {
	Name        string             `json:"node"`
	Incarnation uint64             `json:"incarnation"`
	Seconds     map[string]float64 `json:"accelerator-seconds"`
}

// New returns the use between two totals beside the members' shares; nodes may be nil.
func New(shares map[string]int64, before, after map[string]meter.Use, nodes []*wire.NodeUsage) *Report {
	report := &Report{}
	var allShares, allSeconds float64
	for name, share := range shares {
		used, earlier := after[name], before[name]
		member := Member{
			Name:               name,
			ShareOfAllowance:   float64(share),
			AcceleratorSeconds: (used.AcceleratorTime - earlier.AcceleratorTime).Seconds(),
			PromptTokens:       used.PromptTokens - earlier.PromptTokens,
			CompletionTokens:   used.CompletionTokens - earlier.CompletionTokens,
			Requests:           used.Requests - earlier.Requests,
		}
		allShares += member.ShareOfAllowance
		allSeconds += member.AcceleratorSeconds
		report.Members = append(report.Members, member)
	}
	for i := range report.Members {
		report.Members[i].ShareOfAllowance /= allShares
		if allSeconds > 0 {
			report.Members[i].ShareOfUse = report.Members[i].AcceleratorSeconds / allSeconds
		}
	}
	sort.Slice(report.Members, func(i, j int) bool { return report.Members[i].Name < report.Members[j].Name })
	report.addNodes(nodes)
	return report
}

// WriteText prints the members as a table with a bar for the use and a mark at the allowance.
func (r *Report) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tALLOWANCE\tUSE\tACCELERATOR S\tTOKENS\tREQUESTS\t")
	for _, m := range r.Members {
		fmt.Fprintf(table, "%s\t%.1f%%\t%.1f%%\t%.1f\t%d\t%d\t%s\n",
			m.Name, 100*m.ShareOfAllowance, 100*m.ShareOfUse, m.AcceleratorSeconds,
			m.PromptTokens+m.CompletionTokens, m.Requests, m.bar())
	}
	return table.Flush()
}

// WriteJSON prints the report as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

func (r *Report) addNodes(nodes []*wire.NodeUsage) {
	for _, node := range nodes {
		seconds := map[string]float64{}
		for _, member := range node.GetMembers() {
			if member.GetAcceleratorUs() > 0 {
				seconds[member.GetMember()] = float64(member.GetAcceleratorUs()) / 1e6
			}
		}
		if len(seconds) > 0 {
			r.Nodes = append(r.Nodes, Node{Name: node.GetNode(), Incarnation: node.GetIncarnation(), Seconds: seconds})
		}
	}
	sort.Slice(r.Nodes, func(i, j int) bool { return r.Nodes[i].Name < r.Nodes[j].Name })
}

func (m Member) bar() string {
	cells := []byte(strings.Repeat(" ", barWidth+1))
	for i := range int(m.ShareOfUse * barWidth) {
		cells[i] = '#'
	}
	cells[int(m.ShareOfAllowance*barWidth)] = '|'
	return "[" + string(cells) + "]"
}
