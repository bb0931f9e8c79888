package versionrow_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/epoch"
	"gypsumbank/platform"
	"gypsumbank/registry"
	"gypsumbank/standin/site"
	"gypsumbank/versionrow"
)

const readTimeout = time.Second

// newRow returns the row of a process of its own, and the process's client of the store.
func newRow(t *testing.T, store *site.Store) (*versionrow.Row, *platform.Store) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := platform.NewStore(store.Address(), epoch.New(), log.WithField("test", t.Name()))
	return versionrow.New(client, log.WithField("test", t.Name()), time.Now), client
}

func newStore(t *testing.T) *site.Store {
	store := site.NewStore()
	t.Cleanup(store.Close)
	return store
}

func sync(t *testing.T, row *versionrow.Row) (versionrow.Found, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), readTimeout)
	defer cancel()
	return row.Sync(ctx, true)
}

func targetsOf(versions ...registry.SoftwareVersion) []registry.Target {
	var targets []registry.Target
	for _, version := range versions {
		targets = append(targets, registry.Target{ID: string(version), Service: "llm", SoftwareVersion: version})
	}
	return targets
}

// TestVersionIsRecordedOnceItsWriteIsConfirmed guards against streams that begin at a version whose write has failed, and against versions that
// are never recorded as the answer of their write was lost.
func TestVersionIsRecordedOnceItsWriteIsConfirmed(t *testing.T) {
	store := newStore(t)
	row, _ := newRow(t, store)
	row.Observe(targetsOf("v1"), 1, time.Now(), false)
	store.SetFault(site.LoseAnswers)
	if _, err := sync(t, row); err == nil || row.Allows("llm", "v1") {
		t.Errorf("error %v, allowed %v after a write without an answer", err, row.Allows("llm", "v1"))
	}
	store.SetFault(site.NoFault)
	if _, err := sync(t, row); err != nil || !row.Allows("llm", "v1") || row.Allows("llm", "v2") || row.Allows("llm", "") {
		t.Errorf("error %v, allowed %v, want v1 alone", err, row.Allows("llm", "v1"))
	}
	if !row.Allows("plain", "") {
		t.Error("a service without versions is not allowed")
	}
	if _, writes := store.RowCalls(versionrow.Table); writes != 1 {
		t.Errorf("%d writes, want that without an answer alone", writes)
	}
}

// TestTwoProcessesWriteAtOnce guards against a version that is lost as two processes write the row at the same time.
func TestTwoProcessesWriteAtOnce(t *testing.T) {
	store := newStore(t)
	first, _ := newRow(t, store)
	second, client := newRow(t, store)
	first.Observe(targetsOf("v1"), 1, time.Now(), false)
	second.Observe(targetsOf("v1", "v2"), 1, time.Now(), false)
	if _, _, err := client.Row(t.Context(), versionrow.Table, "", versionrow.Key); !errors.Is(err, platform.ErrNotFound) {
		t.Fatal(err)
	}
	results := make(chan error, 2)
	for _, row := range []*versionrow.Row{first, second} {
		go func() {
			var err error
			for range 4 {
				ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
				_, err = row.Sync(ctx, true)
				cancel()
				if !errors.Is(err, platform.ErrConflict) {
					break
				}
			}
			results <- err
		}()
	}
	for range 2 {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if found, err := sync(t, first); err != nil || len(found.Proofs["llm"].Left) != 2 {
		t.Errorf("found %+v, %v, want both versions", found, err)
	}
	if !second.Covered() {
		t.Error("a listed version is not recorded")
	}
}

// TestRowOfAnOlderCopyProvesNothing guards against conclusions from what was read before the store came back from an older copy, and from
// the row in that copy.
func TestRowOfAnOlderCopyProvesNothing(t *testing.T) {
	store := newStore(t)
	row, _ := newRow(t, store)
	row.Observe(targetsOf("v1"), 1, time.Now(), false)
	if _, err := sync(t, row); err != nil {
		t.Fatal(err)
	}
	copied := store.Snapshot()
	store.AdvanceClock(2 * time.Minute)
	if found, err := sync(t, row); err != nil || found.Proofs["llm"].Age < time.Minute {
		t.Errorf("found %+v, %v", found, err)
	}
	store.Restore(copied)
	row.Observe(targetsOf("v1"), 2, time.Now(), false)
	if row.Allows("llm", "v1") {
		t.Error("what was recorded before still counts")
	}
	if found, err := sync(t, row); err != nil || len(found.Proofs) != 0 || found.Epoch != 2 {
		t.Errorf("found %+v, %v", found, err)
	}
	if found, err := sync(t, row); err != nil || found.Proofs["llm"].Age > time.Minute || !row.Allows("llm", "v1") {
		t.Errorf("found %+v, %v after it was written again", found, err)
	}
}

// TestRowOfANewStoreHasTheVersionsOfItsHistory guards against a row that is taken for whole without the versions that served before it was
// first written, and against one that proves nothing in a new deployment although the registry's history is known.
func TestRowOfANewStoreHasTheVersionsOfItsHistory(t *testing.T) {
	cases := map[string]struct {
		disturb func(store *site.Store)
		whole   bool
	}{
		"new store":       {whole: true},
		"history is lost": {disturb: func(store *site.Store) { store.SetFault(site.LoseHistory) }},
		"older store":     {disturb: func(store *site.Store) { store.AdvanceClock(10 * time.Minute) }},
		"restored store":  {disturb: func(store *site.Store) { store.Restore(store.Snapshot()) }},
		"spoiled row":     {disturb: func(store *site.Store) { store.Put(versionrow.Table, versionrow.Key, "spoiled") }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store := newStore(t)
			target := site.NewTarget("e1", site.TextResponse(200, ""))
			t.Cleanup(target.Close)
			entry := target.RegistryEntry("llm", "ready")
			entry["version"] = "v0"
			store.Put("servers", "e1", entry)
			store.Remove("servers", "e1")
			if c.disturb != nil {
				c.disturb(store)
			}
			row, client := newRow(t, store)
			read, _, err := client.Row(t.Context(), versionrow.Table, "", versionrow.Key)
			if err != nil && !errors.Is(err, platform.ErrNotFound) {
				t.Fatal(err)
			}
			row.Observe(targetsOf("v1"), read.Epoch, time.Now(), false)
			if _, err := sync(t, row); err != nil {
				t.Fatal(err)
			}
			found, err := sync(t, row)
			if err != nil {
				t.Fatal(err)
			}
			_, earlier := found.Proofs["llm"].Left["v0"]
			if whole := found.Proofs["llm"].Age >= time.Minute; whole != c.whole || earlier != c.whole {
				t.Errorf("whole %v with the earlier version %v, want %v: %+v", whole, earlier, c.whole, found)
			}
		})
	}
}

// TestVersionThatIsGoneIsMarkedOnce has a version leave and come back.
func TestVersionThatIsGoneIsMarkedOnce(t *testing.T) {
	store := newStore(t)
	row, _ := newRow(t, store)
	start := time.Now()
	row.Observe(targetsOf("v1", "v2"), 1, start, false)
	if _, err := sync(t, row); err != nil {
		t.Fatal(err)
	}
	_, before := store.RowCalls(versionrow.Table)
	for i := range 12 {
		row.Observe(targetsOf("v1"), 1, start.Add(time.Duration(i+1)*time.Second), false)
		if i < 9 && row.Due() {
			t.Errorf("the row is to be read %d s after the version was last listed", i+1)
		}
	}
	for range 3 {
		if _, err := sync(t, row); err != nil {
			t.Fatal(err)
		}
	}
	if _, writes := store.RowCalls(versionrow.Table); writes != before+1 {
		t.Errorf("%d writes for a version that is gone, want 1", writes-before)
	}
	row.Observe(targetsOf("v1", "v2"), 1, start.Add(13*time.Second), false)
	if row.Allows("llm", "v2") || !row.Due() {
		t.Error("a version that is back counts as recorded before the row was read")
	}
	if _, err := sync(t, row); err != nil || !row.Allows("llm", "v2") {
		t.Errorf("error %v, allowed %v", err, row.Allows("llm", "v2"))
	}
}
