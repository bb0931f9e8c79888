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
	crashEngines  = 8
	crashGateways = 3
	crashDowntime = 700 * time.Millisecond
	// crashesKnown is the crash from which on processes have crashReaction to stop requests like those that caused it, up to
	// crashSendsAllowed of which may reach an engine later.
	crashesKnown      = 5
	crashReaction     = 3 * time.Second
	crashSendsAllowed = 3
)

// crashDeployment is a store, engines with their agents, and gateways. Engines crash under requests with the prompt part
// "bad", which have nothing else in common.
type crashDeployment struct {
	*gatewayGroup

	crashes  []time.Time // of engines
	badSends []time.Time // arrivals of requests with the bad part at engines
	agents   []func()    // each ends an agent and starts another in its place
	sound    []soundResult
}

// soundResult is the outcome of a request without the bad part.
type soundResult struct {
	at     time.Time
	served bool
}

func newCrashDeployment(t *testing.T) *crashDeployment {
	d := &crashDeployment{gatewayGroup: newGatewayGroup(t)}
	for i := range crashEngines {
		d.startEngine(i)
	}
	for i := range crashGateways {
		d.startGateway(i)
	}
	return d
}

// startEngine starts an engine at a loopback address of its own, with its agent.
func (d *crashDeployment) startEngine(i int) {
	host := fmt.Sprintf("127.0.0.%d", 40+i)
	id := fmt.Sprintf("e%d", i)
	stream := site.EventStream(4, 5*time.Millisecond, 0)
	var engine *site.Target
	register := func() {
		engine.Load("m1")
		d.store.Put("servers", id, engine.RegistryEntry("engine", "ready"))
	}
	ready := make(chan struct{})
	engine = site.NewTargetAt(host+":0", id, func(conn net.Conn, request *site.ReceivedRequest) bool {
		<-ready
		if !strings.Contains(request.Header.Get("X-Gypsumbank-Prompt-Prefix"), "bad") {
			return stream(conn, request)
		}
		d.recordCrash()
		time.Sleep(10 * time.Millisecond)
		engine.Crash(crashDowntime, register)
		return false
	})
	close(ready)
	register()
	stop := d.startAgent(id, engine)
	d.agents = append(d.agents, func() {
		stop()
		d.startAgent(id, engine)
	})
	d.t.Cleanup(engine.Close)
}

func (d *crashDeployment) recordCrash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashes, d.badSends = append(d.crashes, time.Now()), append(d.badSends, time.Now())
}

// known returns when the gateways had seen crashesKnown crashes; the time is zero before that.
func (d *crashDeployment) known() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.crashes) < crashesKnown {
		return time.Time{}
	}
	return d.crashes[crashesKnown-1]
}

// request sends a request with the given middle part through the next gateway and reports whether it got a whole answer.
func (d *crashDeployment) request(middle string) bool {
	answer := d.send(func(n int) string {
		return fmt.Sprintf("GET /stream/%d HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nX-Gypsumbank-Request-Id: c%d\r\n%s\r\nX-Gypsumbank-Prompt-Prefix: sys:200,%s:100,own%d:50\r\n\r\n",
			n, callerHost, n, m1Header, middle, n)
	})
	return strings.HasPrefix(answer, "HTTP/1.1 200") && strings.HasSuffix(answer, "0\r\n\r\n")
}

// TestRequestsWithAPromptPartThatCrashesEnginesAreRefused guards against requests that end one engine after the other, since
// nothing remembers under which prompt part engines have ended. Requests with the bad part come at all gateways, beside sound
// ones with the same first part.
func TestRequestsWithAPromptPartThatCrashesEnginesAreRefused(t *testing.T) {
	t.Parallel()
	cases := map[string]func(d *crashDeployment){
		"all processes run on":           func(*crashDeployment) {},
		"the store is away":              func(d *crashDeployment) { d.store.SetFault(site.Down) },
		"a gateway is replaced":          func(d *crashDeployment) { d.replaceGateways(1) },
		"all gateways are replaced":      func(d *crashDeployment) { d.replaceGateways(crashGateways) },
		"everything is replaced at once": func(d *crashDeployment) { d.replaceAll() },
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newCrashDeployment(t)
			time.Sleep(1200 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
			defer cancel()
			var traffic sync.WaitGroup
			traffic.Go(func() {
				sendEvery(ctx, 40*time.Millisecond, func(n int) {
					at, served := time.Now(), d.request(fmt.Sprintf("doc%d", n%5))
					d.mu.Lock()
					defer d.mu.Unlock()
					d.sound = append(d.sound, soundResult{at, served})
				})
			})
			time.Sleep(time.Second)
			traffic.Go(func() { sendEvery(ctx, 170*time.Millisecond, func(int) { d.request("bad") }) })
			for ctx.Err() == nil && d.known().IsZero() {
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(crashReaction / 2)
			disturb(d)
			traffic.Wait()
			d.check()
		})
	}
}

// replaceAll stops all gateways and agents before it starts others, so that no memory of a process lives on.
func (d *crashDeployment) replaceAll() {
	var stopping sync.WaitGroup
	d.mu.Lock()
	stops := d.stops
	d.gateways, d.stops = nil, nil
	d.mu.Unlock()
	for _, stop := range stops {
		stopping.Go(stop)
	}
	stopping.Wait()
	for _, replace := range d.agents {
		replace()
	}
	for i := range crashGateways {
		d.startGateway(i)
	}
}

// check reports requests with the bad part that reached engines too late, and sound ones that were no longer served.
func (d *crashDeployment) check() {
	d.t.Helper()
	known := d.known()
	d.mu.Lock()
	defer d.mu.Unlock()
	if known.IsZero() {
		d.t.Logf("only %d engines crashed", len(d.crashes))
		known = d.crashes[len(d.crashes)-1]
	}
	late := 0
	for _, at := range d.badSends {
		if at.Sub(known) > crashReaction {
			late++
		}
	}
	if late > crashSendsAllowed {
		d.t.Errorf("%d requests with the bad part reached engines later than %s after crash %d, of %d in all; %d are allowed", late, crashReaction, crashesKnown, len(d.badSends), crashSendsAllowed)
	}
	total, served := 0, 0
	for _, result := range d.sound {
		if result.at.Sub(known) > 2*crashReaction {
			total++
			if result.served {
				served++
			}
		}
	}
	if total < 20 || served*10 < total*9 {
		d.t.Errorf("%d of %d sound requests with the same first part were served from %s after the crashes, want nine in ten of at least 20", served, total, 2*crashReaction)
	}
}
