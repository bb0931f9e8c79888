package blocklist

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/platform"
	"gypsumbank/quarantine"
	"gypsumbank/request"
	"gypsumbank/wire"
)

// Table is the table of the store that holds the row.
const Table = "quarantine"

const (
	key = "blocked"
	// These bound the row to about 55 KB: an entry of several contents counts as one for each of its members.
	maxEntries          = 300
	maxCrashes          = 24
	maxContentsPerCrash = 12
	maxRequestsPerCrash = 4
	// crashRetention is the age up to which crashes are stored: they are for processes that count the same ones now.
	crashRetention = time.Minute
)

// Store is the part of the platform's store that a List uses.
type Store interface {
	Row(ctx context.Context, table, part, key string) (platform.Row, int64, error)
	CompareAndSwap(ctx context.Context, row platform.Row) (int64, error)
}

// List is the row with the entries of a quarantine that are or were blocked, and the latest crashes. All processes share one row.
type List struct {
	store      Store
	quarantine *quarantine.Table
	log        *logrus.Entry
}

// record is the value of the row.
type record struct {
	Entries []storedEntry `json:"entries"`
	Crashes []storedCrash `json:"crashes,omitempty"`
}

// storedEntry is one entry of the quarantine.
type storedEntry struct {
	Content string `json:"content"` // hash in hexadecimal
	Version uint32 `json:"version"`
	Blocked bool   `json:"blocked"`
	Times   uint32 `json:"times"`
	AtMs    int64  `json:"at-ms"` // time of the last change on the store's clock

	Members      []string `json:"members,omitempty"`        // hashes of the contents that are blocked together
	FirstCrashMs int64    `json:"first-crash-ms,omitempty"` // on the store's clock
	Retracted    bool     `json:"retracted,omitempty"`
}

// storedCrash is one of the latest crashes of the quarantine.
type storedCrash struct {
	Run      string            `json:"run"`                // hash in hexadecimal
	Contents map[string]uint32 `json:"contents"`           // rank by hash in hexadecimal; those that may be the cause
	Requests [][]string        `json:"requests,omitempty"` // contents of each request that has several
	AtMs     int64             `json:"at-ms"`              // on the store's clock
}

// New returns the list of a quarantine; it does nothing until Sync.
func New(store Store, table *quarantine.Table, log *logrus.Entry) *List {
	return &List{store: store, quarantine: table, log: log}
}

// Sync adds what is stored to the quarantine, stores what the row lacks and returns the contents that are blocked now and were not
// before. The error wraps platform.ErrConflict if another process wrote the row at the same time.
func (l *List) Sync(ctx context.Context) ([]request.Content, error) {
	row, nowMs, err := l.store.Row(ctx, Table, "", key)
	var stored record
	switch {
	case errors.Is(err, platform.ErrNotFound):
		row = platform.Row{Table: Table, Key: key}
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

// message returns the record as another process would send it, without what can't be decoded.
func (r *record) message(nowMs int64) *wire.Quarantine {
	message := &wire.Quarantine{}
	for _, e := range r.Entries {
		content, err := parseHash(e.Content)
		if err != nil {
			continue
		}
		entry := &wire.QuarantineEntry{
			Content: content, Version: e.Version, Blocked: e.Blocked, Times: e.Times, AgeMs: ageMs(e.AtMs, nowMs), Members: parseHashes(e.Members), Retracted: e.Retracted,
		}
		if e.FirstCrashMs > 0 {
			entry.FirstCrashAgeMs = ageMs(e.FirstCrashMs, nowMs)
		}
		message.Entries = append(message.Entries, entry)
	}
	for _, c := range r.Crashes {
		if crash := c.message(nowMs); crash != nil {
			message.Crashes = append(message.Crashes, crash)
		}
	}
	return message
}

// message returns the crash as another process would send it, nil if it can't be decoded.
func (c *storedCrash) message(nowMs int64) *wire.Crash {
	run, err := parseHash(c.Run)
	if err != nil {
		return nil
	}
	crash := &wire.Crash{Run: run, AgeMs: ageMs(c.AtMs, nowMs)}
	positions := map[string]uint32{}
	for text, rank := range c.Contents {
		if hash, err := parseHash(text); err == nil {
			positions[text] = uint32(len(crash.Contents))
			crash.Contents = append(crash.Contents, &wire.RequestContent{Hash: hash, Rank: rank})
		}
	}
	for _, contents := range c.Requests {
		encoded := &wire.CrashRequest{}
		for _, text := range contents {
			if position, ok := positions[text]; ok {
				encoded.Contents = append(encoded.Contents, position)
			}
		}
		crash.Requests = append(crash.Requests, encoded)
	}
	return crash
}

// parseHashes returns the hashes that can be decoded.
func parseHashes(texts []string) []uint64 {
	var hashes []uint64
	for _, text := range texts {
		if hash, err := parseHash(text); err == nil {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

func formatHashes(hashes []uint64) []string {
	var texts []string
	for _, hash := range hashes {
		texts = append(texts, formatHash(hash))
	}
	return texts
}

func parseHash(text string) (uint64, error) { return strconv.ParseUint(text, 16, 64) }

func formatHash(hash uint64) string { return strconv.FormatUint(hash, 16) }

func ageMs(atMs, nowMs int64) uint32 { return uint32(max(0, nowMs-atMs)) }

// currentRecord returns what is to be stored of the quarantine, the latest first if there is too much.
func (l *List) currentRecord(nowMs int64) record {
	var current record
	for revision := uint64(0); ; {
		message, next := l.quarantine.Changes(revision, true)
		if message == nil {
			break
		}
		revision = next
		for _, e := range message.GetEntries() {
			if e.GetTimes() > 0 {
				current.Entries = append(current.Entries, newStoredEntry(e, nowMs))
			}
		}
		for _, c := range message.GetCrashes() {
			if time.Duration(c.GetAgeMs())*time.Millisecond < crashRetention && len(c.GetContents()) > 0 {
				current.Crashes = append(current.Crashes, newStoredCrash(c, nowMs))
			}
		}
	}
	slices.SortFunc(current.Entries, func(a, b storedEntry) int {
		return cmp.Or(cmp.Compare(b.AtMs, a.AtMs), strings.Compare(a.Content, b.Content))
	})
	slices.SortFunc(current.Crashes, func(a, b storedCrash) int {
		return cmp.Or(cmp.Compare(b.AtMs, a.AtMs), strings.Compare(a.Run, b.Run))
	})
	current.Entries = current.Entries[:countThatFit(current.Entries)]
	current.Crashes = current.Crashes[:min(len(current.Crashes), maxCrashes)]
	return current
}

// countThatFit returns how many of the entries the row has room for.
func countThatFit(entries []storedEntry) int {
	used := 0
	for i, e := range entries {
		if used += 1 + len(e.Members); used > maxEntries {
			return i
		}
	}
	return len(entries)
}

func newStoredEntry(e *wire.QuarantineEntry, nowMs int64) storedEntry {
	stored := storedEntry{
		Content: formatHash(e.GetContent()), Version: e.GetVersion(), Blocked: e.GetBlocked(), Times: e.GetTimes(), AtMs: nowMs - int64(e.GetAgeMs()),
		Retracted: e.GetRetracted(),
	}
	if e.GetBlocked() {
		stored.Members, stored.FirstCrashMs = formatHashes(e.GetMembers()), nowMs-int64(e.GetFirstCrashAgeMs())
	}
	return stored
}

// newStoredCrash returns a crash with those of its contents that the fewest requests share.
func newStoredCrash(crash *wire.Crash, nowMs int64) storedCrash {
	contents := slices.SortedFunc(slices.Values(crash.GetContents()), func(a, b *wire.RequestContent) int {
		return cmp.Or(cmp.Compare(b.GetRank(), a.GetRank()), cmp.Compare(a.GetHash(), b.GetHash()))
	})
	stored := storedCrash{Run: formatHash(crash.GetRun()), Contents: map[string]uint32{}, AtMs: nowMs - int64(crash.GetAgeMs())}
	for _, content := range contents[:min(len(contents), maxContentsPerCrash)] {
		stored.Contents[formatHash(content.GetHash())] = content.GetRank()
	}
	for _, request := range crash.GetRequests() {
		if texts := storedContents(stored, crash, request); len(texts) > 1 && len(stored.Requests) < maxRequestsPerCrash {
			stored.Requests = append(stored.Requests, texts)
		}
	}
	return stored
}

// storedContents returns the contents of a request that are stored with its crash.
func storedContents(stored storedCrash, crash *wire.Crash, request *wire.CrashRequest) []string {
	var texts []string
	for _, position := range request.GetContents() {
		if int(position) >= len(crash.GetContents()) {
			continue
		}
		text := formatHash(crash.GetContents()[position].GetHash())
		if _, ok := stored.Contents[text]; ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// covers reports whether the record has all entries of other, in the same or a later version, and all its crashes.
func (r *record) covers(other record) bool {
	versions := make(map[string]uint32, len(r.Entries))
	for _, e := range r.Entries {
		versions[e.Content] = e.Version
	}
	if slices.ContainsFunc(other.Entries, func(e storedEntry) bool { return versions[e.Content] < e.Version }) {
		return false
	}
	contents := make(map[string]map[string]uint32, len(r.Crashes))
	for _, c := range r.Crashes {
		contents[c.Run] = c.Contents
	}
	return !slices.ContainsFunc(other.Crashes, func(c storedCrash) bool {
		for hash := range c.Contents {
			if _, ok := contents[c.Run][hash]; !ok {
				return true
			}
		}
		return false
	})
}
