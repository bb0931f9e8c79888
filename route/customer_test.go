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
