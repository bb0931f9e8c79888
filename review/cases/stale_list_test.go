package cases

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestStaleList has the store turn away, for some seconds, the two agents that read the list of replicas for the gateways, while the
// replicas of a plain service are replaced one after the other. It checks that no replica gets a request later than the drain time after
// the store has acknowledged that it leaves.
func TestStaleList(t *testing.T) {
	const (
		awayTime    = 9 * time.Second // how long the store turns the machines away
		replaceGap  = 800 * time.Millisecond
		lingerTime  = 6 * time.Second // how long a replica serves on after the drain time
		requestGap  = 400 * time.Millisecond
		ledgerSlots = 6
		rounds      = 2
	)
	only := model{"daka510000", 72700}
	d := newDeployment(t)
	d.publish(3, []map[string]any{
		manifestRoute("/post/", "unsafe", "route-ledger", 1000, 150, 1), manifestRoute("/look/", "safe", "route-ledger", 1000, 150, 2),
		manifestRoute("/ask/", "streaming", "mat-advisor", 15000, 400, 1),
	}, []map[string]any{engineService("mat-advisor", 220000, []model{only}), plainService("route-ledger")})
	var agents []*process
	for i := range 4 {
		ip := fmt.Sprintf("%s.2.%d", d.network, i+1)
		engine := &replica{
			d: d, id: fmt.Sprintf("i-engine-%d", i+1), service: "mat-advisor", zone: "atlanta", ip: ip, address: ip + ":0", slots: 64, catalog: map[string]model{only.name: only},
			weightMemoryMB: 220000, held: map[string]bool{only.name: true}, events: 5, eventInterval: 20 * time.Millisecond,
		}
		engine.listen()
		agents = append(agents, d.startAgent(engine))
	}
	var mu sync.Mutex
	var late []string
	received := func(r *replica, id, _ string, at time.Time) {
		since := time.Duration(0)
		if left := r.leftAt(); !left.IsZero() {
			since = at.Sub(left)
		}
		if since > drainTime {
			mu.Lock()
			defer mu.Unlock()
			late = append(late, fmt.Sprintf("request %s reached %s %d ms after the store had acknowledged that it leaves", id, r.id, since.Milliseconds()))
		}
	}
	newLedger := func(number, generation int) *replica {
		ip := fmt.Sprintf("%s.3.%d", d.network, number)
		r := &replica{
			d: d, id: fmt.Sprintf("i-ledger-%d-%d", number, generation), service: "route-ledger", zone: "atlanta", ip: ip, address: ip + ":0", slots: ledgerSlots, work: 30 * time.Millisecond, onRequest: received,
		}
		r.listen()
		return r
	}
	var ledgers []*replica
	for i := range 4 {
		ledgers = append(ledgers, newLedger(i+1, 1))
	}
	gateways := []*process{d.startGateway(1, "atlanta"), d.startGateway(2, "birmingham"), d.startGateway(3, "charlotte")}
	d.waitReady(gateways...)
	time.Sleep(5 * time.Second)

	stop := make(chan struct{})
	var traffic load
	for _, gateway := range gateways {
		g := newRequester(d, gateway)
		traffic.start(stop, 2*requestGap, func() outcome { return g.send(http.MethodPost, "/post/1", strings.NewReader("swap"), time.Second, nil) })
		traffic.start(stop, 2*requestGap, func() outcome { return g.send(http.MethodGet, "/look/1", nil, time.Second, nil) })
	}
	for round := range rounds {
		for _, a := range agents {
			a.front.targetReads.Store(0)
		}
		time.Sleep(4 * time.Second)
		sort.Slice(agents, func(i, j int) bool { return agents[i].front.targetReads.Load() > agents[j].front.targetReads.Load() })
		readers := agents[:2]
		if d.trouble {
			for _, a := range readers {
				a.front.away.Store(true)
				d.note("the store turns %s away", a.name)
			}
		}
		began := time.Now()
		time.Sleep(100 * time.Millisecond)
		for i, old := range ledgers {
			ledgers[i] = newLedger(i+1, round+2)
			time.Sleep(200 * time.Millisecond)
			old.leave()
			time.AfterFunc(drainTime+lingerTime, old.exit)
			time.Sleep(replaceGap - 200*time.Millisecond)
		}
		time.Sleep(time.Until(began.Add(awayTime)))
		for _, a := range readers {
			a.front.away.Store(false)
			d.note("the store serves %s", a.name)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	seen := summary(traffic.end())
	t.Log("requests: " + seen)
	d.note("requests: %s", seen)
	mu.Lock()
	defer mu.Unlock()
	for _, l := range late {
		t.Error("DRAIN: " + l)
		d.note("DRAIN broken: %s", l)
	}
}
