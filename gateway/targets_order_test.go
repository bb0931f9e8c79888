package gateway

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"gypsumbank/epoch"
	"gypsumbank/history"
	"gypsumbank/registry"
	"gypsumbank/settings"
	"gypsumbank/wire"
)

// listRead is one read of a list that has one target, named after the number of the change that made the list.
type listRead struct {
	span   history.Span
	target string
	readAt time.Time
}

// changingStore is a store whose list of targets changes, and which may come back from an older copy.
type changingStore struct {
	epoch   epoch.Epoch
	version int64
	changes int // of the list
}

func (s *changingStore) read(now time.Time) listRead {
	return listRead{span: history.New(s.epoch, s.version, s.version), target: fmt.Sprintf("t%06d", s.changes), readAt: now}
}

// relayModel is an agent that reads the list for a gateway, and its messages that are on their way.
type relayModel struct {
	address  string
	reading  *listRead // begun and not ended
	last     *listRead
	revision uint64
	sent     uint64 // revision that was last sent
	inFlight []*wire.StoreReads
}

// endRead puts an end to the read in progress; with lost set the store has turned it away.
func (a *relayModel) endRead(lost bool) {
	if a.reading != nil && !lost {
		if a.last == nil || a.last.target != a.reading.target {
			a.revision++
		}
		a.last = a.reading
	}
	a.reading = nil
}

// send queues a message as an agent sends it with each heartbeat.
func (a *relayModel) send(now time.Time) {
	if a.last == nil {
		return
	}
	message := &wire.StoreReads{
		RoutesVersion: 1, Revision: a.revision, AgeMs: uint32(now.Sub(a.last.readAt).Milliseconds()),
		StoreEpoch: uint64(a.last.span.Epoch()), FirstVersion: a.last.span.First(), LastVersion: a.last.span.Last(),
	}
	if a.sent != a.revision {
		a.sent, message.HasTargets, message.Targets = a.revision, true, []*wire.RegisteredTarget{{Id: a.last.target, Service: "plain"}}
	}
	a.inFlight = append(a.inFlight, message)
}

// newestTarget returns the newest list that is in force, by its target.
func newestTarget(g *Gateway) string {
	newest := ""
	for _, target := range g.fleet.Targets() {
		newest = max(newest, target.ID)
	}
	return newest
}

// TestTargetsInForceOnlyMoveOn has two readers of a gateway and two agents read a list of targets that changes. Reads and messages take
// any time, agents are turned away by the store, lost, started again and come back, the gateway stands still, and the store comes back from
// an older copy. No list may be put in force after a newer one, and one that the gateway has just read is.
func TestTargetsInForceOnlyMoveOn(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	rapid.Check(t, func(t *rapid.T) {
		g := New(&settings.Config{}, log.WithField("test", "order"))
		store := &changingStore{epoch: 1, version: 1}
		now := time.Now()
		readers := make([]*listRead, 2)
		agents := []*relayModel{{address: "a1"}, {address: "a2"}}
		newest := ""
		reader := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "reader") }
		install := func(read listRead) {
			_ = g.installTargets(targetsRead{targets: []registry.Target{{ID: read.target, Service: "plain"}}, readAt: now, span: read.span})
		}
		t.Repeat(map[string]func(*rapid.T){
			"the list changes":  func(*rapid.T) { store.version, store.changes = store.version+1, store.changes+1 },
			"other rows change": func(*rapid.T) { store.version++ },
			"the store comes back from an older copy": func(t *rapid.T) {
				store.epoch, store.version, store.changes = store.epoch+1, max(1, store.version-3), store.changes+1
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"the gateway begins a read": func(t *rapid.T) {
				read := store.read(now)
				readers[reader(t)] = &read
			},
			"the gateway ends a read": func(t *rapid.T) {
				i := reader(t)
				if readers[i] != nil {
					install(*readers[i])
				}
				readers[i] = nil
			},
			"the gateway reads at once": func(t *rapid.T) {
				read := store.read(now)
				install(read)
				if got := newestTarget(g); got != read.target {
					t.Fatalf("%q is in force, want the list %q that was just read", got, read.target)
				}
			},
			"an agent begins a read": func(t *rapid.T) {
				if a := agents[reader(t)]; a.reading == nil {
					read := store.read(now)
					a.reading = &read
				}
			},
			"an agent ends a read":  func(t *rapid.T) { agents[reader(t)].endRead(false) },
			"an agent's read fails": func(t *rapid.T) { agents[reader(t)].endRead(true) },
			"an agent sends":        func(t *rapid.T) { agents[reader(t)].send(now) },
			"a message arrives": func(t *rapid.T) {
				if a := agents[reader(t)]; len(a.inFlight) > 0 {
					_ = g.relay.record(a.address, a.inFlight[0], now)
					a.inFlight = a.inFlight[1:]
				}
			},
			"an agent is lost": func(t *rapid.T) {
				a := agents[reader(t)]
				g.relay.remove(a.address)
				a.inFlight, a.sent = nil, 0
			},
			"an agent starts again": func(t *rapid.T) {
				i := reader(t)
				g.relay.remove(agents[i].address)
				agents[i] = &relayModel{address: agents[i].address}
			},
			"relayed reads are put in force": func(*rapid.T) {
				if read, ok := g.relay.newTargets(); ok {
					g.observeEpoch(read.span.Epoch())
					_ = g.installTargets(read)
				}
			},
			"": func(t *rapid.T) {
				got := newestTarget(g)
				if got < newest {
					t.Fatalf("%q is in force after %q", got, newest)
				}
				newest = got
			},
		})
	})
}
