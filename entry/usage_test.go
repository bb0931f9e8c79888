package entry_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumbank/usage"
)

// TestUsageIsVisibleToEveryMember checks that a member sees the usage of another one, as JSON and as an HTML page.
func TestUsageIsVisibleToEveryMember(t *testing.T) {
	d := startDeployment(t, minimalSize())
	members := d.Size().Members
	status, body := sendRaw(t, d, rawRequest("POST", "/v1/completions", d.Size().Key(members[0]), `{"model":"blend-00","prompt":"[[length=30]]"}`))
	if status != http.StatusOK {
		t.Fatal(status, body)
	}
	var report usage.Report
	waitFor(t, 10*time.Second, func() bool {
		_, body = sendRaw(t, d, rawRequest("GET", "/usage", d.Size().Key(members[1]), ""))
		if err := json.Unmarshal([]byte(body), &report); err != nil {
			t.Fatal(err, body)
		}
		return len(report.Nodes) > 0 && report.Members[1].CompletionTokens == 30
	})
	activeMember, idleMember := report.Members[1], report.Members[0]
	if activeMember.Name != members[0] || activeMember.ShareOfUse != 1 || idleMember.ShareOfUse != 0 || activeMember.ShareOfAllowance != 0.5 {
		t.Errorf("wrong names or shares in the usage report: %s", body)
	}
	if sum := report.Nodes[0].Seconds[activeMember.Name]; sum != activeMember.AcceleratorSeconds {
		t.Errorf("the node reports %g accelerator seconds, the total is %g", sum, activeMember.AcceleratorSeconds)
	}
	raw := strings.Replace(rawRequest("GET", "/usage", d.Size().Key(members[1]), ""), "Host: x", "Host: x\r\nAccept: text/html", 1)
	if _, page := sendRaw(t, d, raw); !strings.Contains(page, "<svg") || !strings.Contains(page, activeMember.Name) {
		t.Errorf("no usage page with a chart and the member's name: %.200s", page)
	}
}
