package customer

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"gypsumbank/route"
)

const (
	// maxNames bounds the customers that are counted by name, and with them the size of the metrics.
	maxNames = 256
	// otherName stands for the customers beyond maxNames and those that the routes list no more.
	otherName = "other"

	requestsMetric = "gypsumbank_gateway_customer_requests_total"
	tokensMetric   = "gypsumbank_gateway_customer_tokens_total"
)

// Usage counts what customers use. Its methods are safe for concurrent use.
type Usage struct {
	metrics *metrics.Set

	mu    sync.Mutex
	names map[string]bool // of the customers that are counted by name
}

// NewUsage returns a count of nothing. Its metrics are not exposed yet.
func NewUsage() *Usage { return &Usage{metrics: metrics.NewSet(), names: map[string]bool{}} }

// Metrics returns the counters.
func (u *Usage) Metrics() *metrics.Set { return u.metrics }

// SetCustomers has customers counted by name, of more than maxNames those that are already, and forgets the counts of all others.
func (u *Usage) SetCustomers(customers map[string]*route.Customer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name := range u.names {
		if customers[name] == nil {
			delete(u.names, name)
			u.forgetLocked(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(customers)) {
		if len(u.names) >= maxNames {
			return
		}
		u.names[name] = true
	}
}

// forgetLocked removes the counters of a customer; the caller holds mu.
func (u *Usage) forgetLocked(name string) {
	label := customerLabel(name)
	for _, metric := range u.metrics.ListMetricNames() {
		if strings.HasPrefix(metric, requestsMetric+"{"+label+",") || strings.HasPrefix(metric, tokensMetric+"{"+label+",") {
			u.metrics.UnregisterMetric(metric)
		}
	}
}

// CountRequest counts a request of a customer that has ended with an outcome; requests without a customer are not counted.
func (u *Usage) CountRequest(name, outcome string) {
	u.add(requestsMetric, name, `outcome="`+outcome+`"`, 1)
}

// CountTokens counts the tokens that a request of a customer names: of its prompt, and the limit on its output.
func (u *Usage) CountTokens(name string, prompt, maxOutput int) {
	u.add(tokensMetric, name, `kind="prompt"`, prompt)
	u.add(tokensMetric, name, `kind="max-output"`, maxOutput)
}

// add adds to a counter of a customer.
func (u *Usage) add(metric, name, label string, n int) {
	if name == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.names[name] {
		name = otherName
	}
	u.metrics.GetOrCreateCounter(metric + "{" + customerLabel(name) + "," + label + "}").Add(n)
}

// labelEscapes are those of label values in the Prometheus text format.
var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// customerLabel returns the label that names a customer.
func customerLabel(name string) string { return `customer="` + labelEscapes.Replace(name) + `"` }
