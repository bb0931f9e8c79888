package waitlist

import (
	"strconv"
	"testing"
	"time"

	"gypsumbank/fairshare"
	"gypsumbank/turns"
)

// customerRank returns the rank of a request of a customer that can wait for a time.
func customerRank(customer fairshare.Customer, priority int, objective time.Duration) Rank {
	at := start.Add(objective)
	return Rank{Priority: priority, Objective: at, Cost: &turns.Rank{Priority: priority, Objective: at, Prefill: 200 * time.Millisecond, Customer: customer}}
}

// TestSurplusOfOneCustomer has one customer send seven requests for each one of the others, all equally urgent. It guards against
// customers at their usual load whose requests wait behind the surplus of another one.
func TestSurplusOfOneCustomer(t *testing.T) {
	const busy, others = 9, 3
	list, key := New(), Key{Service: "s", Model: "m"}
	list.Grant(customerRank(busy, 1, 5*time.Second), start)
	var ofBusy, ofOthers []*Place
	for i := range 7 * others {
		ofBusy = append(ofBusy, list.Join(key, customerRank(busy, 1, 5*time.Second)))
		if i < others {
			ofOthers = append(ofOthers, list.Join(key, customerRank(fairshare.Customer(i+1), 1, 5*time.Second+time.Duration(i)*time.Millisecond)))
		}
	}
	for i, p := range ofOthers {
		if ahead := p.Ahead(start); ahead > i {
			t.Errorf("%d requests are ahead of the one of customer %d, want at most %d: those of others before it", ahead, i+1, i)
		}
	}
	if first := ofOthers[0]; !first.IsFirstByShare(start) || ofBusy[0].IsFirstByShare(start) {
		t.Error("the first request is not known as first by its customer's share")
	}
	if ahead := list.AheadOf(key, customerRank(8, 1, 6*time.Second), start); ahead != others {
		t.Errorf("%d requests would be ahead of one of a further customer, want %d", ahead, others)
	}
	if got := ofBusy[0].Ahead(start); got != others {
		t.Errorf("%d requests are ahead of the first of the busy customer, want %d", got, others)
	}
	seen := map[int]bool{}
	for _, p := range append(ofBusy, ofOthers...) {
		seen[p.Ahead(start)] = true
	}
	if len(seen) != 8*others {
		t.Errorf("%d places are taken by %d requests, want one each", len(seen), 8*others)
	}
	ofOthers[0].Leave()
	if ahead := ofOthers[1].Ahead(start); ahead != 0 {
		t.Errorf("%d requests are ahead of the next customer's after the first has left, want none", ahead)
	}
}

// TestOrderOfOneCustomer guards against a change of the order where requests have no customer, or all the same one.
func TestOrderOfOneCustomer(t *testing.T) {
	for _, customer := range []fairshare.Customer{0, 7} {
		list, key := New(), Key{Service: "s", Model: "m"}
		list.Grant(customerRank(customer, 1, time.Second), start)
		list.Grant(customerRank(8, 1, time.Second), start)
		want := []Rank{customerRank(customer, 2, 250*time.Millisecond), customerRank(customer, 1, time.Second), customerRank(customer, 1, 2*time.Second), customerRank(customer, 2, 5*time.Second)}
		places := make([]*Place, len(want))
		for i := len(want) - 1; i >= 0; i-- {
			places[i] = list.Join(key, want[i])
		}
		for i, p := range places {
			if ahead := p.Ahead(start); ahead != i || p.IsFirstByShare(start) {
				t.Errorf("customer %d: %d requests are ahead of number %d", customer, ahead, i)
			}
		}
	}
}

// TestGrantsOfRequestsThatDidNotRun guards against customers that lose their share by requests which were not sent, or which targets have
// refused.
func TestGrantsOfRequestsThatDidNotRun(t *testing.T) {
	list := New()
	if grant := list.Grant(Rank{}, start); grant != nil {
		t.Error("service is recorded where waits have no cost")
	}
	var none *Grant
	none.Return(start)
	list.Grant(customerRank(1, 1, time.Second), start)
	grant := list.Grant(customerRank(2, 1, time.Second), start)
	list.Grant(customerRank(2, 1, time.Second), start)
	if got := list.Position(2, start); got != fairshare.AboveMean {
		t.Errorf("position %q of the customer with two grants", got)
	}
	later := start.Add(time.Second)
	grant.Return(later)
	grant.Return(later)
	if one, two := list.service.Service(1, later), list.service.Service(2, later); (one-two).Abs() > time.Microsecond || one == 0 {
		t.Errorf("%s and %s recorded, want the same once the second grant was returned", one, two)
	}
}

// BenchmarkAhead finds the place of one of 500 waiting requests of one and of 20 customers, 10,000 times a second.
func BenchmarkAhead(b *testing.B) {
	for _, customers := range []int{1, 20} {
		b.Run(strconv.Itoa(customers), func(b *testing.B) {
			list, now := New(), start
			var last *Place
			for i := range 500 {
				last = list.Join(Key{}, customerRank(fairshare.Customer(i%customers), i%3, time.Duration(i*7919%5000)*time.Millisecond))
			}
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				last.Ahead(now)
			}
		})
	}
}
