package gateway_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

const (
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
)

// quotaDocument returns routes with a customer that may use a number of requests a second, 0 for any number.
func quotaDocument(version int, perSecond float64) map[string]any {
	document := customersDocument(version, map[string][]string{"acme": {"key-1"}})
	customer := document["tenants"].([]any)[0].(map[string]any)
	customer["ratePerS"], customer["burst"] = perSecond, perSecond
	return document
}

// TestGatewaysKeepAQuotaTogether guards against a customer that gets more than its quota by sending through several gateways, or much less,
// and against refusals that name no time to return or that have run.
func TestGatewaysKeepAQuotaTogether(t *testing.T) {
	t.Parallel()
	const (
		gateways  = 3
		perSecond = 20
		settled   = 5 * time.Second // after which keepers have made up for what others may have granted before their start
		span      = 9 * time.Second
	)
	g := newGatewayGroup(t)
	g.store.Put("op", "config", quotaDocument(2, perSecond))
	var mu sync.Mutex
	arrivals := []time.Time{}
	plain := site.NewTarget("p1", func(conn net.Conn, seen *site.ReceivedRequest) bool {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		return site.TextResponse(200, "ok")(conn, seen)
	})
	t.Cleanup(plain.Close)
	g.store.Put("servers", "p1", plain.RegistryEntry("plain", "ready"))
	for i := range 3 {
		id := fmt.Sprint("e", i)
		engine := site.NewTargetAt(fmt.Sprintf("127.0.5.%d:0", i+1), id, site.EventStream(3, 0, 0))
		t.Cleanup(engine.Close)
		g.store.Put("servers", id, engine.RegistryEntry("engine", "ready"))
		g.startAgent(id, engine)
	}
	for i := range gateways {
		g.startGateway(i)
	}
	time.Sleep(settled)
	served, refused := 0, 0
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	began := time.Now()
	sendEvery(ctx, 8*time.Millisecond, func(int) {
		answer := g.send(func(n int) string {
			return fmt.Sprintf("GET /safe/a HTTP/1.1\r\nHost: %s\r\nX-Gypsumbank-Request-Id: quota-%d\r\n%s\r\nConnection: close\r\n\r\n", callerHost, n, keyHeader)
		})
		mu.Lock()
		defer mu.Unlock()
		switch {
		case strings.HasPrefix(answer, "HTTP/1.1 200"):
			served++
		case strings.HasPrefix(answer, "HTTP/1.1 429"):
			refused++
			if wait := retryAfter(answer); wait <= 0 {
				t.Errorf("429 without a Retry-After above 0: %q", answer)
			}
		}
	})
	took := time.Since(began)
	mu.Lock()
	defer mu.Unlock()
	if len(arrivals) != served {
		t.Errorf("%d requests arrived, %d were answered with 200: a refused one has run", len(arrivals), served)
	}
	allowed := int((perSecond*quotaWindow.Seconds() + perSecond) * (1 + quotaOverage))
	slices.SortFunc(arrivals, time.Time.Compare)
	for i, first := range arrivals {
		inWindow := 0
		for _, arrival := range arrivals[i:] {
			if arrival.Sub(first) < quotaWindow {
				inWindow++
			}
		}
		if inWindow > allowed {
			t.Fatalf("%d requests began to run in a window, %d are allowed", inWindow, allowed)
		}
	}
	if least := int(0.9 * perSecond * took.Seconds()); served < least {
		t.Errorf("%d requests served in %s, at least %d wanted", served, took, least)
	}
	if refused == 0 {
		t.Error("no request was refused")
	}
}

// retryAfter returns the seconds that an answer names.
func retryAfter(answer string) float64 {
	_, rest, _ := strings.Cut(answer, "Retry-After: ")
	value, _, _ := strings.Cut(rest, "\r\n")
	seconds, _ := strconv.ParseFloat(value, 64)
	return seconds
}

// TestQuotaWithoutKeepers guards against requests that run, or that wait for long, while no agent keeps the quota, and against customers
// without a quota that need agents.
func TestQuotaWithoutKeepers(t *testing.T) {
	t.Parallel()
	g := newGatewayGroup(t)
	g.store.Put("op", "config", quotaDocument(2, 20))
	plain := site.NewTarget("p1", site.TextResponse(200, "ok"))
	t.Cleanup(plain.Close)
	g.store.Put("servers", "p1", plain.RegistryEntry("plain", "ready"))
	g.startGateway(0)
	request := func(n int) string {
		return fmt.Sprintf("GET /safe/a HTTP/1.1\r\nHost: %s\r\nX-Gypsumbank-Request-Id: none-%d\r\n%s\r\nConnection: close\r\n\r\n", callerHost, n, keyHeader)
	}
	if answer := g.send(request); !strings.HasPrefix(answer, "HTTP/1.1 429") || retryAfter(answer) <= 0 {
		t.Errorf("without agents: %q, want 429 with a Retry-After", answer)
	}
	if n := len(plain.Requests()); n != 0 {
		t.Errorf("%d refused requests have run", n)
	}
	g.store.Put("op", "config", quotaDocument(3, 0))
	for range 300 {
		if answer := g.send(request); strings.HasPrefix(answer, "HTTP/1.1 200") {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("a customer without a quota was not served")
}
