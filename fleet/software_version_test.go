package fleet

import (
	"testing"

	"gypsumbank/registry"
	"gypsumbank/request"
	"gypsumbank/route"
)

// TestStreamGoesOnAtATargetInBackoff has the only target of a software version be avoided after a failed connection, while targets
// of another version have room. A stream that goes on at the first version only must still be sent there.
func TestStreamGoesOnAtATargetInBackoff(t *testing.T) {
	f := New("a")
	f.SetServices(map[string]route.Service{"plain": {Name: "plain"}})
	var targets []registry.Target
	for id, version := range map[string]registry.SoftwareVersion{"old": "v1", "new": "v2"} {
		targets = append(targets, registry.Target{ID: id, Service: "plain", AvailabilityZone: "a", Address: "10.0.0.1:80", Slots: 8, SoftwareVersion: version})
	}
	f.UpdateTargets(targets, false, start)
	version := registry.SoftwareVersion("v1")
	query := Query{Service: "plain", Request: &request.Request{}, SoftwareVersion: &version}
	choice, ok := f.Choose(query, start)
	if !ok || choice.Target.ID != "old" {
		t.Fatalf("choice %+v, %v; want the target of the version", choice, ok)
	}
	f.Assign(choice, query.Request, start).End(Unreached, start)
	if choice, ok := f.Choose(query, start); !ok || choice.Target.ID != "old" {
		t.Errorf("choice %+v, %v while the target of the version is in backoff", choice, ok)
	}
}
