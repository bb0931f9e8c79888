package gateway_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

const (
	repeatTargets  = 4
	repeatGateways = 3
	// repeatDowntime is longer than repeatReaction, so that all that the targets get after their return is late.
	repeatDowntime = 3300 * time.Millisecond
	// endsKnown is the end of a target from which on gateways have repeatReaction to stop the request that caused it, which may
	// reach targets in repeatSendsAllowed retries after that.
	endsKnown          = 3
	repeatReaction     = 3 * time.Second
	repeatSendsAllowed = 3
)

// repeatDeployment is a plain service whose targets each end under one request, with gateways that get it again and again.
type repeatDeployment struct {
	*gatewayGroup

	downtime time.Duration
	ends     []time.Time // arrivals of the request at targets, each of which ends one
	sound    []soundResult
}

// startTargets starts the targets of the plain service. Each listens at a loopback address of its own.
func (d *repeatDeployment) startTargets() {
	for i := range repeatTargets {
		id := fmt.Sprintf("p%d", i)
		var target *site.Target
		register := func() { d.store.Put("servers", id, target.RegistryEntry("plain", "ready")) }
		ready := make(chan struct{})
		target = site.NewTargetAt(fmt.Sprintf("127.0.0.%d:0", 80+i), id, func(conn net.Conn, request *site.ReceivedRequest) bool {
			<-ready
			time.Sleep(20 * time.Millisecond)
			if !strings.Contains(request.RequestLine, "/ends-targets") {
				return site.TextResponse(200, "ok")(conn, request)
			}
			d.mu.Lock()
			d.ends = append(d.ends, time.Now())
			d.mu.Unlock()
			target.Crash(d.downtime, register)
			return false
		})
		close(ready)
		register()
		d.t.Cleanup(target.Close)
	}
}

// startEngine starts an engine, whose agent gateways connect to.
func (d *repeatDeployment) startEngine() {
	engine := site.NewTargetAt("127.0.0.90:0", "e", site.EventStream(4, 5*time.Millisecond, 0))
	engine.Load("m1")
	d.store.Put("servers", "e", engine.RegistryEntry("engine", "ready"))
	d.t.Cleanup(engine.Close)
	d.startAgent("e", engine)
}

// sendToAll sends a request of the same content, with an id of its own, through each gateway at the same time.
func (d *repeatDeployment) sendToAll(n int, method, path string) {
	var sends sync.WaitGroup
	for i := range repeatGateways {
		sends.Go(func() {
			at := time.Now()
			answer := d.sendTo(i, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nX-Gypsumbank-Request-Id: %s-%d-%d\r\nContent-Length: 0\r\n\r\n", method, path, callerHost, strings.Trim(path, "/"), n, i))
			if strings.Contains(path, "/ends-targets") {
				return
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			d.sound = append(d.sound, soundResult{at, strings.HasPrefix(answer, "HTTP/1.1 200")})
		})
	}
	sends.Wait()
}

// known returns when endsKnown targets had ended; the time is zero before that.
func (d *repeatDeployment) known() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.ends) < endsKnown {
		return time.Time{}
	}
	return d.ends[endsKnown-1]
}

// repeatCase is a deployment in which a request ends targets again and again, and what happens to it meanwhile.
type repeatCase struct {
	method, route string // of the request; a safe one if empty
	downtime      time.Duration
	withoutAgents bool
	disturb       func(d *repeatDeployment)
}

// run lets the request come every 400 ms at all gateways, beside sound ones, and checks where it ended targets.
func (c repeatCase) run(t *testing.T) {
	t.Parallel()
	if c.method == "" {
		c.method, c.route = "GET", "/safe"
	}
	d := &repeatDeployment{gatewayGroup: newGatewayGroup(t), downtime: c.downtime}
	d.startTargets()
	if !c.withoutAgents {
		d.startEngine()
	}
	for i := range repeatGateways {
		d.startGateway(i)
	}
	time.Sleep(1200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 11*time.Second)
	defer cancel()
	var traffic sync.WaitGroup
	traffic.Go(func() {
		sendEvery(ctx, 50*time.Millisecond, func(n int) { d.sendToAll(n, "GET", fmt.Sprintf("/safe/sound%d", n)) })
	})
	time.Sleep(200 * time.Millisecond)
	traffic.Go(func() {
		sendEvery(ctx, 400*time.Millisecond, func(n int) { d.sendToAll(n, c.method, c.route+"/ends-targets") })
	})
	for ctx.Err() == nil && d.known().IsZero() {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(repeatReaction / 2)
	if c.disturb != nil {
		c.disturb(d)
	}
	traffic.Wait()
	d.check()
}

// TestRequestThatEndsEachTargetIsRefusedAtAllGateways guards against a request that ends all targets of a service each time that
// they are back: it comes at all gateways at once and is sent on to the next target, so that a whole service ends within a moment.
func TestRequestThatEndsEachTargetIsRefusedAtAllGateways(t *testing.T) {
	t.Parallel()
	cases := map[string]repeatCase{
		"a safe request":        {},
		"an unsafe request":     {method: "POST", route: "/unsafe"},
		"the store is away":     {disturb: func(d *repeatDeployment) { d.store.SetFault(site.Down) }},
		"a gateway is replaced": {disturb: func(d *repeatDeployment) { d.replaceGateways(1) }},
		"all are replaced":      {disturb: func(d *repeatDeployment) { d.replaceGateways(repeatGateways) }},
	}
	for name, c := range cases {
		c.downtime = repeatDowntime
		t.Run(name, c.run)
	}
}

// TestEndsOfTargetsThatAreBackSoonCount guards against targets that are back before anything has checked whether they have ended, so that
// the request that ends them goes on for ever.
func TestEndsOfTargetsThatAreBackSoonCount(t *testing.T) {
	t.Parallel()
	cases := map[string]repeatCase{
		"back at once":       {downtime: 5 * time.Millisecond},
		"between two checks": {downtime: 100 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, c.run)
	}
}

// TestGatewaysWithoutAgentsStopARequestTogether guards against gateways that each wait for ends of targets of their own where there is no
// agent to tell each other through.
func TestGatewaysWithoutAgentsStopARequestTogether(t *testing.T) {
	t.Parallel()
	cases := map[string]repeatCase{
		"a safe request":        {},
		"an unsafe request":     {method: "POST", route: "/unsafe"},
		"a gateway is replaced": {disturb: func(d *repeatDeployment) { d.replaceGateways(1) }},
		"all are replaced":      {disturb: func(d *repeatDeployment) { d.replaceGateways(repeatGateways) }},
		"the store stops answering for a while": {disturb: func(d *repeatDeployment) {
			d.store.SetFault(site.Down)
			time.AfterFunc(time.Second, func() { d.store.SetFault(site.NoFault) })
		}},
	}
	for name, c := range cases {
		c.downtime, c.withoutAgents = repeatDowntime, true
		t.Run(name, c.run)
	}
}

// check reports repeats that reached targets too late, and sound requests that were not served once targets are back.
func (d *repeatDeployment) check() {
	d.t.Helper()
	known := d.known()
	if known.IsZero() {
		d.t.Fatalf("only %d targets have ended", len(d.ends))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	late := 0
	for _, at := range d.ends {
		if at.Sub(known) > repeatReaction {
			late++
		}
	}
	if late > repeatSendsAllowed {
		d.t.Errorf("the request reached targets %d times later than %s after end %d, of %d in all; %d are allowed", late, repeatReaction, endsKnown, len(d.ends), repeatSendsAllowed)
	}
	total, served := 0, 0
	for _, result := range d.sound {
		if result.at.Sub(known) > 2*repeatReaction {
			total++
			if result.served {
				served++
			}
		}
	}
	if total < 20 || served*10 < total*9 {
		d.t.Errorf("%d of %d sound requests were served from %s after the ends, want nine in ten of at least 20", served, total, 2*repeatReaction)
	}
}
