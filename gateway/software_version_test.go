package gateway_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

// registerVersion registers an engine with a software version.
func (d *testDeployment) registerVersion(id string, target *site.Target, version string) {
	entry := target.RegistryEntry("engine", "ready")
	entry["version"] = version
	d.store.Put("servers", id, entry)
}

// breakingStream returns a handler of a stream of six events with the name of its version that breaks after the second, and that
// goes on after Last-Event-Id to the end.
func breakingStream(version string) site.Handler {
	return func(conn net.Conn, request *site.ReceivedRequest) bool {
		breakAfter := 2
		if request.Header.Get("Last-Event-Id") != "" {
			breakAfter = 0
		}
		return site.VersionedEventStream(6, version, breakAfter)(conn, request)
	}
}

// TestStreamGoesOnOnlyAtItsSoftwareVersion guards against answers that join events of two software versions. A stream breaks, and
// the other engine, which is to go on, is of the same version or of another.
func TestStreamGoesOnOnlyAtItsSoftwareVersion(t *testing.T) {
	cases := map[string]struct {
		versions  [2]string
		wantWhole bool
	}{
		"same version":  {versions: [2]string{"v1", "v1"}, wantWhole: true},
		"other version": {versions: [2]string{"v1", "v2"}},
		"unknown first": {versions: [2]string{"", "v2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			other := site.NewTarget("e2", breakingStream(c.versions[1]))
			defer other.Close()
			other.Load("m1")
			d.engineTarget.SetHandler(breakingStream(c.versions[0]))
			d.registerVersion("e1", d.engineTarget, c.versions[0])
			d.registerVersion("e2", other, c.versions[1])
			time.Sleep(1200 * time.Millisecond)
			for range 4 {
				_, body, err := d.roundTrip(getRequest("/resume/a", m1Header))
				if whole := err == nil; whole != c.wantWhole {
					t.Errorf("whole %v, want %v; body %q, %v", whole, c.wantWhole, body, err)
				}
				if c.versions[0] != c.versions[1] && strings.Contains(body, "at-"+c.versions[0]+"\n") && strings.Contains(body, "at-"+c.versions[1]+"\n") {
					t.Errorf("body %q has events of both versions", body)
				}
			}
		})
	}
}
