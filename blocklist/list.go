package blocklist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"gypsumbank/platform"
	"gypsumbank/quarantine"
	"gypsumbank/request"
	"gypsumbank/wire"
)

const (
	table = "quarantine"
	key   = "blocked"
	// maxEntries bounds the row to about 40 KB.
	maxEntries = 400
)

// Store is the part of the platform's store that a List uses.
type Store interface {
	Row(ctx context.Context, table, part, key string) (platform.Row, int64, error)
	CompareAndSwap(ctx context.Context, row platform.Row) (int64, error)
}

// List is the row with the entries of a quarantine that are or were blocked. All processes share one row.
type List struct {
	store      Store
	quarantine *quarantine.Table
	log        *logrus.Entry
}

// record is the value of the row.
type record struct {
	Entries []storedEntry `json:"entries"`
}

// storedEntry is one entry of the quarantine.
type storedEntry struct {
	Content string `json:"content"` // hash in hexadecimal
	Version uint32 `json:"version"`
	Blocked bool   `json:"blocked"`
	Times   uint32 `json:"times"`
	AtMs    int64  `json:"at-ms"` // time of the last change on the store's clock
}

// New returns the list of a quarantine; it does nothing until Sync.
func New(store Store, table *quarantine.Table, log *logrus.Entry) *List {
	return &List{store: store, quarantine: table, log: log}
}

// Sync adds the stored entries to the quarantine, stores those that the row lacks and returns the contents that are blocked
// now and were not before. The error wraps platform.ErrConflict if another process wrote the row at the same time.
func (l *List) Sync(ctx context.Context) ([]request.Content, error) {
	row, nowMs, err := l.store.Row(ctx, table, "", key)
	var stored record
	switch {
	case errors.Is(err, platform.ErrNotFound):
		row = platform.Row{Table: table, Key: key}
	case err != nil:
		return nil, fmt.Errorf("read list of blocked contents: %w", err)
	default:
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			l.log.WithError(err).Warn("stored list of blocked contents can't be decoded, replacing it")
			stored = record{}
		}
	}
	blocked := l.quarantine.Merge(stored.message(nowMs))
	current := l.currentRecord(nowMs)
	if stored.covers(current) {
		return blocked, nil
	}
	if row.Value, err = json.Marshal(current); err != nil {
		return blocked, fmt.Errorf("encode list of blocked contents: %w", err)
	}
	if _, err := l.store.CompareAndSwap(ctx, row); err != nil {
		return blocked, fmt.Errorf("write list of blocked contents: %w", err)
	}
	return blocked, nil
}

// message returns the record as another process would send it, without entries whose content can't be decoded.
func (r *record) message(nowMs int64) *wire.Quarantine {
	message := &wire.Quarantine{}
	for _, e := range r.Entries {
		content, err := strconv.ParseUint(e.Content, 16, 64)
		if err != nil {
			continue
		}
		message.Entries = append(message.Entries, &wire.QuarantineEntry{
			Content: content, Version: e.Version, Blocked: e.Blocked, Times: e.Times, AgeMs: uint32(max(0, nowMs-e.AtMs)),
		})
	}
	return message
}

// currentRecord returns the entries of the quarantine that are or were blocked, the latest first if there are too many.
func (l *List) currentRecord(nowMs int64) record {
	var current record
	for revision := uint64(0); ; {
		message, next := l.quarantine.Changes(revision, false)
		if message == nil {
			break
		}
		revision = next
		for _, e := range message.GetEntries() {
			if e.GetTimes() > 0 {
				current.Entries = append(current.Entries, storedEntry{
					Content: strconv.FormatUint(e.GetContent(), 16), Version: e.GetVersion(), Blocked: e.GetBlocked(), Times: e.GetTimes(), AtMs: nowMs - int64(e.GetAgeMs()),
				})
			}
		}
	}
	slices.SortFunc(current.Entries, func(a, b storedEntry) int {
		if a.AtMs != b.AtMs {
			return int(b.AtMs - a.AtMs)
		}
		return strings.Compare(a.Content, b.Content)
	})
	current.Entries = current.Entries[:min(len(current.Entries), maxEntries)]
	return current
}

// covers reports whether the record has all entries of other, in the same or a later version.
func (r *record) covers(other record) bool {
	versions := make(map[string]uint32, len(r.Entries))
	for _, e := range r.Entries {
		versions[e.Content] = e.Version
	}
	return !slices.ContainsFunc(other.Entries, func(e storedEntry) bool { return versions[e.Content] < e.Version })
}
