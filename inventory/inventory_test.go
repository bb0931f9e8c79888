package inventory_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/epoch"
	"gypsumbank/inventory"
	"gypsumbank/platform"
	"gypsumbank/standin/site"
)

const (
	target = "127.0.0.1:1"
	// writeWait is longer than the 6 s that Run waits before it writes a change.
	writeWait = 6500 * time.Millisecond
)

// newStoreClient returns a client of a store that logs nothing.
func newStoreClient(t *testing.T, store *site.Store) *platform.Store {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return platform.NewStore(store.Address(), epoch.New(), log.WithField("test", t.Name()))
}

// startInventory runs an inventory until the test ends and returns it with the models that it read from the store.
func startInventory(t *testing.T, store *site.Store) (*inventory.Inventory, []inventory.Model) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	inv := inventory.New(newStoreClient(t, store), target, epoch.New(), log.WithField("test", t.Name()))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- inv.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	select {
	case previous := <-inv.Previous():
		return inv, previous
	case <-time.After(5 * time.Second):
		t.Fatal("inventory has not read its record after 5 s")
		return nil, nil
	}
}

// modelsNamed returns models with the given names, each with another average concurrency.
func modelsNamed(names []string) []inventory.Model {
	var models []inventory.Model
	for i, name := range names {
		models = append(models, inventory.Model{Name: name, AvgConcurrency: float64(i)})
	}
	return models
}

// TestRecordSurvivesProcessRestart checks that the process after a restart reads the last change, also if the store
// failed while it was written.
func TestRecordSurvivesProcessRestart(t *testing.T) {
	tests := map[string]struct {
		changes [][]string
		fault   site.Fault // of the store while the changes are made
		want    []string
	}{
		"never written":   {},
		"one change":      {changes: [][]string{{"a"}}, want: []string{"a"}},
		"several changes": {changes: [][]string{{"a"}, {"a", "b"}, {"b"}}, want: []string{"b"}},
		"lost responses":  {changes: [][]string{{"a"}, {"b"}}, fault: site.LoseAnswers, want: []string{"b"}},
		"store is down":   {changes: [][]string{{"a"}}, fault: site.Down, want: []string{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := site.NewStore()
			defer store.Close()
			inv, _ := startInventory(t, store)
			store.SetFault(test.fault)
			for _, models := range test.changes {
				inv.Set(modelsNamed(models))
			}
			time.Sleep(writeWait)
			store.SetFault(site.NoFault)
			time.Sleep(writeWait)
			if _, previous := startInventory(t, store); !slices.Equal(previous, modelsNamed(test.want)) {
				t.Errorf("next process read %v from the store, want %v", previous, test.want)
			}
		})
	}
}

// TestUnreadableRecordIsReplaced checks that a stored value which is not valid JSON counts as empty and doesn't prevent
// later writes.
func TestUnreadableRecordIsReplaced(t *testing.T) {
	store := site.NewStore()
	defer store.Close()
	row := platform.Row{Table: "inventories", Part: target, Key: "models", Value: []byte("{")}
	if _, err := newStoreClient(t, store).CompareAndSwap(t.Context(), row); err != nil {
		t.Fatal(err)
	}
	inv, previous := startInventory(t, store)
	if len(previous) > 0 {
		t.Errorf("read %v from an undecodable record, want no models", previous)
	}
	inv.Set(modelsNamed([]string{"a"}))
	time.Sleep(writeWait)
	if row, ok := store.Row("inventories", target, "models"); !ok || !strings.Contains(string(row.Value), `"a"`) {
		t.Errorf("stored record is %q, want one that lists model a", row.Value)
	}
}

// TestWriteNeedsNoSecondRead checks that a process which has read the record writes a change with a single store call.
func TestWriteNeedsNoSecondRead(t *testing.T) {
	t.Parallel()
	store := site.NewStore()
	defer store.Close()
	inv, _ := startInventory(t, store)
	before := store.Requests()
	inv.Set(modelsNamed([]string{"a"}))
	time.Sleep(writeWait)
	if calls := store.Requests() - before; calls != 1 {
		t.Errorf("%d store calls for one change, want 1", calls)
	}
}
