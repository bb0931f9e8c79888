package fleet

import (
	"testing"
	"time"

	"gypsumbank/registry"
	"gypsumbank/route"
	"gypsumbank/standby"
)

// newCopyingFleet returns the view of a gateway of engines that hold the model and copy runs to each other.
func newCopyingFleet(engines int) *Fleet {
	holdings := make([][]string, engines)
	for i := range holdings {
		holdings[i] = []string{"hot"}
	}
	f := newTestFleet(holdings...)
	services := f.services
	engine := *services[service].Engine
	engine.KVTokens = 200000
	engine.Copies = route.Copies{Backups: true, BytesPerToken: 330e3, LinkMbps: 550e3, Lifetime: 2 * time.Second}
	f.SetServices(map[string]route.Service{service: {Name: service, Engine: &engine}})
	return f
}

// onceRoute is a route whose streams may not be repeated.
func onceRoute() *route.Route {
	return &route.Route{Kind: route.Streaming, Timeout: 15 * time.Second, MaxAttempts: 1}
}

// backupOf returns the backup of a short run that begins at the first engine.
func backupOf(f *Fleet, now time.Time) (*Backup, standby.Decision) {
	return f.ChooseBackup(Choice{Target: f.states["e0"].Target}, shortRequest("hot"), onceRoute(), now.Add(15*time.Second), now)
}

// TestChooseBackup guards against copies at engines that must not or cannot go on with a run, by what the gateway knows of them.
func TestChooseBackup(t *testing.T) {
	cases := map[string]struct {
		change func(f *Fleet)
		want   standby.Reason // empty if no copy is considered
		copied bool
	}{
		"an idle engine":                  {func(*Fleet) {}, standby.Short, true},
		"engines copy no runs":            {func(f *Fleet) { f.services[service].Engine.Copies.Backups = false }, "", false},
		"the other is of another version": {func(f *Fleet) { f.states["e1"].SoftwareVersion = "v2" }, standby.NoEngine, false},
		"the other lost the model":        {func(f *Fleet) { f.MarkNotHeld("e1", "hot", "") }, standby.NoEngine, false},
		"the other leaves":                {func(f *Fleet) { f.states["e1"].Draining = true }, standby.NoEngine, false},
		"the other was replaced":          {func(f *Fleet) { f.MarkReplaced("e1") }, standby.NoEngine, false},
		"the other was not reached":       {func(f *Fleet) { f.states["e1"].backoffUntil = start.Add(time.Second) }, standby.NoEngine, false},
		"the other refused as it is full": {func(f *Fleet) { f.states["e1"].fullUntil = start.Add(time.Second) }, standby.NoEngine, false},
		"the other is silent":             {func(f *Fleet) { f.states["e1"].reportAt = start.Add(-1500 * time.Millisecond) }, standby.NoEngine, false},
		"no report of the other":          {func(f *Fleet) { f.states["e1"].reportAt = time.Time{} }, standby.NoRoom, false},
		"the other's cache is full":       {func(f *Fleet) { f.states["e1"].report.KVUsed = 150000 }, standby.NoRoom, false},
		"the other's slots are taken":     {func(f *Fleet) { f.states["e1"].othersInflight = 60 }, standby.NoRoom, false},
		"the other is on the same VM":     {func(f *Fleet) { f.states["e1"].Address = "10.0.0.1:81" }, standby.NoEngine, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newCopyingFleet(2)
			c.change(f)
			backup, decision := backupOf(f, start)
			if decision.Reason != c.want || (backup != nil) != c.copied {
				t.Errorf("backup %v, decision %+v; want %q, copied %v", backup, decision, c.want, c.copied)
			}
		})
	}
}

// TestCopiesInFlightTakeRoom guards against copies beyond the room of an engine, whose next report shows them too late, and against room that is
// never free again.
func TestCopiesInFlightTakeRoom(t *testing.T) {
	f := newCopyingFleet(2)
	f.states["e1"].report.KVUsed = 145000 // of 150,000 that copies may use
	var kept []*Backup
	for range 10 {
		if backup, _ := backupOf(f, start); backup != nil {
			kept = append(kept, backup)
		}
	}
	if len(kept) != 5 { // of 950 tokens
		t.Fatalf("%d copies where 5,000 tokens are free, want 5", len(kept))
	}
	at := start.Add(300 * time.Millisecond)
	for i, result := range []Result{Served, Refused, Unreached} {
		a := f.Assign(Choice{Target: f.states["e0"].Target}, shortRequest("hot"), start)
		a.SetBackup(kept[i])
		a.End(result, at)
		backup, _ := backupOf(f, at)
		if backup == nil {
			t.Fatalf("the room of a run that has ended as %d is not free", result)
		}
	}
	a := f.Assign(Choice{Target: f.states["e0"].Target}, shortRequest("hot"), start)
	a.SetBackup(kept[3])
	a.End(Failed, at)
	if backup, _ := backupOf(f, at); backup != nil {
		t.Error("the room of a copy that may be used yet is free")
	}
	f.states["e1"].reportAt = at.Add(2 * time.Second)
	if backup, _ := backupOf(f, at.Add(2*time.Second)); backup == nil {
		t.Error("the room of a copy that the engine has dropped is not free")
	}
	if _, ok := kept[4].Use("", at); !ok {
		t.Fatal("the run can't go on at its copy")
	}
	f.states["e1"].reportAt = at
	if backup, _ := backupOf(f, at); backup == nil {
		t.Error("the room of a copy that was used is not free")
	}
}

// TestUseOfABackup guards against runs that go on at an engine that has changed since its copy was made.
func TestUseOfABackup(t *testing.T) {
	cases := map[string]struct {
		change func(f *Fleet)
		want   bool
	}{
		"as it was":              {func(*Fleet) {}, true},
		"restarted":              {func(f *Fleet) { f.states["e1"].Born = 2 }, false},
		"of another version now": {func(f *Fleet) { f.states["e1"].SoftwareVersion = "v2" }, false},
		"gone":                   {func(f *Fleet) { delete(f.states, "e1") }, false},
		"replaced":               {func(f *Fleet) { f.MarkReplaced("e1") }, false},
		"leaves":                 {func(f *Fleet) { f.states["e1"].report.Draining = true }, false},
		"unloaded the model":     {func(f *Fleet) { f.MarkNotHeld("e1", "hot", "") }, false},
		"not reached":            {func(f *Fleet) { f.states["e1"].backoffUntil = start.Add(time.Second) }, false},
		"wants a rest": {func(f *Fleet) {
			a := f.Assign(Choice{Target: f.states["e1"].Target}, shortRequest("hot"), start)
			a.RecordNotice(registry.Notice{Rest: time.Second}, start)
			a.End(Refused, start)
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newCopyingFleet(2)
			backup, _ := backupOf(f, start)
			c.change(f)
			choice, ok := backup.Use("", start)
			if ok != c.want || (ok && choice.Target.ID != "e1") {
				t.Errorf("choice %+v, %v, want %v", choice.Target, ok, c.want)
			}
			if len(f.backups) != 0 {
				t.Error("the room is not free")
			}
		})
	}
}
