package gateway_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

const (
	limitGateways = 3
	// From limitReaction after a target first named a limit, it must get no more than limitOverage times that, plus limitExtra
	// requests, in any limitWindow.
	limitReaction = 3 * time.Second
	limitWindow   = 4 * time.Second
	limitOverage  = 1.5
	limitExtra    = 5
)

// limitedTarget is a target that names a limit in its answers during a part of a test.
type limitedTarget struct {
	mu       sync.Mutex
	limit    float64 // requests a second; none is named if it is 0
	arrivals []time.Time
}

// handle wraps a handler whose answers then name the limit.
func (l *limitedTarget) handle(body string) site.Handler {
	return func(conn net.Conn, request *site.ReceivedRequest) bool {
		l.mu.Lock()
		l.arrivals = append(l.arrivals, time.Now())
		limit := l.limit
		l.mu.Unlock()
		header := ""
		if limit > 0 {
			header = "Server-Limit: " + strconv.FormatFloat(limit, 'g', -1, 64) + "\r\n"
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%sContent-Length: %d\r\n\r\n%s", site.IdentityHeaders(request), header, len(body), body)
		return err == nil
	}
}

func (l *limitedTarget) setLimit(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = perSecond
}

// most returns the largest number of arrivals in any limitWindow between two times.
func (l *limitedTarget) most(from, until time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for i, first := range l.arrivals {
		if first.Before(from) {
			continue
		}
		count := 0
		for _, at := range l.arrivals[i:] {
			if at.Before(until) && at.Sub(first) < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// startLimitGroup starts gateways before an engine or a plain target that names limits and, if beside is set, another that does
// not.
func startLimitGroup(t *testing.T, service string, beside bool) (*gatewayGroup, *limitedTarget) {
	g := newGatewayGroup(t)
	limited, free := &limitedTarget{}, &limitedTarget{}
	for i, target := range []*limitedTarget{limited, free} {
		if i > 0 && !beside {
			break
		}
		host, id := fmt.Sprintf("127.0.0.%d", 60+i), []string{"t1", "t0"}[i]
		standin := site.NewTargetAt(host+":0", id, target.handle("id: 1\ndata: x\n\n"))
		standin.Load("m1")
		entry := standin.RegistryEntry(service, "ready")
		if target == free {
			entry["zone"] = "zone-b" // the limited one is preferred
		}
		g.store.Put("servers", id, entry)
		t.Cleanup(standin.Close)
		if service == "engine" {
			g.startAgent(id, standin)
		}
	}
	if service != "engine" { // gateways learn their number from agents
		engine := site.NewTargetAt("127.0.0.62:0", "e", (&limitedTarget{}).handle(""))
		g.store.Put("servers", "e", engine.RegistryEntry("engine", "ready"))
		t.Cleanup(engine.Close)
		g.startAgent("e", engine)
	}
	for i := range limitGateways {
		g.startGateway(i)
	}
	return g, limited
}

// TestTargetThatNamesALimitGetsNoMore guards against gateways that send a target more requests, all together, than it says that
// it takes. What it can't get goes to another target or is refused at once, and it gets all again once it names no limit.
func TestTargetThatNamesALimitGetsNoMore(t *testing.T) {
	t.Parallel()
	engineRequest := func(n int) string {
		return fmt.Sprintf("GET /stream/%d HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nX-Gypsumbank-Request-Id: c%d\r\n%s\r\nX-Gypsumbank-Prompt-Prefix: sys%d:100,own%d:50\r\n\r\n", n, callerHost, n, m1Header, n%16, n)
	}
	safeRequest := func(n int) string {
		return fmt.Sprintf("GET /safe/%d HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nX-Gypsumbank-Request-Id: c%d\r\n\r\n", n, callerHost, n)
	}
	nothing := func(*gatewayGroup) {}
	cases := map[string]struct {
		service   string
		request   func(n int) string
		beside    bool
		perSecond float64
		disturb   func(*gatewayGroup)
	}{
		"the only engine":            {"engine", engineRequest, false, 1, nothing},
		"an engine beside another":   {"engine", engineRequest, true, 1, nothing},
		"a fraction":                 {"engine", engineRequest, true, 0.5, nothing},
		"the only plain target":      {"plain", safeRequest, false, 2, nothing},
		"plain, beside another":      {"plain", safeRequest, true, 2, nothing},
		"a gateway is replaced":      {"engine", engineRequest, true, 1, func(g *gatewayGroup) { g.replaceGateways(1) }},
		"the store is away":          {"engine", engineRequest, true, 1, func(g *gatewayGroup) { g.store.SetFault(site.Down) }},
		"plain, the store is away":   {"plain", safeRequest, true, 1, func(g *gatewayGroup) { g.store.SetFault(site.Down) }},
		"plain, gateway is replaced": {"plain", safeRequest, true, 1, func(g *gatewayGroup) { g.replaceGateways(1) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, target := startLimitGroup(t, c.service, c.beside)
			time.Sleep(1200 * time.Millisecond)
			const limitedFor = 10 * time.Second
			afterwards := time.Second
			if !c.beside { // a target alone must get all again
				afterwards = 9 * time.Second
			}
			began := time.Now()
			target.setLimit(c.perSecond)
			ctx, cancel := context.WithTimeout(t.Context(), limitedFor+afterwards)
			defer cancel()
			time.AfterFunc(limitedFor, func() { target.setLimit(0) })
			time.AfterFunc(limitReaction/2, func() { c.disturb(g) })
			var mu sync.Mutex
			sent, served := 0, 0
			slowest := time.Duration(0)
			sendEvery(ctx, 60*time.Millisecond, func(int) {
				at := time.Now()
				ok := strings.HasPrefix(g.send(c.request), "HTTP/1.1 200")
				mu.Lock()
				defer mu.Unlock()
				sent++
				slowest = max(slowest, time.Since(at))
				if ok {
					served++
				}
			})
			ended := began.Add(limitedFor)
			allowed := int(limitOverage*c.perSecond*limitWindow.Seconds() + limitExtra)
			if most := target.most(began.Add(limitReaction), ended); most > allowed || most == 0 {
				t.Errorf("the target got %d requests in %s while it named %v a second; want 1 to %d", most, limitWindow, c.perSecond, allowed)
			}
			if c.beside && served*10 < sent*9 {
				t.Errorf("%d of %d requests were served though another target has no limit", served, sent)
			}
			if slowest > 2500*time.Millisecond {
				t.Errorf("a caller waited for %s", slowest)
			}
			if most := target.most(ended.Add(afterwards/2), ended.Add(afterwards)); most < 2*allowed && !c.beside {
				t.Errorf("the target got %d requests in %s though it named no limit any more", most, limitWindow)
			}
		})
	}
}
