package turns

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"testing"
	"time"

	"gypsumbank/fairshare"
)

var shareStart = time.Unix(1000, 0)

// askFor asks for a turn for a prompt of 200 ms.
func askFor(q *Queue, id uint64, customer fairshare.Customer, priority int, objective time.Duration) {
	q.Ask(1, Request{ID: id, GiveUp: shareStart.Add(time.Minute), Rank: Rank{Priority: priority, Objective: shareStart.Add(objective), Prefill: 200 * time.Millisecond, Customer: customer}}, shareStart)
}

// order returns the ids of the waiting requests in the order of their turns.
func order(q *Queue, now time.Time) []uint64 {
	q.sort(now)
	var ids []uint64
	for _, w := range q.waiting {
		ids = append(ids, w.ID)
	}
	return ids
}

// TestOrderOfOneCustomer guards against a change of the order where no customers are known, or only one sends requests: the decisions must
// be the same whatever its name and service are.
func TestOrderOfOneCustomer(t *testing.T) {
	for seed := range uint64(20) {
		var want []Decision
		for _, customer := range []fairshare.Customer{0, 7} {
			random := rand.New(rand.NewPCG(seed, 2))
			q, now := New(Limit), shareStart
			if customer != 0 {
				q.service.Add(customer, 20*time.Second, now)
				q.service.Add(8, time.Second, now)
			}
			var got []Decision
			for id := range uint64(60) {
				now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
				prefill := time.Duration(50+random.IntN(400)) * time.Millisecond
				q.Ask(1, Request{ID: id, Content: uint64(random.IntN(20)), GiveUp: now.Add(4 * s), Rank: Rank{Priority: random.IntN(3), Objective: now.Add(time.Duration(random.IntN(4000)) * time.Millisecond), Prefill: prefill, Customer: customer}}, now)
				decisions, _ := q.Advance(now)
				ranked := slices.IsSortedFunc(q.waiting, func(a, b *waiting) int { return a.Rank.WithoutShare().Compare(b.Rank.WithoutShare(), now) })
				if !ranked {
					t.Fatalf("seed %d, customer %d: the order is not that of urgency, returns and slack", seed, customer)
				}
				for _, d := range decisions {
					d.Position = fairshare.NoPosition
					got = append(got, d)
				}
			}
			if customer == 0 {
				want = got
			} else if !reflect.DeepEqual(got, want) {
				t.Errorf("seed %d: decisions differ for requests with a customer", seed)
			}
		}
	}
}

// TestCustomersAlternate guards against customers that take turns only once all requests of another have been served, and against waits
// that are foretold by such an order.
func TestCustomersAlternate(t *testing.T) {
	q := New(Limit)
	q.service.Add(1, 100*time.Millisecond, shareStart)
	for id := range uint64(3) {
		askFor(q, 10+id, 1, 1, 5*s)
	}
	for id := range uint64(3) {
		askFor(q, 20+id, 2, 1, 5*s)
	}
	if got, want := order(q, shareStart), []uint64{20, 10, 21, 11, 22, 12}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
	decisions, _ := q.Advance(shareStart)
	var granted []Decision
	for _, d := range decisions {
		if d.Kind == Granted {
			granted = append(granted, d)
		}
	}
	if len(granted) != 1 || granted[0].ID != 20 || !granted[0].ByShare || granted[0].Position != fairshare.NoPosition && granted[0].Position != fairshare.BelowMean {
		t.Errorf("granted %+v, want 20, before an earlier request and as of a customer below the mean", granted)
	}
	if got, want := order(q, shareStart), []uint64{10, 21, 11, 22, 12}; !slices.Equal(got, want) {
		t.Errorf("order after the grant %v, want that of the others to stay: %v", got, want)
	}
}

// TestUrgencyComesBeforeService guards against urgent requests that wait for patient ones of a customer with less service while both
// have time to spare, and against a customer beyond its share whose patient requests count as urgent ones once their slack is used up.
func TestUrgencyComesBeforeService(t *testing.T) {
	q := New(Limit)
	q.service.Add(1, 3*s, shareStart)
	q.service.Add(2, 100*time.Millisecond, shareStart)
	q.service.Add(3, 100*time.Millisecond, shareStart)
	askFor(q, 1, 1, 1, 3*s)                   // urgent, customer beyond its share
	askFor(q, 2, 2, 2, 5*s)                   // patient
	askFor(q, 3, 1, 2, 300*time.Millisecond)  // patient without slack, beyond its share
	askFor(q, 4, 2, 2, 310*time.Millisecond)  // patient without slack
	askFor(q, 5, 3, 1, 100*time.Millisecond)  // urgent, objective missed
	askFor(q, 6, 1, 1, 2900*time.Millisecond) // urgent, beyond its share
	want := []uint64{4, 5, 6, 1, 2, 3}
	if got := order(q, shareStart); !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

// TestRequestsWithoutACustomerKeepTheirUrgency guards against requests of older gateways that, taken as one customer beyond its share,
// miss their objectives while gateways are replaced by newer ones.
func TestRequestsWithoutACustomerKeepTheirUrgency(t *testing.T) {
	q := New(Limit)
	q.service.Add(0, 4*s, shareStart)
	q.service.Add(2, 100*time.Millisecond, shareStart)
	askFor(q, 1, 2, 1, 3*s)                  // customer with less service
	askFor(q, 2, 0, 1, 2*s)                  // time to spare
	askFor(q, 3, 0, 1, 300*time.Millisecond) // slack used up
	askFor(q, 4, 2, 1, 2900*time.Millisecond)
	if got, want := order(q, shareStart), []uint64{3, 4, 1, 2}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

// TestUnusedTurnsAreNotCharged guards against customers that lose their share by turns which were withdrawn, refused or given back.
func TestUnusedTurnsAreNotCharged(t *testing.T) {
	granted := func() *Queue {
		q := New(Limit)
		askFor(q, 1, 1, 1, s)
		q.Advance(shareStart)
		return q
	}
	recorded := func(q *Queue, after time.Duration) time.Duration {
		return q.service.Service(1, shareStart.Add(after))
	}
	if q := granted(); recorded(q, 0) < 200*time.Millisecond {
		t.Errorf("%s recorded for a turn of 200 ms", recorded(q, 0))
	}
	used := granted()
	if used.End(1, 1, shareStart.Add(210*time.Millisecond)); recorded(used, 210*time.Millisecond) < 190*time.Millisecond {
		t.Errorf("%s recorded for a turn of 200 ms that was used", recorded(used, 210*time.Millisecond))
	}
	back := granted()
	if back.End(1, 1, shareStart.Add(30*time.Millisecond)); recorded(back, 30*time.Millisecond) != 0 {
		t.Errorf("%s recorded for a turn that was given back", recorded(back, 30*time.Millisecond))
	}
	lost := granted()
	if lost.Remove(1, shareStart.Add(30*time.Millisecond)); recorded(lost, 30*time.Millisecond) != 0 {
		t.Errorf("%s recorded for a turn that was lost with its gateway at once", recorded(lost, 30*time.Millisecond))
	}
	waits := granted()
	askFor(waits, 2, 2, 1, s)
	waits.Ask(1, Request{ID: 3, GiveUp: shareStart, Rank: Rank{Customer: 3, Prefill: 200 * time.Millisecond}}, shareStart)
	waits.Advance(shareStart)
	waits.End(1, 2, shareStart)
	if waits.service.Len() != 1 {
		t.Errorf("%d customers recorded, want one: the others' requests were withdrawn and refused", waits.service.Len())
	}
}

// BenchmarkAdvance takes the decisions on 250 waiting requests of one and of 20 customers.
func BenchmarkAdvance(b *testing.B) {
	for _, customers := range []int{1, 20} {
		b.Run(strconv.Itoa(customers), func(b *testing.B) {
			q := New(Limit)
			for i := range 250 {
				askFor(q, uint64(i), fairshare.Customer(i%customers), i%3, time.Duration(i*7919%5000)*time.Millisecond)
			}
			for b.Loop() {
				q.Advance(shareStart)
			}
		})
	}
}

// TestServiceIsDividedByTheWeight guards against a customer with a large share that comes after others which have received less service, but
// more of their share.
func TestServiceIsDividedByTheWeight(t *testing.T) {
	now := time.Unix(1000, 0)
	const large, small fairshare.Customer = 1, 2
	rank := func(c fairshare.Customer, weight float64) *Rank {
		return &Rank{Customer: c, Weight: weight, Objective: now.Add(time.Second), Prefill: 200 * time.Millisecond}
	}
	cases := map[string]struct {
		weight     float64
		largeFirst bool
	}{
		"equal shares":           {weight: 1},
		"no weight":              {weight: 0},
		"weight below one":       {weight: 0.2},
		"less than the service":  {weight: 1.5},
		"as the service":         {weight: 4, largeFirst: true},
		"of the only large ones": {weight: 12, largeFirst: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			record := fairshare.New()
			first, second := rank(large, c.weight), rank(small, 1)
			for range 3 {
				record.Add(large, first.Service(), now)
			}
			record.Add(small, second.Service(), now)
			Share([]*Rank{first, second}, record, now)
			if got := first.Compare(*second, now) < 0; got != c.largeFirst {
				t.Errorf("large customer first: %v, want %v", got, c.largeFirst)
			}
		})
	}
}
