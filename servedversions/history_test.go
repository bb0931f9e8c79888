package servedversions_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumbank/epoch"
	"gypsumbank/registry"
	"gypsumbank/servedversions"
)

const (
	readInterval = 700 * time.Millisecond
	service      = "llm"
	memory       = time.Minute // for which callers may take streams up after their last event
)

// process is an agent or a gateway of a simulated deployment.
type process struct {
	tracker  *servedversions.Tracker
	cutOff   bool // from the store
	readFrom time.Time
	readAt   time.Time
	listed   servedversions.Listing
	epoch    epoch.Epoch
}

// deployment is a store with its registry and row, the processes that keep the row, and the streams that have begun.
type deployment struct {
	t         *rapid.T
	now       time.Time
	listed    servedversions.Listing
	listedAt  map[servedversions.Key]time.Time // since when it has been listed
	row       []byte
	revision  int // of the row
	epoch     epoch.Epoch
	processes []*process
	begun     map[servedversions.Key]time.Time // when the last stream of a version was in progress
	inFlight  []write
	readOnly  bool // writes are refused
}

// write is a write on its way to the store; it takes effect also if its process ends meanwhile.
type write struct {
	by       *process
	next     servedversions.Record
	revision int // that the row must have
}

func (d *deployment) nowMs() int64 { return d.now.UnixMilli() }

func newProcess() *process { return &process{tracker: servedversions.NewTracker()} }

// step reads the registry for one process and the row if that is due.
func (d *deployment) step(p *process) {
	if p.cutOff {
		return
	}
	if p.readFrom.IsZero() || d.now.Sub(p.readAt) > servedversions.MaxGap || p.epoch != d.epoch {
		p.readFrom = d.now
	}
	p.listed, p.readAt, p.epoch = copyOf(d.listed), d.now, d.epoch
	p.tracker.Observe(p.listed, d.epoch, d.now, false)
	if !p.tracker.Due(d.now) {
		return
	}
	read := p.tracker.Begin(d.now)
	record, revision := servedversions.New(d.epoch), d.revision
	if d.row != nil {
		if decoded, err := servedversions.Decode(d.row, d.epoch, d.nowMs()); err == nil {
			record = decoded
		}
	}
	if next, due := p.tracker.Apply(read, record, d.nowMs()); due {
		d.inFlight = append(d.inFlight, write{by: p, next: next, revision: revision})
	}
}

// land has the writes on their way take effect, or not, and their answers arrive, or not; some take longer.
func (d *deployment) land() {
	var later []write
	for _, w := range d.inFlight {
		outcome := rapid.SampledFrom([]string{"confirmed", "confirmed", "confirmed", "lost answer", "refused", "late"}).Draw(d.t, "write")
		switch {
		case outcome == "late":
			later = append(later, w)
			continue
		case outcome == "refused" || d.readOnly || w.revision != d.revision:
			continue
		}
		value, err := w.next.Encode()
		if err != nil {
			d.t.Fatal(err)
		}
		d.row = value
		d.revision++
		if outcome == "confirmed" {
			w.by.tracker.Written(w.next)
		}
	}
	d.inFlight = later
}

func copyOf(listed servedversions.Listing) servedversions.Listing {
	c := servedversions.Listing{}
	for k := range listed {
		c[k] = true
	}
	return c
}

// begin has each gateway that is in touch with the store send streams where it may.
func (d *deployment) begin(p *process) {
	if p.cutOff || p.epoch != d.epoch {
		return
	}
	for k := range d.listed {
		if p.listed[k] && p.tracker.Allows(k) {
			d.begun[k] = d.now
		}
	}
}

// check has a gateway start and conclude from the registry and the row, and compares that with the streams.
func (d *deployment) check() (version registry.SoftwareVersion, known bool) {
	record, err := servedversions.Decode(d.row, d.epoch, d.nowMs())
	if err != nil {
		return "", false
	}
	proof, stored := record.Proofs(d.nowMs())[service]
	if !stored || proof.Age < servedversions.Window {
		return "", false
	}
	versions := map[registry.SoftwareVersion]bool{}
	for k := range d.listed {
		versions[k.Version] = true
	}
	for v := range proof.Left {
		versions[v] = true
	}
	if len(versions) != 1 {
		return "", false
	}
	for version = range versions {
	}
	for k, at := range d.begun {
		if k.Version != version && d.now.Sub(at) <= memory {
			d.t.Fatalf("a stream of %s, in progress %s ago, would go on at %s; row %s", k.Version, d.now.Sub(at), version, d.row)
		}
	}
	return version, true
}

// TestNoStreamGoesOnAtAnotherVersion draws histories of versions that come and go, processes that are started again or cut off, writes
// that fail or whose answer is lost, and stores that come back from a copy. At each moment a gateway that starts must not
// take the version that it sees for that of a stream of another one.
func TestNoStreamGoesOnAtAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &deployment{t: t, now: time.UnixMilli(1_000_000), listed: servedversions.Listing{}, listedAt: map[servedversions.Key]time.Time{}, epoch: 1, begun: map[servedversions.Key]time.Time{}}
		for range 3 {
			d.processes = append(d.processes, newProcess())
		}
		var copied []byte
		for range rapid.IntRange(5, 40).Draw(t, "changes") {
			switch rapid.IntRange(0, 10).Draw(t, "change") {
			case 0, 1, 2:
				k := servedversions.Key{Service: service, Version: registry.SoftwareVersion(fmt.Sprint("v", rapid.IntRange(1, 3).Draw(t, "version")))}
				switch {
				case !d.listed[k]:
					d.listed[k], d.listedAt[k] = true, d.now
				case d.now.Sub(d.listedAt[k]) > servedversions.MaxGap: // the store keeps an entry for longer
					delete(d.listed, k)
				}
			case 3:
				d.processes[rapid.IntRange(0, 2).Draw(t, "started again")] = newProcess()
			case 4:
				for i := range d.processes {
					d.processes[i] = newProcess()
				}
			case 5:
				p := d.processes[rapid.IntRange(0, 2).Draw(t, "cut off")]
				p.cutOff = !p.cutOff
			case 6:
				copied = d.row
			case 7:
				d.row, d.epoch = copied, d.epoch+1
				d.revision++
			case 8:
				d.readOnly = !d.readOnly
			case 9:
				d.row = rapid.SampledFrom([][]byte{nil, []byte("{}"), []byte(`{"format":2}`)}).Draw(t, "spoiled")
				d.revision++
			}
			for range rapid.SampledFrom([]int{1, 2, 6, 8, 16, 40, 120}).Draw(t, "reads") {
				d.land()
				for _, p := range d.processes {
					d.step(p)
					d.begin(p)
				}
				d.check()
				d.now = d.now.Add(readInterval)
			}
		}
	})
}

// TestOneVersionIsKnownAfterARestart guards against rows that prove nothing although one version has served all along: then all streams
// are refused after a restart of everything.
func TestOneVersionIsKnownAfterARestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := servedversions.Key{Service: service, Version: "v1"}
		d := &deployment{t: t, now: time.UnixMilli(1_000_000), listed: servedversions.Listing{key: true}, epoch: 1, begun: map[servedversions.Key]time.Time{}}
		d.processes = []*process{newProcess(), newProcess()}
		var written time.Time
		for range rapid.IntRange(110, 400).Draw(t, "reads") {
			d.land()
			for _, p := range d.processes {
				d.step(p)
			}
			if d.row != nil && written.IsZero() {
				written = d.now
			}
			if rapid.IntRange(0, 50).Draw(t, "restart") == 0 {
				d.processes = []*process{newProcess(), newProcess()}
			}
			d.now = d.now.Add(readInterval)
		}
		if written.IsZero() || d.now.Sub(written) <= servedversions.Window {
			t.Skip("not written for long enough")
		}
		if version, known := d.check(); !known || version != "v1" {
			t.Errorf("version %q, %v; row %s", version, known, d.row)
		}
	})
}
