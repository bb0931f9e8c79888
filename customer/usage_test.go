package customer

import (
	"fmt"
	"strings"
	"testing"

	"gypsumbank/route"
)

// customersNamed returns customers by name.
func customersNamed(names ...string) map[string]*route.Customer {
	customers := map[string]*route.Customer{}
	for _, name := range names {
		customers[name] = &route.Customer{Name: name}
	}
	return customers
}

// exposed returns the metrics as they are scraped.
func exposed(u *Usage) string {
	var text strings.Builder
	u.Metrics().WritePrometheus(&text)
	return text.String()
}

// TestUsageForgetsCustomersThatAreGone guards against metrics that grow with all customers there ever were, and against names that
// break the text format.
func TestUsageForgetsCustomersThatAreGone(t *testing.T) {
	u := NewUsage()
	odd := "a\"b\\c\nd{e}"
	u.SetCustomers(customersNamed("acme", "acme2", odd))
	for _, name := range []string{"acme", "acme2", odd, "never listed", ""} {
		u.CountRequest(name, "served")
		u.CountTokens(name, 100, 20)
	}
	want := []string{
		`gypsumbank_gateway_customer_requests_total{customer="acme",outcome="served"} 1`,
		`gypsumbank_gateway_customer_tokens_total{customer="acme",kind="prompt"} 100`,
		`gypsumbank_gateway_customer_tokens_total{customer="acme2",kind="max-output"} 20`,
		`gypsumbank_gateway_customer_requests_total{customer="a\"b\\c\nd{e}",outcome="served"} 1`,
		`gypsumbank_gateway_customer_requests_total{customer="other",outcome="served"} 1`,
	}
	for _, line := range want {
		if !strings.Contains(exposed(u), line+"\n") {
			t.Errorf("no line %s in\n%s", line, exposed(u))
		}
	}
	u.SetCustomers(customersNamed("acme2"))
	u.CountRequest("acme", "served") // a request that was in progress
	text := exposed(u)
	if strings.Contains(text, `"acme"`) || strings.Contains(text, "d{e}") {
		t.Errorf("customers that are gone are still listed:\n%s", text)
	}
	if !strings.Contains(text, `customer="acme2",outcome="served"} 1`) || !strings.Contains(text, `customer="other",outcome="served"} 2`) {
		t.Errorf("the counts of the customer that stays, and of those that are gone, are not kept:\n%s", text)
	}
}

// TestUsageIsBounded guards against metrics that grow with the number of customers.
func TestUsageIsBounded(t *testing.T) {
	u := NewUsage()
	names := make([]string, 4*maxNames)
	for i := range names {
		names[i] = fmt.Sprint("b", i)
	}
	u.SetCustomers(customersNamed("z-first"))
	u.SetCustomers(customersNamed(append(names, "z-first")...))
	for _, name := range append(names, "z-first") {
		u.CountRequest(name, "served")
	}
	if n := len(u.Metrics().ListMetricNames()); n != maxNames+1 {
		t.Errorf("%d metrics, want those of %d customers and of all others", n, maxNames)
	}
	if !strings.Contains(exposed(u), `customer="z-first"`) {
		t.Error("a customer that was counted by name is no longer, as others were added")
	}
}
