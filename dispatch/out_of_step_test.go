package dispatch

import (
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"gypsumbank/registry"
	"gypsumbank/reply"
	"gypsumbank/request"
)

var errNoAnswer = errors.New("store does not answer")

// readRegistry updates the fleet with a read of the registry.
func readRegistry(d *Dispatcher, targets []registry.Target, at time.Time) {
	d.fleet.RecordRegistryRead(at)
	d.fleet.UpdateTargets(targets, false, at)
}

// TestUnknownStreamGoesOnOnlyOnARecentView takes up a stream of which nobody knows the software version, at a gateway that has read the
// registry for more than a minute and has seen one version. It must not go on with it unless a read that begins then shows that no other
// version has joined.
func TestUnknownStreamGoesOnOnlyOnARecentView(t *testing.T) {
	const readInterval = 800 * time.Millisecond
	refused := Refused{Reason: UnknownVersion}
	cases := map[string]struct {
		viewAge time.Duration
		gap     time.Duration            // without a read, half a minute ago
		joined  registry.SoftwareVersion // of the second target, as the registry now lists it
		away    bool                     // the registry can't be read
		known   registry.SoftwareVersion // as agents know the version once the targets that joined are known
		want    Outcome
	}{
		"read at this moment":                          {joined: "v1", want: Answered{}},
		"read a moment ago, another has joined":        {joined: "v2", want: refused},
		"a short gap in the reads":                     {joined: "v1", gap: 1500 * time.Millisecond, want: Answered{}},
		"a gap in which a version can come and go":     {joined: "v1", gap: 4 * time.Second, want: refused},
		"another has joined, agents know the first":    {joined: "v2", known: "v1", want: Answered{}},
		"another has joined, agents know the other":    {joined: "v2", known: "v2", want: Answered{}},
		"read at this moment, no answer now":           {joined: "v1", away: true, want: refused},
		"no read for four seconds, no answer now":      {viewAge: 4 * time.Second, joined: "v1", away: true, want: refused},
		"no read for four seconds, another has joined": {viewAge: 4 * time.Second, joined: "v2", want: refused},
		"no read for a minute, no answer now":          {viewAge: time.Minute, joined: "v1", away: true, want: refused},
		"no read for a minute, others may have been":   {viewAge: time.Minute, joined: "v1", want: refused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: []func() reply.Result{respond(200)}}
			now := func() time.Time { return time.Now().Add(-5 * time.Minute) } // of the first reads, forgotten since
			d := newDispatcher(s, func() time.Time { return now() })
			targets := registerVersions(d, "v1", "v1")
			now = time.Now
			last := time.Now().Add(-c.viewAge)
			gapFrom := last.Add(-30 * time.Second)
			for at := last.Add(-90 * time.Second); at.Before(last); at = at.Add(readInterval) {
				if c.gap == 0 || at.Before(gapFrom) || at.Sub(gapFrom) > c.gap-readInterval {
					readRegistry(d, targets, at)
				}
			}
			readRegistry(d, targets, last)
			s.refresh = func() error {
				if c.away {
					return errNoAnswer
				}
				joined := slices.Clone(targets)
				joined[1].ID, joined[1].SoftwareVersion = "e3", c.joined
				readRegistry(d, joined, time.Now())
				s.origin = c.known
				return nil
			}
			r := &request.Request{ID: "second", FirstRequestID: "first", LastEventID: "2", Model: "m1", Arrived: time.Now(), Header: http.Header{}}
			dispatch := d.Begin(t.Context(), r, streamRoute(true), engineService)
			defer dispatch.Close()
			if got := dispatch.Run(); !sameOutcome(got, c.want) {
				t.Errorf("outcome %#v, want %#v", got, c.want)
			}
			if c.known != "" && s.sentTo[0].SoftwareVersion != c.known {
				t.Errorf("sent to %+v", s.sentTo)
			}
		})
	}
}
