package gateway

import (
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"

	"gypsumbank/request"
	"gypsumbank/route"
	"gypsumbank/settings"
)

// TestNoCallsWithoutQuotas guards against accounts, and so calls to agents, where there are no customers or where they have no quota.
func TestNoCallsWithoutQuotas(t *testing.T) {
	g := &Gateway{quotas: newQuotas(&settings.Config{}, nil, logrus.NewEntry(logrus.New()))}
	g.quotas.setAgents([]string{"10.0.0.1:1", "10.0.0.2:1"})
	table := route.New(1, route.Limits{}, nil, nil)
	for name, table := range map[string]*route.Table{
		"no customers":     table,
		"without a quota":  table.WithCustomers([]route.Customer{{Name: "acme", Keys: []string{"key-1"}}}),
		"another customer": table.WithCustomers([]route.Customer{{Name: "other", Quota: route.Quota{PerSecond: 1, Burst: 1}}}),
	} {
		charge, ok := g.chargeQuota(httptest.NewRecorder(), httptest.NewRequest("GET", "/safe/a", nil), &request.Request{Customer: "acme"}, table)
		if charge != nil || !ok || len(g.quotas.accounts) > 0 {
			t.Errorf("%s: charged: %v, admitted: %v, %d accounts", name, charge != nil, ok, len(g.quotas.accounts))
		}
	}
}
