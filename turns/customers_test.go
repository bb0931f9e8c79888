package turns

import (
	"testing"

	"gypsumbank/fairshare"
)

// busy is the customer with the surplus.
const busy fairshare.Customer = 9

const (
	// otherCustomers is the number of the others, which are 1 to otherCustomers.
	otherCustomers = 5
	// surplusFrom and surplusTo bound the time of the surplus.
	surplusFrom, surplusTo = 20 * s, 40 * s
	// maxLossInSurplus bounds what the others' share on time loses by the surplus of one customer while it lasts, and
	// maxLoss what it loses in all. An engine does not interrupt a prompt, so some loss can't be avoided.
	maxLossInSurplus, maxLoss = 0.05, 0.03
	// minServedShare is the least share of a customer's requests that are served, as a share of that of all customers.
	minServedShare = 0.25
	// classMargin allows for single requests where classes are compared.
	classMargin   = 0.03
	customerSeeds = 12
)

// ofOthers returns a load shared equally by the other customers.
func ofOthers(l load) []load {
	var loads []load
	for c := range otherCustomers {
		l := l
		l.customer = fairshare.Customer(c + 1)
		l.perSecond /= otherCustomers
		loads = append(loads, l)
	}
	return loads
}

// ofRare returns a load shared equally by 11 further customers.
func ofRare(l load) []load {
	const customers = 11
	var loads []load
	for c := range customers {
		l := l
		l.customer = busy + 1 + fairshare.Customer(c)
		l.perSecond /= customers
		loads = append(loads, l)
	}
	return loads
}

// ofBusy returns a load of the customer with the surplus.
func ofBusy(l load) []load {
	l.customer = busy
	return []load{l}
}

func join(loads ...[]load) []load {
	var all []load
	for _, l := range loads {
		all = append(all, l...)
	}
	return all
}

// usualLoad keeps the engine busy for 0.44 of the time; a third of its urgent requests are of one customer.
func usualLoad() []load {
	return join(ofOthers(urgent.during(1, 0, 60*s)), ofOthers(patient.during(0.31, 0, 60*s)), ofBusy(urgent.during(0.5, 0, 60*s)))
}

// customerLoads are the loads by which the order with customers' shares is judged.
var customerLoads = map[string]struct {
	surplus  []load // of one customer, beyond the usual load
	all      []load // of all customers, in place of the usual load
	overload bool   // for good
}{
	"usual":                                 {},
	"one customer at seven times":           {surplus: ofBusy(urgent.during(3, surplusFrom, surplusTo))},
	"one customer at fourteen times":        {surplus: ofBusy(urgent.during(6.5, surplusFrom, surplusTo))},
	"one customer's urgent and patient":     {surplus: join(ofBusy(urgent.during(2, surplusFrom, surplusTo)), ofBusy(patient.during(2, surplusFrom, surplusTo)))},
	"short burst of the urgent":             {surplus: ofBusy(urgent.during(8, surplusFrom, surplusFrom+2*s))},
	"long burst of the patient":             {surplus: ofBusy(patient.during(3, surplusFrom, surplusTo))},
	"rare models asked for at once":         {surplus: join(ofBusy(urgent.during(40, surplusFrom, surplusFrom+s/2)), ofBusy(patient.during(20, surplusFrom, surplusFrom+s/2)))},
	"rare models asked for at once, by all": {all: join(ofOthers(urgent.during(20, 0, s/2)), ofOthers(patient.during(10, 0, s/2)), ofBusy(urgent.during(20, 0, s/2)), ofBusy(patient.during(10, 0, s/2)))},
	"a third of the engines gone":           {all: join(ofOthers(urgent.during(1.5, 0, 60*s)), ofOthers(patient.during(0.5, 0, 60*s)), ofBusy(urgent.during(0.75, 0, 60*s)))},
	"overload for good":                     {all: join(ofOthers(urgent.during(4, 0, 60*s)), ofOthers(patient.during(1.2, 0, 60*s)), ofBusy(urgent.during(2, 0, 60*s)), ofBusy(patient.during(0.3, 0, 60*s))), overload: true},
	"overload for good, equal customers":    {all: join(ofOthers(urgent.during(6, 0, 60*s)), ofOthers(patient.during(1.5, 0, 60*s))), overload: true},
	"overload for good, rare customers":     {all: join(ofOthers(urgent.during(6, 0, 60*s)), ofOthers(patient.during(1.5, 0, 60*s)), ofRare(urgent.during(0.77, 0, 60*s))), overload: true},
}

// customerResults holds what became of the requests of several days.
type customerResults []*simulation

// runCustomers runs loads of 29 gateways before one engine, one day for each seed.
func runCustomers(unshared bool, loads []load) customerResults {
	var results customerResults
	for seed := range uint64(customerSeeds) {
		sim := newSimulation(seed)
		sim.unshared = unshared
		sim.run(29, append([]load(nil), loads...)...)
		results = append(results, sim)
	}
	return results
}

func (r customerResults) of(counts func(*job) bool) class {
	var total class
	for _, sim := range r {
		c := sim.resultsOf(counts)
		total.sent += c.sent
		total.served += c.served
		total.onTime += c.onTime
		total.refusedTwice += c.refusedTwice
		total.longest = max(total.longest, c.longest)
	}
	return total
}

// ofClass returns the results of the customer with the surplus, or of the others, for requests of a priority.
func (r customerResults) ofClass(isBusy bool, priority int) class {
	return r.of(func(j *job) bool { return (j.load.customer == busy) == isBusy && j.load.priority == priority })
}

// ofPriority returns the results of all requests of a priority.
func (r customerResults) ofPriority(priority int) class {
	return r.of(func(j *job) bool { return j.load.priority == priority })
}

// duringSurplus returns the results of the others for requests of a priority that come while the surplus lasts.
func (r customerResults) duringSurplus(priority int) class {
	return r.of(func(j *job) bool {
		return j.load.customer != busy && j.load.priority == priority && j.arrived >= surplusFrom && j.arrived < surplusTo
	})
}

// TestSurplusOfOneCustomer guards against customers at their usual load that wait for the surplus of another one.
func TestSurplusOfOneCustomer(t *testing.T) {
	usual := runCustomers(false, usualLoad())
	for name, c := range customerLoads {
		if c.surplus == nil {
			continue
		}
		t.Run(name, func(t *testing.T) {
			without, with := runCustomers(true, join(usualLoad(), c.surplus)), runCustomers(false, join(usualLoad(), c.surplus))
			for _, priority := range []int{1, 2} {
				want, got, before := usual.duringSurplus(priority).share(), with.duringSurplus(priority), without.duringSurplus(priority)
				t.Logf("priority %d: others on time %.3f without the surplus, %.3f with it, %.3f without shares; longest wait %s and %s", priority, want, got.share(), before.share(), got.longest, before.longest)
				if got.share() < want-maxLossInSurplus {
					t.Errorf("priority %d: %.3f of the others' requests on time while the surplus lasts, %.3f without it", priority, got.share(), want)
				}
				if all, wantAll := with.ofClass(false, priority).share(), usual.ofClass(false, priority).share(); all < wantAll-maxLoss {
					t.Errorf("priority %d: %.3f of the others' requests on time in all, %.3f without the surplus", priority, all, wantAll)
				}
			}
		})
	}
}

// TestSharesStarveNobody guards against a customer or a class that the order with customers' shares leaves out: each customer must be
// served at least minServedShare as often as all, and no class less than a more patient one by more than without shares. With a
// surplus of one customer, its classes and those of the others are compared separately, as what is refused is of its surplus. The
// days on which all customers send more must be no worse than without shares.
func TestSharesStarveNobody(t *testing.T) {
	for name, c := range customerLoads {
		t.Run(name, func(t *testing.T) {
			loads := c.all
			if loads == nil {
				loads = join(usualLoad(), c.surplus)
			}
			without, with := runCustomers(true, loads), runCustomers(false, loads)
			all := with.of(func(*job) bool { return true })
			for customer := range busy + 1 {
				got := with.of(func(j *job) bool { return j.load.customer == customer })
				if float64(got.served*all.sent) < minServedShare*float64(all.served*got.sent) {
					t.Errorf("%d of %d requests of customer %d served, %d of %d of all", got.served, got.sent, customer, all.served, all.sent)
				}
				for _, priority := range []int{1, 2} {
					ofClass := func(j *job) bool { return j.load.customer == customer && j.load.priority == priority }
					if got := with.of(ofClass); got.sent > 0 {
						t.Logf("customer %d, priority %d: %.3f on time, %.3f without shares", customer, priority, got.share(), without.of(ofClass).share())
					}
				}
			}
			for _, isBusy := range []bool{false, true} {
				u, p := with.ofClass(isBusy, 1), with.ofClass(isBusy, 2)
				bu, bp := without.ofClass(isBusy, 1), without.ofClass(isBusy, 2)
				t.Logf("customer with surplus %v: on time with shares (without): urgent %.3f (%.3f), patient %.3f (%.3f)", isBusy, u.share(), bu.share(), p.share(), bp.share())
				if c.overload && u.share() < p.share() {
					t.Errorf("customer with surplus %v: %.3f of the urgent on time and %.3f of the patient", isBusy, u.share(), p.share())
				}
			}
			compare := func(of string, u, p, bu, bp class) {
				if gap, before := u.servedShare()-p.servedShare(), bu.servedShare()-bp.servedShare(); u.sent > 0 && p.sent > 0 && gap < min(0, before)-classMargin {
					t.Errorf("of %s: %.3f of the urgent served and %.3f of the patient, %.3f and %.3f without shares", of, u.servedShare(), p.servedShare(), bu.servedShare(), bp.servedShare())
				}
			}
			if c.surplus != nil {
				compare("the others", with.ofClass(false, 1), with.ofClass(false, 2), without.ofClass(false, 1), without.ofClass(false, 2))
				compare("the customer with the surplus", with.ofClass(true, 1), with.ofClass(true, 2), without.ofClass(true, 1), without.ofClass(true, 2))
				return
			}
			u, p, bu, bp := with.ofPriority(1), with.ofPriority(2), without.ofPriority(1), without.ofPriority(2)
			compare("all customers", u, p, bu, bp)
			if u.share() < bu.share()-maxLossInSurplus || p.share() < bp.share()-maxLossInSurplus {
				t.Errorf("on time: %.3f of the urgent and %.3f of the patient, %.3f and %.3f without shares", u.share(), p.share(), bu.share(), bp.share())
			}
		})
	}
}
