package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gypsumbank/pause"
	"gypsumbank/standin/site"
)

const (
	// soakKeyPrefix begins all keys of the soak, so that they are found where they must not be.
	soakKeyPrefix = "soak-key-"
	steadyKey     = soakKeyPrefix + "steady"  // in all versions of the routes
	unknownKey    = soakKeyPrefix + "unknown" // in none
	// keyBound is the time after which a change of keys holds at each gateway: 3 s, beside faults of up to 1.5 s and the read that follows one.
	keyBound = 6 * time.Second
)

// customerSeries are series whose requests have keys.
var customerSeries = []func(*soakDeployment, context.Context){(*soakDeployment).replaceKeys, (*soakDeployment).takeUpStreams}

// soakCustomers are two customers in the routes: one whose key stays, and one whose key is replaced again and again.
type soakCustomers struct {
	mu      sync.Mutex
	keys    int // that the second customer has had
	revoked []string
}

// The requests of the customers, by the first letter of their ids; all others are of the customer whose key stays.
const (
	replacedKeyRequest = "k"
	revokedKeyRequest  = "x"
	unknownKeyRequest  = "u"
)

// currentKey returns the key of the second customer that is in force, or about to be.
func (c *soakCustomers) currentKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return soakKeyPrefix + strconv.Itoa(c.keys)
}

// replaceKey takes the key of the second customer away and gives it another, and returns the former.
func (c *soakCustomers) replaceKey() (revoked string) {
	revoked = c.currentKey()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revoked = append(c.revoked, revoked)
	c.keys++
	return revoked
}

// addTo adds the customers to a document with routes; a nil value adds none.
func (c *soakCustomers) addTo(document map[string]any) map[string]any {
	if c != nil {
		document["tenants"] = []any{
			map[string]any{"name": "steady", "apiKeys": []string{steadyKey}},
			map[string]any{"name": "replaced", "apiKeys": []string{c.currentKey()}},
		}
	}
	return document
}

// authorize gives a request the key that stays; a nil value gives none.
func (c *soakCustomers) authorize(header http.Header) {
	if c != nil && header.Get("Authorization") == "" {
		header.Set("Authorization", "Token "+steadyKey)
	}
}

// checkCustomer checks that a request has reached a target with the name of its customer and without a key, if there are customers.
func (s *soakDeployment) checkCustomer(seen *site.ReceivedRequest) {
	if s.customers == nil {
		return
	}
	id := seen.Header.Get("X-Gypsumbank-Request-Id")
	want := "steady"
	switch {
	case strings.HasPrefix(id, unknownKeyRequest):
		s.checker.RecordViolation("request %s with an unknown key has reached a target", id)
		return
	case strings.HasPrefix(id, replacedKeyRequest), strings.HasPrefix(id, revokedKeyRequest):
		want = "replaced"
	}
	if got := seen.Header.Values("X-Gypsumbank-Tenant"); !slices.Equal(got, []string{want}) {
		s.checker.RecordViolation("request %s has reached a target with the customers %q, want %s alone", id, got, want)
	}
	if strings.Contains(fmt.Sprint(seen.RequestLine, seen.Header), soakKeyPrefix) {
		s.checker.RecordViolation("request %s has reached a target with its key", id)
	}
}

// replaceKeys replaces a key in each round, until ctx ends. After the bound each gateway that answers must refuse the former one with status
// 401, and none may refuse the new one so. A request with a key that nobody has ever had must never be served.
func (s *soakDeployment) replaceKeys(ctx context.Context) {
	for ctx.Err() == nil {
		revoked := s.customers.replaceKey()
		s.logFault("key %s is replaced", revoked)
		s.publishRoutes()
		if pause.For(ctx, keyBound) != nil {
			return
		}
		for _, gateway := range s.gatewayNodes() {
			if status := s.sendWithKey(ctx, gateway, revokedKeyRequest, revoked); status == http.StatusOK {
				s.checker.RecordViolation("%s serves a key that was revoked %s before", gateway.name, keyBound)
			}
			if status := s.sendWithKey(ctx, gateway, replacedKeyRequest, s.customers.currentKey()); status == http.StatusUnauthorized {
				s.checker.RecordViolation("%s refuses a key that was added %s before", gateway.name, keyBound)
			}
			if status := s.sendWithKey(ctx, gateway, unknownKeyRequest, unknownKey); status == http.StatusOK {
				s.checker.RecordViolation("%s serves an unknown key", gateway.name)
			}
		}
	}
}

// checkKeys checks, without faults and with the latest routes in force, that each gateway refuses the revoked keys with status 401 and serves
// the current one, and that no process has logged a key.
func (s *soakDeployment) checkKeys() {
	if s.customers == nil {
		return
	}
	if len(s.customers.revoked) == 0 {
		s.checker.RecordViolation("no key was replaced")
	}
	for _, gateway := range s.gatewayNodes() {
		for _, key := range s.customers.revoked {
			if status := s.sendWithKey(s.t.Context(), gateway, revokedKeyRequest, key); status != http.StatusUnauthorized {
				s.checker.RecordViolation("%s answers a revoked key with status %d after the faults, want 401", gateway.name, status)
			}
		}
		if status := s.sendWithKey(s.t.Context(), gateway, replacedKeyRequest, s.customers.currentKey()); status != http.StatusOK {
			s.checker.RecordViolation("%s answers the current key with status %d after the faults, want 200", gateway.name, status)
		}
	}
	for _, n := range s.nodes {
		for name, output := range n.outputs {
			if strings.Contains(output.String(), soakKeyPrefix) {
				s.checker.RecordViolation("%s has logged a key", name)
			}
		}
	}
}

// gatewayNodes returns the gateways.
func (s *soakDeployment) gatewayNodes() []*soakNode {
	return s.nodes[len(s.nodes)-s.size*gatewaysPerSize:]
}

// sendWithKey sends a request with a key on a connection of its own and returns the status of the answer, 0 without one.
func (s *soakDeployment) sendWithKey(ctx context.Context, gateway *soakNode, kind, key string) int {
	id := kind + strconv.FormatInt(s.lastRequestID.Add(1), 10)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	request, err := newCallerRequest(ctx, http.MethodGet, "http://"+gateway.listenAddress+"/safe/"+id)
	if err != nil {
		s.checker.RecordViolation("create request: %v", err)
		return 0
	}
	request.Host = "callers.example"
	request.Header.Set("X-Gypsumbank-Request-Id", id)
	request.Header.Set("Authorization", "Token "+key)
	s.checker.RecordRequest(id, false)
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}
