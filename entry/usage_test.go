package entry_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumbank/usage"
)

// TestUseIsVisibleToEveryMember has one member use the accelerators and another look.
func TestUseIsVisibleToEveryMember(t *testing.T) {
	d := start(t, smallest())
	members := d.Size().Members
	status, body := exchange(t, d, request("POST", "/v1/completions", d.Size().Key(members[0]), `{"model":"blend-00","prompt":"[[length=30]]"}`))
	if status != http.StatusOK {
		t.Fatal(status, body)
	}
	var report usage.Report
	eventually(t, 10*time.Second, func() bool {
		_, body = exchange(t, d, request("GET", "/usage", d.Size().Key(members[1]), ""))
		if err := json.Unmarshal([]byte(body), &report); err != nil {
			t.Fatal(err, body)
		}
		return len(report.Nodes) > 0 && report.Members[1].CompletionTokens == 30
	})
	used, looked := report.Members[1], report.Members[0]
	if used.Name != members[0] || used.ShareOfUse != 1 || looked.ShareOfUse != 0 || used.ShareOfAllowance != 0.5 {
		t.Errorf("%s", body)
	}
	if sum := report.Nodes[0].Seconds[used.Name]; sum != used.AcceleratorSeconds {
		t.Errorf("the node counted %g s, the total is %g s", sum, used.AcceleratorSeconds)
	}
	raw := strings.Replace(request("GET", "/usage", d.Size().Key(members[1]), ""), "Host: x", "Host: x\r\nAccept: text/html", 1)
	if _, page := exchange(t, d, raw); !strings.Contains(page, "<svg") || !strings.Contains(page, used.Name) {
		t.Errorf("not a page: %.200s", page)
	}
}
