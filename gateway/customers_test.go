package gateway_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

const (
	keyHeader = "Authorization: Token key-1"
	// authorizationName and customerName are the fields of which a target must get none and the gateway's one.
	authorizationName = "Authorization"
	customerName      = "X-Gypsumbank-Tenant"
)

// customersDocument returns the routes with a public one and with customers; each has a list of keys.
func customersDocument(version int, customers map[string][]string) map[string]any {
	document := routesDocument(version, 2000)
	public := maps.Clone(document["routes"].([]any)[0].(map[string]any))
	public["name"], public["prefix"], public["public"] = "public", "/public/", true
	document["routes"] = append(document["routes"].([]any), public)
	list := []any{}
	for name, keys := range customers {
		list = append(list, map[string]any{"name": name, "apiKeys": keys, "priority": 0})
	}
	document["tenants"] = list
	return document
}

// publish writes routes to the store and waits until the gateway has them in force.
func (d *testDeployment) publish(document map[string]any) {
	d.t.Helper()
	d.store.Put("op", "config", document)
	version := fmt.Sprint(document["version"])
	for range 300 {
		for _, entry := range d.logHook.AllEntries() {
			if entry.Message == "routes in force" && fmt.Sprint(entry.Data["version"]) == version {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.t.Fatalf("routes of version %s are not in force", version)
}

// TestCustomersAreAuthenticated guards against requests that are served without a known key, keys that reach a target, and callers that
// choose the name that it gets.
func TestCustomersAreAuthenticated(t *testing.T) {
	chunked := "POST /unsafe/x HTTP/1.1\r\nHost: " + callerHost + "\r\nX-Gypsumbank-Request-Id: r1\r\n" + keyHeader +
		"\r\nTransfer-Encoding: chunked\r\nTrailer: Authorization, X-Gypsumbank-Tenant\r\n\r\n2\r\nab\r\n0\r\nAuthorization: Token key-2\r\nX-Gypsumbank-Tenant: evil\r\n\r\n"
	cases := map[string]struct {
		request  string
		status   int
		customer string
	}{
		"known key":                       {getRequest("/safe/a", keyHeader), 200, "acme"},
		"second key of the customer":      {getRequest("/safe/a", "Authorization: Token key-1b"), 200, "acme"},
		"other customer":                  {getRequest("/safe/a", "Authorization: Token key-2"), 200, "umbrella"},
		"field and scheme in lower case":  {getRequest("/safe/a", "authorization:   token  key-1  "), 200, "acme"},
		"no key":                          {getRequest("/safe/a"), 401, ""},
		"unknown key":                     {getRequest("/safe/a", "Authorization: Token key-9"), 401, ""},
		"empty key":                       {getRequest("/safe/a", "Authorization: Token "), 401, ""},
		"other scheme":                    {getRequest("/safe/a", "Authorization: Basic key-1"), 401, ""},
		"no scheme":                       {getRequest("/safe/a", "Authorization: key-1"), 401, ""},
		"name without a key":              {getRequest("/safe/a", "X-Gypsumbank-Tenant: acme"), 401, ""},
		"forged name":                     {getRequest("/safe/a", "X-Gypsumbank-Tenant: evil", keyHeader), 200, "acme"},
		"forged names around the key":     {getRequest("/safe/a", "X-Gypsumbank-Tenant: evil", keyHeader, "x-gypsumbank-tenant: evil2", "X-GYPSUMBANK-TENANT: evil3"), 200, "acme"},
		"two keys, the first known":       {getRequest("/safe/a", keyHeader, "authorization: Token key-9"), 200, "acme"},
		"two keys, the first unknown":     {getRequest("/safe/a", "Authorization: Token key-9", keyHeader), 401, ""},
		"key and name as hop-by-hop":      {getRequest("/safe/a", "Connection: Authorization, X-Gypsumbank-Tenant", keyHeader, "X-Gypsumbank-Tenant: evil"), 200, "acme"},
		"key and name in a trailer":       {chunked, 200, "acme"},
		"public, no key":                  {getRequest("/public/a"), 200, ""},
		"public, forged name":             {getRequest("/public/a", "X-Gypsumbank-Tenant: evil", "X-Gypsumbank-Tenant: evil2"), 200, ""},
		"public, known key":               {getRequest("/public/a", keyHeader), 200, "acme"},
		"public, unknown key":             {getRequest("/public/a", "Authorization: Token key-9", "X-Gypsumbank-Tenant: evil"), 200, ""},
		"public, credentials of no key":   {getRequest("/public/a", "Authorization: Basic abc"), 200, ""},
		"route that does not exist":       {getRequest("/none/a", keyHeader), 404, ""},
		"key of a customer without name":  {getRequest("/safe/a", "Authorization: Token key-3"), 401, ""},
		"key of one that can't be named":  {getRequest("/safe/a", "Authorization: Token key-4"), 401, ""},
		"empty key that a customer lists": {getRequest("/safe/a", "Authorization: Token"), 401, ""},
	}
	d := newDeployment(t)
	d.publish(customersDocument(2, map[string][]string{"acme": {"key-1", "key-1b", ""}, "umbrella": {"key-2"}, "": {"key-3"}, "a\r\nX: y": {"key-4"}}))
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before := len(d.plainTarget.Requests())
			response, body, err := d.roundTrip(c.request)
			if err != nil || response.StatusCode != c.status {
				t.Fatalf("response %v %q, %v; want status %d", response, body, err, c.status)
			}
			if c.status == http.StatusUnauthorized && response.Header.Get("WWW-Authenticate") != "Token" {
				t.Errorf("WWW-Authenticate is %q, want the scheme of keys", response.Header.Get("WWW-Authenticate"))
			}
			seen := d.plainTarget.Requests()[before:]
			if c.status != http.StatusOK {
				if len(seen) > 0 {
					t.Errorf("a request that was refused has reached a target")
				}
				return
			}
			checkCustomer(t, seen[0], c.customer)
		})
	}
}

// checkCustomer checks that a target got the customer's name alone, and no key.
func checkCustomer(t *testing.T, seen *site.ReceivedRequest, want string) {
	t.Helper()
	if values, ok := seen.Header[authorizationName]; ok {
		t.Errorf("the target got the key: %q", values)
	}
	got := seen.Header.Values(customerName)
	if (want == "" && len(got) > 0) || (want != "" && (len(got) != 1 || got[0] != want)) {
		t.Errorf("the target got the names %q, want %q alone", got, want)
	}
}

// TestTableWithoutCustomersIsServedAsBefore guards against deployments without customers that begin to need keys, or whose callers'
// credentials no longer reach their targets.
func TestTableWithoutCustomersIsServedAsBefore(t *testing.T) {
	d := newDeployment(t)
	if response, body, err := d.roundTrip(getRequest("/safe/a", "Authorization: Token key-1", "X-Gypsumbank-Tenant: name")); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("response %v %q, %v; want 200", response, body, err)
	}
	seen := d.plainTarget.Requests()[0]
	if seen.Header.Get(authorizationName) != "Token key-1" || seen.Header.Get(customerName) != "name" {
		t.Errorf("the target got %q and %q, want both fields as sent", seen.Header.Get(authorizationName), seen.Header.Get(customerName))
	}
}

// TestKeyIsRevokedOnAnOpenConnection guards against keys that are checked once for each connection.
func TestKeyIsRevokedOnAnOpenConnection(t *testing.T) {
	d := newDeployment(t)
	d.publish(customersDocument(2, map[string][]string{"acme": {"key-1"}}))
	conn, reader := d.dial()
	send := func(wantStatus int) {
		t.Helper()
		if _, err := io.WriteString(conn, getRequest("/safe/a", keyHeader)); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != wantStatus {
			t.Fatalf("response %v, %v; want %d", response, err, wantStatus)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
	send(http.StatusOK)
	d.publish(customersDocument(3, map[string][]string{"acme": {"key-1b"}}))
	send(http.StatusUnauthorized)
	send(http.StatusUnauthorized)
	d.publish(customersDocument(4, map[string][]string{"acme": {"key-1", "key-1b"}}))
	send(http.StatusOK)
}

// TestRefusalForAnUnknownKeyReachesTheCaller guards against refusals that are lost as the connection is closed under a body that is still
// on its way, and against bodies that are taken for the next request.
func TestRefusalForAnUnknownKeyReachesTheCaller(t *testing.T) {
	d := newDeployment(t)
	d.publish(customersDocument(2, map[string][]string{"acme": {"key-1"}}))
	body := strings.Repeat("z", 1<<20)
	for name, request := range map[string]string{
		"length": postRequest(body),
		"chunks": fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: %s\r\nX-Gypsumbank-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", callerHost, len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			conn, reader := d.dial()
			_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
			for range 2 {
				if _, err := io.WriteString(conn, request); err != nil {
					t.Fatalf("the body was not taken: %v", err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil || response.StatusCode != http.StatusUnauthorized || response.Close {
					t.Fatalf("response %v, %v; want 401 on a connection that stays", response, err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
	response, _, err := d.roundTrip("POST /unsafe/x HTTP/1.1\r\nHost: " + callerHost + "\r\nX-Gypsumbank-Request-Id: r1\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n")
	if err != nil || response.StatusCode != http.StatusUnauthorized {
		t.Errorf("response %v, %v to a caller that waits before it sends its body; want 401", response, err)
	}
	if n := len(d.plainTarget.Requests()); n > 0 {
		t.Errorf("%d requests without a key have reached the target", n)
	}
}

// TestRetriesAndResumedStreamsKeepTheCustomer guards against second sends that have the caller's key, or no name.
func TestRetriesAndResumedStreamsKeepTheCustomer(t *testing.T) {
	d := newDeployment(t)
	second := site.NewTarget("e2", site.EventStream(5, 0, 2))
	defer second.Close()
	second.Load("m1")
	d.engineTarget.SetHandler(site.EventStream(5, 0, 2))
	d.plainTarget.SetHandler(site.TextResponse(500, "broken"))
	other := site.NewTarget("p2", site.TextResponse(500, "broken"))
	defer other.Close()
	d.store.Put("servers", "e2", second.RegistryEntry("engine", "ready"))
	d.store.Put("servers", "p2", other.RegistryEntry("plain", "ready"))
	d.publish(customersDocument(2, map[string][]string{"acme": {"key-1"}}))
	d.waitForEngines()
	time.Sleep(time.Second)
	for _, path := range []string{"/resume/a", "/safe/a"} {
		if _, _, err := d.roundTrip(getRequest(path, m1Header, keyHeader, "X-Gypsumbank-Tenant: evil")); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
	for name, targets := range map[string][2]*site.Target{"stream": {d.engineTarget, second}, "retry": {d.plainTarget, other}} {
		seen := append(targets[0].Requests(), targets[1].Requests()...)
		if len(seen) != 2 {
			t.Errorf("%s: %d targets got the request, want 2", name, len(seen))
		}
		for _, request := range seen {
			checkCustomer(t, request, "acme")
		}
	}
}

// TestPriorityOfTheCustomerComesFirst guards against engines that are told the route's priority where the customer has one, also at a
// public route, and the customer's where it has none.
func TestPriorityOfTheCustomerComesFirst(t *testing.T) {
	d := newDeployment(t)
	document := customersDocument(2, map[string][]string{"acme": {"key-1"}})
	document["tenants"] = append(document["tenants"].([]any), map[string]any{"name": "plain", "apiKeys": []string{"key-2"}})
	public := maps.Clone(document["routes"].([]any)[2].(map[string]any))
	public["name"], public["prefix"], public["public"] = "public-stream", "/public-stream/", true
	document["routes"] = append(document["routes"].([]any), public)
	d.publish(document)
	for name, c := range map[string]struct {
		path, key string
		want      string
	}{
		"customer with a priority":    {"/stream/a", "key-1", "0"},
		"customer without a priority": {"/stream/a", "key-2", "1"},
		"public, known key":           {"/public-stream/a", "key-1", "0"},
		"public, unknown key":         {"/public-stream/a", "key-9", "1"},
	} {
		t.Run(name, func(t *testing.T) {
			before := len(d.engineTarget.Requests())
			if response, body, err := d.roundTrip(getRequest(c.path, m1Header, "Authorization: Token "+c.key)); err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("response %v %q, %v; want 200", response, body, err)
			}
			if got := d.engineTarget.Requests()[before].Header.Get("X-Gypsumbank-Request-Priority"); got != c.want {
				t.Errorf("priority %q, want %s", got, c.want)
			}
		})
	}
}

// TestUseOfACustomerIsLogged guards against log lines that do not tell whose request it was, and against keys in the log.
func TestUseOfACustomerIsLogged(t *testing.T) {
	d := newDeployment(t)
	d.publish(customersDocument(2, map[string][]string{"acme": {"key-1"}}))
	tooLarge := fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: %s\r\n%s\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", callerHost, keyHeader, 1<<30)
	noModel := getRequest("/stream/a", "X-Gypsumbank-Model: none", keyHeader)
	for _, request := range []string{getRequest("/safe/a", keyHeader), tooLarge, noModel, getRequest("/public/a")} {
		if _, _, err := d.roundTrip(request); err != nil {
			t.Error(err)
		}
	}
	d.stop() // all lines are written
	err := <-d.runErr
	d.runErr <- err
	named := map[string]int{}
	for _, entry := range d.logHook.AllEntries() {
		if entry.Data["customer"] == "acme" {
			named[entry.Message]++
		}
		if text, _ := entry.String(); strings.Contains(text, "key-1") {
			t.Errorf("a key is in the log: %s", text)
		}
	}
	for _, line := range []string{"answer begins", "answer ends", "not served", "refused"} {
		if named[line] != 1 {
			t.Errorf("%d lines %q name the customer, want 1", named[line], line)
		}
	}
}
