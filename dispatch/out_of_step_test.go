package dispatch

import (
	"net/http"
	"testing"
	"time"

	"gypsumbank/reply"
	"gypsumbank/request"
)

// TestUnknownStreamGoesOnOnlyOnARecentView takes up a stream of which nobody knows the software version, at a gateway that has read the
// registry for more than a minute and has seen one version. A gateway that has read nothing for some seconds must not go on with
// it: another version may have joined meanwhile.
func TestUnknownStreamGoesOnOnlyOnARecentView(t *testing.T) {
	const readInterval = 800 * time.Millisecond
	cases := map[string]struct {
		viewAge time.Duration
		want    Outcome
	}{
		"read at this moment":      {viewAge: 0, want: Answered{}},
		"no read for four seconds": {viewAge: 4 * time.Second, want: Refused{Reason: UnknownVersion}},
		"no read for a minute":     {viewAge: time.Minute, want: Refused{Reason: UnknownVersion}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: []func() reply.Result{respond(200)}}
			now := func() time.Time { return time.Now().Add(-5 * time.Minute) } // of the first reads, forgotten since
			d := newDispatcher(s, func() time.Time { return now() })
			targets := registerVersions(d, "v1", "v1")
			now = time.Now
			last := time.Now().Add(-c.viewAge)
			for at := last.Add(-90 * time.Second); at.Before(last); at = at.Add(readInterval) {
				d.fleet.UpdateTargets(targets, false, at)
			}
			d.fleet.UpdateTargets(targets, false, last)
			r := &request.Request{ID: "second", FirstRequestID: "first", LastEventID: "2", Model: "m1", Arrived: time.Now(), Header: http.Header{}}
			dispatch := d.Begin(t.Context(), r, streamRoute(true), engineService)
			defer dispatch.Close()
			if got := dispatch.Run(); !sameOutcome(got, c.want) {
				t.Errorf("outcome %#v, want %#v", got, c.want)
			}
		})
	}
}
