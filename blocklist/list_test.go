package blocklist_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/blocklist"
	"gypsumbank/platform"
	"gypsumbank/quarantine"
	"gypsumbank/request"
	"gypsumbank/standin/row"
)

// process is a quarantine of one process with its list.
type process struct {
	table *quarantine.Table
	list  *blocklist.List
	clock *time.Time
}

func newProcess(store *row.Store, clock *time.Time) process {
	log := logrus.New()
	log.SetOutput(io.Discard)
	table := quarantine.New(func() time.Time { return *clock })
	return process{table, blocklist.New(store, table, log.WithField("test", "blocklist")), clock}
}

// block has three targets crash under a content.
func (p process) block(content request.Content) {
	for run := range uint64(3) {
		*p.clock = p.clock.Add(time.Second)
		p.table.Blame(content.Hash<<8|run, []request.Content{content})
	}
}

func (p process) blocks(content request.Content) bool {
	return p.table.Blocked([]request.Content{content}) > 0
}

// TestBlockedContentsOutliveAllProcesses has a process block a content and end, and others begin with an empty memory. The
// store's clock and theirs have nothing in common.
func TestBlockedContentsOutliveAllProcesses(t *testing.T) {
	bad, other, sound := request.Content{Hash: 1}, request.Content{Hash: 2}, request.Content{Hash: 3}
	cases := map[string]struct {
		fault   row.Fault
		wantErr bool
	}{
		"written":                      {},
		"answer of the write was lost": {fault: row.LoseAnswer, wantErr: true},
		"write was refused at first":   {fault: row.RefuseWrite, wantErr: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			storeMs := int64(5_000_000)
			store := row.New(func() int64 { return storeMs })
			clock := time.Unix(1000, 0)
			first := newProcess(store, &clock)
			if _, err := first.list.Sync(ctx); err != nil {
				t.Fatal(err)
			}
			first.block(bad)
			first.block(sound)
			store.SetFaults(c.fault)
			if _, err := first.list.Sync(ctx); (err != nil) != c.wantErr {
				t.Fatalf("Sync: %v", err)
			}
			if _, err := first.list.Sync(ctx); err != nil {
				t.Fatal(err)
			}
			storeMs += 60_000
			restarted := time.Unix(7, 0)
			second := newProcess(store, &restarted)
			if blocked, err := second.list.Sync(ctx); err != nil || len(blocked) != 2 {
				t.Fatalf("%d contents blocked, %v; want 2", len(blocked), err)
			}
			second.table.Clear([]request.Content{sound})
			second.block(other)
			if _, err := second.list.Sync(ctx); err != nil {
				t.Fatal(err)
			}
			third := newProcess(store, &restarted)
			if _, err := third.list.Sync(ctx); err != nil {
				t.Fatal(err)
			}
			if !third.blocks(bad) || !third.blocks(other) || third.blocks(sound) {
				t.Errorf("blocked: %v %v %v, want the first two", third.blocks(bad), third.blocks(other), third.blocks(sound))
			}
			storeMs += 11 * 60_000
			fourth := newProcess(store, &restarted)
			if _, err := fourth.list.Sync(ctx); err != nil || fourth.blocks(bad) {
				t.Errorf("still blocked 12 min after the crashes, %v", err)
			}
		})
	}
}

// TestConcurrentWritersKeepEachOthersEntries has another process write between the read and the write of one.
func TestConcurrentWritersKeepEachOthersEntries(t *testing.T) {
	ctx := context.Background()
	store := row.New(func() int64 { return 1000 })
	clock := time.Unix(1000, 0)
	a, b := newProcess(store, &clock), newProcess(store, &clock)
	a.block(request.Content{Hash: 1})
	b.block(request.Content{Hash: 2})
	store.BeforeNextWrite(func() {
		if _, err := b.list.Sync(ctx); err != nil {
			t.Error(err)
		}
	})
	if _, err := a.list.Sync(ctx); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("Sync = %v, want a conflict", err)
	}
	if _, err := a.list.Sync(ctx); err != nil {
		t.Fatal(err)
	}
	reader := newProcess(store, &clock)
	if _, err := reader.list.Sync(ctx); err != nil || !reader.blocks(request.Content{Hash: 1}) || !reader.blocks(request.Content{Hash: 2}) {
		t.Errorf("an entry is missing, %v", err)
	}
}

// TestCrashesAddUpThroughTheStore has each of three crashes be seen by another process, which share the row only.
func TestCrashesAddUpThroughTheStore(t *testing.T) {
	ctx := context.Background()
	store := row.New(func() int64 { return 1000 })
	clock := time.Unix(1000, 0)
	whole := (&request.Request{Host: "callers.example", URI: "/ends-targets"}).Contents()
	processes := []process{newProcess(store, &clock), newProcess(store, &clock), newProcess(store, &clock)}
	for run, p := range processes {
		p.table.Blame(uint64(run), whole)
		if _, err := p.list.Sync(ctx); err != nil {
			t.Fatal(err)
		}
	}
	for i, p := range processes {
		if _, err := p.list.Sync(ctx); err != nil || !p.blocks(whole[0]) {
			t.Errorf("process %d does not block the content, %v", i, err)
		}
	}
}

// TestRowIsBounded fills a quarantine. The row must stay below the 64 KiB that the store accepts, and not be written again if
// nothing has changed.
func TestRowIsBounded(t *testing.T) {
	const maxRowBytes = 64 << 10
	ctx := context.Background()
	store := row.New(func() int64 { return 1_700_000_000_000 })
	clock := time.Unix(1_700_000_000, 0)
	p := newProcess(store, &clock)
	for run := range uint64(2000) {
		clock = clock.Add(time.Millisecond)
		whole := request.Content{Hash: ^(run / 3), Rank: 1 << 16}
		contents := []request.Content{whole}
		for part := range uint64(40) {
			contents = append(contents, request.Content{Hash: ^(run<<20 | part<<10), Rank: uint32(part)})
		}
		p.table.Blame(^run, contents)
	}
	if _, err := p.list.Sync(ctx); err != nil {
		t.Fatal(err)
	}
	stored, _, err := store.Row(ctx, "quarantine", "", "blocked")
	if err != nil || len(stored.Value) > maxRowBytes || len(stored.Value) < maxRowBytes/4 {
		t.Fatalf("a row of %d bytes, %v; want at most %d and a full one", len(stored.Value), err, maxRowBytes)
	}
	if _, err := p.list.Sync(ctx); err != nil {
		t.Fatal(err)
	}
	if again, _, err := store.Row(ctx, "quarantine", "", "blocked"); err != nil || again.Version != stored.Version {
		t.Errorf("written again at version %d after %d, %v", again.Version, stored.Version, err)
	}
}
