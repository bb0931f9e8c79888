package servedversions

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"gypsumbank/epoch"
	"gypsumbank/registry"
)

const (
	// Window is how long a version counts after its last target was listed: a minute, in which its streams may be taken up, and 10 s
	// for processes that learn late that the store has come back from an older copy or that a target is no longer listed.
	Window = 70 * time.Second
	// format is that of the row. A release that changes the meaning of a field must use a row of another key.
	format = 1
)

// ErrInvalid is returned for a row that proves nothing and is to be replaced.
var ErrInvalid = errors.New("row of served software versions is not valid")

// Key is a software version of a service.
type Key struct {
	Service string
	Version registry.SoftwareVersion
}

// Listing holds the versions that a read of the registry lists, of services of which at least one target names its version.
type Listing map[Key]bool

// NewListing returns the versions of registered targets.
func NewListing(targets []registry.Target) Listing {
	named := map[string]bool{}
	for _, t := range targets {
		if t.SoftwareVersion != "" {
			named[t.Service] = true
		}
	}
	listing := Listing{}
	for _, t := range targets {
		if named[t.Service] {
			listing[Key{t.Service, t.SoftwareVersion}] = true
		}
	}
	return listing
}

// Record is the content of the row. It is not changed once it is in use.
type Record struct {
	Format   int                `json:"format"`
	Epoch    epoch.Epoch        `json:"epoch"` // of the store that it was written in
	Services map[string]Service `json:"services"`
}

// Service holds the served versions of one service. Times are on the store's clock.
type Service struct {
	// SinceMs is the time since when no version has been used before it was recorded.
	SinceMs int64 `json:"since-ms"`
	// Whole tells that the record has had all versions since the store has existed.
	Whole bool `json:"whole,omitempty"`
	// GoneMs holds by version when it was found to be no longer listed, 0 while it is served.
	GoneMs map[registry.SoftwareVersion]int64 `json:"gone-ms"`
}

// New returns a record without services.
func New(readIn epoch.Epoch) Record {
	return Record{Format: format, Epoch: readIn, Services: map[string]Service{}}
}

// Decode returns the record in a row that was read in an epoch at a time of the store's clock. One of an earlier epoch proves nothing,
// as what was written to it since is lost. The error wraps ErrInvalid.
func Decode(value []byte, readIn epoch.Epoch, nowMs int64) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return New(readIn), fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if r.Format != format {
		return New(readIn), fmt.Errorf("%w: format %d", ErrInvalid, r.Format)
	}
	if r.Epoch != readIn {
		return New(readIn), fmt.Errorf("%w: written in epoch %d, read in %d", ErrInvalid, r.Epoch, readIn)
	}
	for name, s := range r.Services {
		if s.SinceMs < 0 || s.SinceMs > nowMs || len(s.GoneMs) == 0 {
			return New(readIn), fmt.Errorf("%w: since %d of %s at %d", ErrInvalid, s.SinceMs, name, nowMs)
		}
		for version, gone := range s.GoneMs {
			if gone < 0 || gone > nowMs {
				return New(readIn), fmt.Errorf("%w: version %q of %s gone at %d, read at %d", ErrInvalid, version, name, gone, nowMs)
			}
		}
	}
	if r.Services == nil {
		r.Services = map[string]Service{}
	}
	return r, nil
}

// Encode returns the value of the row.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Serves reports whether the record has a version as served.
func (r Record) Serves(k Key) bool {
	gone, known := r.Services[k.Service].GoneMs[k.Version]
	return known && gone == 0
}

// update returns the record with the listed versions as served and with those as gone that are served and absent, and whether it differs.
func (r Record) update(listed Listing, absent func(Key) bool, nowMs int64) (Record, bool) {
	next := r.clone()
	changed := false
	for k := range listed {
		if r.Serves(k) {
			continue
		}
		if _, known := next.Services[k.Service]; !known {
			next.Services[k.Service] = Service{SinceMs: nowMs, GoneMs: map[registry.SoftwareVersion]int64{}}
		}
		next.Services[k.Service].GoneMs[k.Version] = 0
		changed = true
	}
	for name, s := range r.Services {
		for version, gone := range s.GoneMs {
			k := Key{name, version}
			if gone == 0 && !listed[k] && absent(k) {
				next.Services[name].GoneMs[version] = max(nowMs, 1)
				changed = true
			}
		}
	}
	if !changed {
		return r, false
	}
	next.forget(nowMs)
	return next, true
}

// forget removes versions that no longer count, and services without any.
func (r Record) forget(nowMs int64) {
	for name, s := range r.Services {
		maps.DeleteFunc(s.GoneMs, func(_ registry.SoftwareVersion, gone int64) bool {
			return gone > 0 && nowMs-gone > Window.Milliseconds()
		})
		if len(s.GoneMs) == 0 {
			delete(r.Services, name)
		}
	}
}

// Proof is what a read of the row proves about one service.
type Proof struct {
	// Age is the time for which the row has been complete.
	Age time.Duration
	// Left holds by version for how long it still counts.
	Left map[registry.SoftwareVersion]time.Duration
}

// Proofs returns what the record proves at the store's time of its read, by service.
func (r Record) Proofs(nowMs int64) map[string]Proof {
	proofs := make(map[string]Proof, len(r.Services))
	for name, s := range r.Services {
		proof := Proof{Age: time.Duration(nowMs-s.SinceMs) * time.Millisecond, Left: map[registry.SoftwareVersion]time.Duration{}}
		if s.Whole {
			proof.Age = max(proof.Age, Window)
		}
		for version, gone := range s.GoneMs {
			left := Window
			if gone > 0 {
				left -= time.Duration(nowMs-gone) * time.Millisecond
			}
			if left >= 0 {
				proof.Left[version] = left
			}
		}
		proofs[name] = proof
	}
	return proofs
}

const (
	// firstEpoch is that of a store that has never come back from a copy.
	firstEpoch = 1
	// maxHistoryAge is the age of a store up to which all changes of the registry are read: later there are too many.
	maxHistoryAge = 2 * time.Minute
)

// NeedsHistory reports whether a record that is to be written at a time of the store's clock in place of another has services that the other
// lacks, in a store that is so young that its history can show all versions that have served.
func (r Record) NeedsHistory(found Record, nowMs int64) bool {
	if r.Epoch > firstEpoch || nowMs > maxHistoryAge.Milliseconds() {
		return false
	}
	for name := range r.Services {
		if _, known := found.Services[name]; !known {
			return true
		}
	}
	return false
}

// WithHistory returns the record with all versions that the registry has ever listed, for the services that the record found before lacks.
func (r Record) WithHistory(found Record, ever Listing, nowMs int64) Record {
	next := r.clone()
	for name, s := range next.Services {
		if _, known := found.Services[name]; known {
			continue
		}
		s.Whole = true
		next.Services[name] = s
		for k := range ever {
			if _, recorded := s.GoneMs[k.Version]; k.Service == name && !recorded {
				s.GoneMs[k.Version] = max(nowMs, 1)
			}
		}
	}
	return next
}

// clone returns a copy that may be changed.
func (r Record) clone() Record {
	next := New(r.Epoch)
	for name, s := range r.Services {
		next.Services[name] = Service{SinceMs: s.SinceMs, Whole: s.Whole, GoneMs: maps.Clone(s.GoneMs)}
	}
	return next
}
