package dispatch

import (
	"net/http"
	"testing"
	"time"

	"gypsumbank/fleet"
	"gypsumbank/registry"
	"gypsumbank/reply"
	"gypsumbank/request"
)

// registerVersions lists the two engines with the given software versions.
func registerVersions(d *Dispatcher, first, second registry.SoftwareVersion) []registry.Target {
	var targets []registry.Target
	for i, version := range []registry.SoftwareVersion{first, second} {
		id := string(rune('1' + i))
		targets = append(targets, registry.Target{
			ID: "e" + id, Service: engineService, Address: "10.0.1." + id + ":80", AvailabilityZone: "a", Slots: 64,
			SoftwareVersion: version, Models: []registry.Model{{Name: "m1"}},
		})
	}
	d.fleet.UpdateTargets(targets, false, d.now())
	return targets
}

// TestResumeKeepsTheSoftwareVersion breaks a stream of the first of two engines and resumes it.
func TestResumeKeepsTheSoftwareVersion(t *testing.T) {
	cases := map[string]struct {
		versions  [2]registry.SoftwareVersion
		lastEvent string
		want      Outcome
	}{
		"one version":                   {versions: [2]registry.SoftwareVersion{"v1", "v1"}, lastEvent: "2", want: Answered{}},
		"no version is known":           {lastEvent: "2", want: Answered{}},
		"other version":                 {versions: [2]registry.SoftwareVersion{"v1", "v2"}, lastEvent: "2", want: Failed{Reason: NoTarget}},
		"other version, no event yet":   {versions: [2]registry.SoftwareVersion{"v1", "v2"}, want: Answered{}},
		"first version is not known":    {versions: [2]registry.SoftwareVersion{"", "v2"}, lastEvent: "2", want: Failed{Reason: UnknownVersion}},
		"version of the other unknown":  {versions: [2]registry.SoftwareVersion{"v1", ""}, lastEvent: "2", want: Failed{Reason: NoTarget}},
		"other version, same as unread": {versions: [2]registry.SoftwareVersion{"v2", "v1"}, lastEvent: "2", want: Failed{Reason: NoTarget}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: []func() reply.Result{respond(200)}}
			d := newDispatcher(s, time.Now)
			targets := registerVersions(d, c.versions[0], c.versions[1])
			dispatch := d.Begin(t.Context(), &request.Request{ID: "r", Model: "m1", Arrived: time.Now(), Header: http.Header{}}, streamRoute(true), engineService)
			defer dispatch.Close()
			dispatch.possibleRuns, dispatch.sendCount = 1, 1
			dispatch.Exclude("e1")
			if got := dispatch.Resume(targets[0], c.lastEvent); !sameOutcome(got, c.want) {
				t.Errorf("outcome %#v, want %#v", got, c.want)
			}
		})
	}
}

// TestAnswerOfAnotherRunIsNotJoined restarts the target to which a stream was resumed, under the same id, before its answer came.
func TestAnswerOfAnotherRunIsNotJoined(t *testing.T) {
	d := newDispatcher(&scriptedClient{}, time.Now)
	targets := registerVersions(d, "v1", "v1")
	dispatch := d.Begin(t.Context(), &request.Request{ID: "r", Model: "m1", Arrived: time.Now()}, streamRoute(true), engineService)
	defer dispatch.Close()
	if !dispatch.bindVersion(streamOrigin{version: "v1", source: "answer"}) || !dispatch.ContinuesStream(targets[1]) {
		t.Fatal("want the answer of the target to continue the stream")
	}
	restarted := append([]registry.Target(nil), targets...)
	restarted[1].Born, restarted[1].SoftwareVersion = targets[1].Born+5, "v2"
	d.fleet.UpdateTargets(restarted, false, time.Now())
	if dispatch.ContinuesStream(targets[1]) {
		t.Error("an answer of a run that has ended would be joined to the stream")
	}
}

// TestModelIsLoadedWhereAStreamGoesOn takes up a stream at a software version none of whose targets holds the model, while one of
// another version does.
func TestModelIsLoadedWhereAStreamGoesOn(t *testing.T) {
	s := &scriptedClient{replies: []func() reply.Result{respond(200)}, origin: "v1"}
	d := newDispatcher(s, time.Now)
	targets := registerVersions(d, "v1", "v2")
	targets[0].Models = []registry.Model{}
	d.fleet.UpdateTargets(targets, false, time.Now())
	d.fleet.Observe("e1", fleet.Observation{Report: registry.Report{OnDisk: []string{"m1"}}, Watchers: 2}, time.Now())
	r := streamRoute(true)
	r.Timeout = 5 * time.Second
	began := time.Now()
	dispatch := d.Begin(t.Context(), &request.Request{ID: "r2", FirstRequestID: "r1", LastEventID: "2", Model: "m1", Arrived: began}, r, engineService)
	defer dispatch.Close()
	if got := dispatch.Run(); !sameOutcome(got, Answered{}) || len(s.sentTo) != 1 || s.sentTo[0].ID != "e1" {
		t.Errorf("outcome %#v, sent to %v; want an answer of e1", got, s.sentTo)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the stream went on after %s", took)
	}
}

// TestTakenUpStreamWaitsForAnotherHolder guards against streams that are refused as their only holder has just ended, although a load
// on another target of their version is on its way: many callers come back at once after a crash.
func TestTakenUpStreamWaitsForAnotherHolder(t *testing.T) {
	s := &scriptedClient{replies: []func() reply.Result{notSent, respond(200)}, origin: "v1", ensureTime: 700 * time.Millisecond}
	d := newDispatcher(s, time.Now)
	targets := registerVersions(d, "v1", "v1")
	targets[1].Models = []registry.Model{}
	d.fleet.UpdateTargets(targets, false, time.Now())
	d.fleet.Observe("e2", fleet.Observation{Report: registry.Report{OnDisk: []string{"m1"}}, Watchers: 2}, time.Now())
	r := streamRoute(true)
	r.Timeout = 5 * time.Second
	dispatch := d.Begin(t.Context(), &request.Request{ID: "r2", FirstRequestID: "r1", LastEventID: "2", Model: "m1", Arrived: time.Now()}, r, engineService)
	defer dispatch.Close()
	if got := dispatch.Run(); !sameOutcome(got, Answered{}) || len(s.sentTo) != 2 || s.sentTo[1].ID != "e2" {
		t.Errorf("outcome %#v, sent to %v; want an answer of e2", got, s.sentTo)
	}
}
