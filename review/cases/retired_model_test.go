package cases

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestRetiredModel has the operator take one model out of the manifest and put another in, while engines hold the old one, and checks
// that no engine is ordered to load more than its memory holds. Without the disruption the new model is put in beside the old ones.
func TestRetiredModel(t *testing.T) {
	const memoryMB = 220000
	kept, other, retired, added := model{"daka510000", 72700}, model{"ravo486f6a", 72700}, model{"gopu49ded4", 72700}, model{"base151689", 72700}
	catalog := map[string]model{}
	for _, m := range []model{kept, other, retired, added} {
		catalog[m.name] = m
	}
	d := newDeployment(t)
	routes := []map[string]any{manifestRoute("/ask/", "streaming", "mat-advisor", 15000, 400, 1)}
	d.publish(3, routes, []map[string]any{engineService("mat-advisor", memoryMB, []model{kept, other, retired})})
	var engines []*replica
	for i := range 3 {
		ip := d.network + ".2." + string(rune('1'+i))
		engine := &replica{
			d: d, id: "i-engine-" + string(rune('1'+i)), service: "mat-advisor", zone: "atlanta", ip: ip, address: ip + ":0", slots: 64, catalog: catalog, weightMemoryMB: memoryMB,
			storeLoad: 1200 * time.Millisecond, diskLoad: 520 * time.Millisecond, held: map[string]bool{kept.name: true, other.name: true, retired.name: true}, events: 20, eventInterval: 50 * time.Millisecond,
		}
		engine.listen()
		d.startAgent(engine)
		engines = append(engines, engine)
	}
	gateways := []*process{d.startGateway(1, "atlanta"), d.startGateway(2, "birmingham")}
	d.waitReady(gateways...)
	time.Sleep(5 * time.Second) // traffic starts some seconds after the machines do

	stop := make(chan struct{})
	var steady, fresh load
	ask := func(g *requester, m model) func() outcome {
		return func() outcome {
			return g.send(http.MethodPost, "/ask/q", strings.NewReader("prompt"), 15*time.Second, map[string]string{
				"X-Gypsumbank-Model": m.name, "X-Gypsumbank-Token-Usage": "628,100", "X-Gypsumbank-Prompt-Prefix": "5c1e07a2:300," + newID()[:8] + ":328",
			})
		}
	}
	for _, gateway := range gateways {
		g := newRequester(d, gateway)
		steady.start(stop, 250*time.Millisecond, ask(g, kept))
		steady.start(stop, 250*time.Millisecond, ask(g, other))
	}
	time.Sleep(4 * time.Second)
	listed := []model{kept, other, retired, added}
	if d.trouble {
		listed = []model{kept, other, added}
	}
	d.publish(7, routes, []map[string]any{engineService("mat-advisor", memoryMB, listed)})
	time.Sleep(4 * time.Second) // beyond the time within which a manifest is in force
	for _, gateway := range gateways {
		fresh.start(stop, 400*time.Millisecond, ask(newRequester(d, gateway), added))
	}
	time.Sleep(14 * time.Second)
	close(stop)
	seen := fmt.Sprintf("requests for the kept models: %s; for the added one: %s", summary(steady.end()), summary(fresh.end()))
	t.Log(seen)
	d.note("%s", seen)
	for _, engine := range engines {
		engine.mu.Lock()
		for _, overload := range engine.overloads {
			t.Errorf("LIMIT: %s", overload)
			d.note("LIMIT broken: %s", overload)
		}
		engine.mu.Unlock()
	}
}
