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

const textBarWidth = 30 // in characters

// Report holds the use of every member, and what each node counted of it, so that a member can check the sum.
type Report struct {
	Members []Member `json:"members"`
	Nodes   []Node   `json:"nodes,omitempty"`
}

// Member is the use of one member and the share of the total that its allowance grants it.
type Member struct {
	Name               string  `json:"member"`
	ShareOfAllowance   float64 `json:"share-of-allowance"`
	ShareOfUse         float64 `json:"share-of-use"`
	AcceleratorSeconds float64 `json:"accelerator-seconds"`
	PromptTokens       uint64  `json:"prompt-tokens"`
	CompletionTokens   uint64  `json:"completion-tokens"`
	Requests           uint64  `json:"requests"`
}

// Node holds the accelerator seconds that one incarnation of a node counted, by member.
type Node struct {
	Name        string             `json:"node"`
	Incarnation uint64             `json:"incarnation"`
	Seconds     map[string]float64 `json:"accelerator-seconds"`
}

// New reports the members' use between two totals, with their shares of all allowances and of all use. The nodes'
// counts are optional and not reduced by usedBefore.
func New(shares map[string]int64, usedBefore, usedAfter map[string]meter.Use, nodes []*wire.NodeUsage) *Report {
	report := &Report{}
	var totalShares, totalSeconds float64
	for memberName, share := range shares {
		after, before := usedAfter[memberName], usedBefore[memberName]
		member := Member{
			Name:               memberName,
			ShareOfAllowance:   float64(share),
			AcceleratorSeconds: (after.AcceleratorTime - before.AcceleratorTime).Seconds(),
			PromptTokens:       after.PromptTokens - before.PromptTokens,
			CompletionTokens:   after.CompletionTokens - before.CompletionTokens,
			Requests:           after.Requests - before.Requests,
		}
		totalShares += member.ShareOfAllowance
		totalSeconds += member.AcceleratorSeconds
		report.Members = append(report.Members, member)
	}
	for i := range report.Members {
		report.Members[i].ShareOfAllowance /= totalShares
		if totalSeconds > 0 {
			report.Members[i].ShareOfUse = report.Members[i].AcceleratorSeconds / totalSeconds
		}
	}
	sort.Slice(report.Members, func(i, j int) bool { return report.Members[i].Name < report.Members[j].Name })
	report.addNodes(nodes)
	return report
}

// WriteText prints the members as a table, with a bar for the share of use and a mark at the share of the allowance.
func (r *Report) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tALLOWANCE\tUSE\tACCELERATOR S\tTOKENS\tREQUESTS\t")
	for _, m := range r.Members {
		fmt.Fprintf(table, "%s\t%.1f%%\t%.1f%%\t%.1f\t%d\t%d\t%s\n",
			m.Name, 100*m.ShareOfAllowance, 100*m.ShareOfUse, m.AcceleratorSeconds,
			m.PromptTokens+m.CompletionTokens, m.Requests, m.shareBar())
	}
	return table.Flush()
}

// WriteJSON prints the whole report, with the nodes, as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// addNodes adds the accelerator time that each node counted, without members and nodes that have none.
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

// shareBar returns the share of use as a bar of '#' and the share of the allowance as a '|' in it.
func (m Member) shareBar() string {
	cells := []byte(strings.Repeat(" ", textBarWidth+1))
	for i := range int(m.ShareOfUse * textBarWidth) {
		cells[i] = '#'
	}
	cells[int(m.ShareOfAllowance*textBarWidth)] = '|'
	return "[" + string(cells) + "]"
}
