package gateway_test

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

const (
	noticeGateways = 3
	// leavingReaction is the time after an answer that says that its target leaves from which on its gateway must send it nothing more.
	leavingReaction = 2 * time.Second
	// restReaction is the time after a refusal with a rest from which on its gateway may send restSendsAllowed requests until the
	// rest ends.
	restReaction     = 500 * time.Millisecond
	restSendsAllowed = 2
)

// outspokenTarget is a target that says something of itself in its answers during a part of a test.
type outspokenTarget struct {
	*site.Target
	id, service string

	mu       sync.Mutex
	leaving  bool
	rest     time.Duration // that it asks for in refusals; 0 if it refuses nothing
	arrivals []arrival
	left     map[string]time.Time // by gateway: when it first got an answer that says so
}

// arrival is a request at a target.
type arrival struct {
	gateway string
	at      time.Time
	refused time.Duration // the rest that the refusal asked for; 0 if it was not refused
}

// handle answers with a text or, on the path of streams, with a stream.
func (o *outspokenTarget) handle(conn net.Conn, request *site.ReceivedRequest) bool {
	gateway, _, _ := strings.Cut(request.Header.Get("X-Gypsumbank-Request-Id"), "-")
	o.mu.Lock()
	leaving, rest := o.leaving, o.rest
	if leaving && o.left[gateway].IsZero() {
		o.left[gateway] = time.Now()
	}
	o.arrivals = append(o.arrivals, arrival{gateway, time.Now(), rest})
	o.mu.Unlock()
	header := site.IdentityHeaders(request)
	if leaving {
		header += site.LeavingHeader
	}
	if rest > 0 {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sX-Gypsumbank-Not-Executed: 1\r\nRetry-After: %.3f\r\nContent-Length: 0\r\n\r\n", header, rest.Seconds())
		return err == nil
	}
	body := "id: 1\ndata: x\n\n"
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	return err == nil
}

func (o *outspokenTarget) set(leaving bool, rest time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving, o.rest = leaving, rest
}

// arrivedSince returns the number of requests that arrived after a time.
func (o *outspokenTarget) arrivedSince(at time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, a := range o.arrivals {
		if a.at.After(at) {
			n++
		}
	}
	return n
}

// refused returns the number of requests that the target has refused.
func (o *outspokenTarget) refused() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, a := range o.arrivals {
		if a.refused > 0 {
			n++
		}
	}
	return n
}

// sentAfterLeaving returns the number of requests that a gateway sent although it had known for leavingReaction that the target leaves.
func (o *outspokenTarget) sentAfterLeaving() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, a := range o.arrivals {
		if left := o.left[a.gateway]; !left.IsZero() && a.at.Sub(left) > leavingReaction {
			n++
		}
	}
	return n
}

// mostWithinARest returns the largest number of requests that a gateway sent within a rest that the target had asked it for.
func (o *outspokenTarget) mostWithinARest() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	most := 0
	for _, refusal := range o.arrivals {
		n := 0
		for _, a := range o.arrivals {
			if since := a.at.Sub(refusal.at); a.gateway == refusal.gateway && since > restReaction && since < refusal.refused {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// noticeDeployment is a group of gateways before outspoken targets of one service.
type noticeDeployment struct {
	*gatewayGroup
	targets      []*outspokenTarget
	sent, served int
	slowest      time.Duration
}

// newNoticeDeployment starts targets of a service, with agents if it is one of engines, and gateways.
func newNoticeDeployment(t *testing.T, service string, targets int) *noticeDeployment {
	d := &noticeDeployment{gatewayGroup: newGatewayGroup(t)}
	for i := range targets {
		o := &outspokenTarget{id: fmt.Sprintf("t%d", i), service: service, left: map[string]time.Time{}}
		o.Target = site.NewTargetAt(fmt.Sprintf("127.0.0.%d:0", 100+i), o.id, o.handle)
		o.Load("m1")
		d.register(o)
		t.Cleanup(o.Close)
		if service == "engine" {
			d.startAgent(o.id, o.Target)
		}
		d.targets = append(d.targets, o)
	}
	for i := range noticeGateways {
		d.startGateway(i)
	}
	time.Sleep(1200 * time.Millisecond)
	return d
}

// register writes the target's entry, ready, to the registry.
func (d *noticeDeployment) register(o *outspokenTarget) {
	entry := o.RegistryEntry(o.service, "ready")
	if o.id != "t0" {
		entry["zone"] = "zone-b" // the first target is preferred
	}
	d.store.Put("servers", o.id, entry)
}

// preferred returns the target that has got the most requests.
func (d *noticeDeployment) preferred() *outspokenTarget {
	return slices.MaxFunc(d.targets, func(a, b *outspokenTarget) int {
		return cmp.Compare(a.arrivedSince(time.Time{}), b.arrivedSince(time.Time{}))
	})
}

// sendFor sends requests through all gateways for a time and counts how they end.
func (d *noticeDeployment) sendFor(duration time.Duration, service string) {
	ctx, cancel := context.WithTimeout(d.t.Context(), duration)
	defer cancel()
	sendEvery(ctx, 20*time.Millisecond, func(n int) {
		gateway, at := n%noticeGateways, time.Now()
		path, headers := "/safe/x", ""
		if service == "engine" {
			path, headers = "/stream/x", fmt.Sprintf("%s\r\nX-Gypsumbank-Prompt-Prefix: sys%d:100,own%d:50\r\n", m1Header, n%16, n)
		}
		answer := d.sendTo(gateway, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nX-Gypsumbank-Request-Id: g%d-%d-%d\r\n%s\r\n", path, callerHost, gateway, at.UnixNano(), n, headers))
		d.mu.Lock()
		defer d.mu.Unlock()
		d.sent++
		d.slowest = max(d.slowest, time.Since(at))
		if strings.HasPrefix(answer, "HTTP/1.1 200") {
			d.served++
		}
	})
}

// takeCounts returns how many requests were sent and served since the last call, and the longest time that one took.
func (d *noticeDeployment) takeCounts() (sent, served int, slowest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sent, served, slowest = d.sent, d.served, d.slowest
	d.sent, d.served, d.slowest = 0, 0, 0
	return sent, served, slowest
}

// TestTargetThatSaysThatItLeavesGetsNoMore guards against requests to a target that says in its answers that it leaves while the
// registry lists it as ready. Other targets serve them.
func TestTargetThatSaysThatItLeavesGetsNoMore(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		service string
		disturb func(d *noticeDeployment, leaving *outspokenTarget)
	}{
		"plain":                    {"plain", func(*noticeDeployment, *outspokenTarget) {}},
		"engine":                   {"engine", func(*noticeDeployment, *outspokenTarget) {}},
		"plain, the store is away": {"plain", func(d *noticeDeployment, _ *outspokenTarget) { d.store.SetFault(site.Down) }},
		"plain, listed again": {"plain", func(d *noticeDeployment, leaving *outspokenTarget) {
			d.store.Remove("servers", leaving.id)
			time.Sleep(2 * time.Second)
			d.register(leaving)
		}},
		"engine, the store is away": {"engine", func(d *noticeDeployment, _ *outspokenTarget) { d.store.SetFault(site.Down) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newNoticeDeployment(t, c.service, 2)
			d.sendFor(500*time.Millisecond, c.service)
			leaving := d.preferred()
			leaving.set(true, 0)
			d.takeCounts()
			time.AfterFunc(300*time.Millisecond, func() { c.disturb(d, leaving) })
			d.sendFor(5*time.Second, c.service)
			if late := leaving.sentAfterLeaving(); late > 0 {
				t.Errorf("%d requests later than %s after their gateway knew that the target leaves", late, leavingReaction)
			}
			if sent, served, _ := d.takeCounts(); served*100 < sent*98 {
				t.Errorf("%d of %d requests were served though another target has room", served, sent)
			}
			d.store.SetFault(site.NoFault)
			leaving.set(false, 0)
			leaving.Restart()
			leaving.Load("m1")
			d.register(leaving)
			d.sendFor(3*time.Second, c.service)
			if leaving.arrivedSince(time.Now().Add(-time.Second)) == 0 {
				t.Error("the next run of the target got no request")
			}
		})
	}
}
