package origin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumbank/registry"
	"gypsumbank/wire"
)

const (
	// retention is how long a stream is known after its last event to be recorded; callers wait for less.
	retention  = time.Minute
	maxRecords = 1 << 16
	// maxPerMessage bounds a message; what is left out is in the next one.
	maxPerMessage = 512
)

// Table holds the software versions of streams by the id of the request that brought their first event. It is bounded. Its
// methods may be called by several goroutines.
type Table struct {
	now func() time.Time

	mu       sync.Mutex
	records  map[uint64]record
	recent   []entry // in the order in which they were recorded
	revision uint64  // of the last entry
}

// record is what is known of a stream.
type record struct {
	version  registry.SoftwareVersion
	at       time.Time
	revision uint64
}

// entry is a stream as it was recorded at a revision; the record may be newer.
type entry struct{ stream, revision uint64 }

// New returns an empty table; now is its clock.
func New(now func() time.Time) *Table { return &Table{now: now, records: map[uint64]record{}} }

// Stream returns the key of the stream whose first event the request with an id has brought.
func Stream(requestID string) uint64 { return xxhash.Sum64String(requestID) }

// Add records the version at which a stream began. An id that a new stream uses again stands for that one.
func (t *Table) Add(stream uint64, version registry.SoftwareVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(stream, version)
}

// add does the work of Add; the caller holds the lock.
func (t *Table) add(stream uint64, version registry.SoftwareVersion) {
	t.dropOld()
	t.revision++
	t.records[stream] = record{version: version, at: t.now(), revision: t.revision}
	t.recent = append(t.recent, entry{stream, t.revision})
}

// Lookup returns the version at which a stream began and the time since that was recorded; ok is false if it is not known.
func (t *Table) Lookup(stream uint64) (version registry.SoftwareVersion, age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[stream]
	age = t.now().Sub(r.at)
	if !ok || age > retention {
		return "", 0, false
	}
	return r.version, age, true
}

// dropOld removes what is past its retention, and the oldest if there are too many; the caller holds the lock.
func (t *Table) dropOld() {
	now := t.now()
	drop := 0
	for drop < len(t.recent) {
		oldest := t.recent[drop]
		r, ok := t.records[oldest.stream]
		superseded := !ok || r.revision != oldest.revision
		if !superseded {
			if now.Sub(r.at) <= retention && len(t.recent)-drop < maxRecords {
				break
			}
			delete(t.records, oldest.stream)
		}
		drop++
	}
	t.recent = t.recent[drop:]
}

// Recent returns the streams that are recorded, the latest last.
func (t *Table) Recent() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOld()
	streams := make([]uint64, 0, len(t.recent))
	for _, e := range t.recent {
		if r, ok := t.records[e.stream]; ok && r.revision == e.revision {
			streams = append(streams, e.stream)
		}
	}
	return streams
}

// Encode returns a message with the versions of as many of the streams as fit into one, and the streams that are left.
func (t *Table) Encode(streams []uint64) (message []*wire.StreamOrigins, left []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byVersion := map[registry.SoftwareVersion]*wire.StreamOrigins{}
	count := min(len(streams), maxPerMessage)
	for _, stream := range streams[:count] {
		r, ok := t.records[stream]
		if !ok {
			continue
		}
		group := byVersion[r.version]
		if group == nil {
			group = &wire.StreamOrigins{SoftwareVersion: string(r.version)}
			byVersion[r.version] = group
			message = append(message, group)
		}
		group.Streams = append(group.Streams, stream)
	}
	return message, streams[count:]
}

// Merge records streams that another process has sent.
func (t *Table) Merge(origins []*wire.StreamOrigins) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, group := range origins {
		for _, stream := range group.GetStreams() {
			t.add(stream, registry.SoftwareVersion(group.GetSoftwareVersion()))
		}
	}
}
