package route

import "testing"

// TestPriorityOrdersByCustomerThenRoute guards against patient requests that engines serve like urgent ones as both are of customers with the
// same priority, and against a customer whose priority does not go before the route's.
func TestPriorityOrdersByCustomerThenRoute(t *testing.T) {
	first, second := 1, 3
	gold, plain, none := &Customer{Name: "gold", Priority: &first}, &Customer{Name: "plain", Priority: &second}, &Customer{Name: "none"}
	urgent, patient := &Route{Host: "h", Prefix: "/u/", Priority: 1}, &Route{Host: "h", Prefix: "/p/", Priority: 2}
	table := New(1, Limits{}, nil, []Route{*urgent, *patient})
	if got := table.Priority(nil, patient); got != patient.Priority {
		t.Errorf("priority %d without customers, want that of the route", got)
	}
	table = table.WithCustomers([]Customer{*gold, *plain, *none})
	order := []struct {
		customer *Customer
		route    *Route
	}{{gold, urgent}, {gold, patient}, {nil, patient}, {plain, urgent}, {plain, patient}}
	for i := 1; i < len(order); i++ {
		before, after := table.Priority(order[i-1].customer, order[i-1].route), table.Priority(order[i].customer, order[i].route)
		if before >= after {
			t.Errorf("place %d has priority %d, the one after it %d", i-1, before, after)
		}
	}
	if a, b := table.Priority(none, urgent), table.Priority(nil, urgent); a != b {
		t.Errorf("a customer without a priority has %d, a request without a customer %d", a, b)
	}
}

// TestPriorityFitsTheLevelsOfEngines guards against priorities that engines do not accept, where customers have many.
func TestPriorityFitsTheLevelsOfEngines(t *testing.T) {
	const count = 40
	customers := make([]Customer, count)
	for i := range customers {
		priority := i
		customers[i] = Customer{Name: string(rune('a' + i)), Priority: &priority}
	}
	r := Route{Host: "h", Prefix: "/"}
	table := New(1, Limits{}, nil, []Route{r}).WithCustomers(customers)
	last := 0
	for i := range customers {
		got := table.Priority(&customers[i], &r)
		if got < last || got >= PriorityLevels {
			t.Errorf("customer %d has priority %d after %d, want at most %d", i, got, last, PriorityLevels-1)
		}
		last = got
	}
	if last != PriorityLevels-1 {
		t.Errorf("the last customer has priority %d, want %d", last, PriorityLevels-1)
	}
}

// TestWeight guards against a customer with a large quota that has no more than an equal share where requests wait, and against one with a small
// quota that has less.
func TestWeight(t *testing.T) {
	cases := map[string]struct {
		quotas []float64 // a second, 0 for none
		units  []Unit    // of the quotas; all Requests if empty
		want   []float64
	}{
		"no quotas":           {quotas: []float64{0, 0}, want: []float64{1, 1}},
		"equal quotas":        {quotas: []float64{50, 50, 50}, want: []float64{1, 1, 1}},
		"one large quota":     {quotas: []float64{700, 100, 100}, want: []float64{700.0 / 300, 1, 1}},
		"one without a quota": {quotas: []float64{300, 100, 0}, want: []float64{1.5, 1, 1}},
		"quotas of two units": {quotas: []float64{20, 40, 100_000, 300_000}, units: []Unit{Requests, Requests, Tokens, Tokens}, want: []float64{1, 40.0 / 30, 1, 1.5}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			customers := make([]Customer, len(c.quotas))
			for i, perSecond := range c.quotas {
				customers[i] = Customer{Name: string(rune('a' + i)), Quota: Quota{PerSecond: perSecond}}
				if len(c.units) > 0 {
					customers[i].Quota.Unit = c.units[i]
				}
			}
			table := (&Table{}).WithCustomers(customers)
			for i := range customers {
				if got := table.Weight(&customers[i]); got != c.want[i] {
					t.Errorf("weight of customer %d is %g, want %g", i, got, c.want[i])
				}
			}
		})
	}
}
