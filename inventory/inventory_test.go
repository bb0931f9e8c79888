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

	"gypsumbank/inventory"
	"gypsumbank/platform"
	"gypsumbank/standin/site"
)

const (
	target = "127.0.0.1:1"
	// settled is longer than the pause before a change is written.
	settled = 6500 * time.Millisecond
)

// run starts an inventory and returns it with the models that it has read.
func run(t *testing.T, store *site.Store) (*inventory.Inventory, []inventory.Model) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	kept := inventory.New(platform.NewStore(store.Address()), target, log.WithField("test", t.Name()))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- kept.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	select {
	case former := <-kept.Previous():
		return kept, former
	case <-time.After(5 * time.Second):
		t.Fatal("the record was not read")
		return nil, nil
	}
}

func named(names []string) []inventory.Model {
	var models []inventory.Model
	for i, name := range names {
		models = append(models, inventory.Model{Name: name, AvgConcurrency: float64(i)})
	}
	return models
}

func TestModelsOfTheLastProcessAreKnown(t *testing.T) {
	tests := map[string]struct {
		sets  [][]string
		fault site.Fault // while the last change is written
		want  []string
	}{
		"never written":      {},
		"one change":         {sets: [][]string{{"a"}}, want: []string{"a"}},
		"the last of many":   {sets: [][]string{{"a"}, {"a", "b"}, {"b"}}, want: []string{"b"}},
		"answers are lost":   {sets: [][]string{{"a"}, {"b"}}, fault: site.LoseAnswers, want: []string{"b"}},
		"store away a while": {sets: [][]string{{"a"}}, fault: site.Down, want: []string{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := site.NewStore()
			defer store.Close()
			kept, _ := run(t, store)
			store.SetFault(test.fault)
			for _, models := range test.sets {
				kept.Set(named(models))
			}
			time.Sleep(settled)
			store.SetFault(site.NoFault)
			time.Sleep(settled)
			if _, former := run(t, store); !slices.Equal(former, named(test.want)) {
				t.Errorf("the next process reads %v, want %v", former, test.want)
			}
		})
	}
}

func TestUnreadableRecordIsReplaced(t *testing.T) {
	store := site.NewStore()
	defer store.Close()
	row := platform.Row{Table: "inventories", Part: target, Key: "models", Value: []byte("{")}
	if _, err := platform.NewStore(store.Address()).CompareAndSwap(t.Context(), row); err != nil {
		t.Fatal(err)
	}
	kept, former := run(t, store)
	if len(former) > 0 {
		t.Errorf("read %v", former)
	}
	kept.Set(named([]string{"a"}))
	time.Sleep(settled)
	if row, ok := store.Row("inventories", target, "models"); !ok || !strings.Contains(string(row.Value), `"a"`) {
		t.Errorf("record %q", row.Value)
	}
}

// TestChangeIsWrittenWithoutAnotherRead counts the calls to the store of a process that has read the record and changes it.
func TestChangeIsWrittenWithoutAnotherRead(t *testing.T) {
	t.Parallel()
	store := site.NewStore()
	defer store.Close()
	kept, _ := run(t, store)
	before := store.Calls()
	kept.Set(named([]string{"a"}))
	time.Sleep(settled)
	if calls := store.Calls() - before; calls != 1 {
		t.Errorf("%d calls for one change, want 1", calls)
	}
}
