package dispatch

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/origin"
	"gypsumbank/registry"
	"gypsumbank/route"
)

const (
	// originTimeout bounds the question to agents at which software version a stream began.
	originTimeout = 250 * time.Millisecond
	// refreshTimeout bounds a read of the registry, for which a caller without an event waits.
	refreshTimeout = 400 * time.Millisecond
	// unknownVersionRetryAfter is short, as a new stream can begin at once.
	unknownVersionRetryAfter = 50 * time.Millisecond
)

// Resume continues a stream that a target has broken off, after the event with the given id, on another target of the software
// version that wrote its first event.
func (d *Dispatch) Resume(broken registry.Target, lastEventID string) Outcome {
	d.request.LastEventID = lastEventID
	if !d.canRetry() {
		return Failed{Reason: StreamBroken}
	}
	if lastEventID != "" && d.streamVersion == nil && !d.bindVersion(d.confirmOrigin(streamOrigin{version: broken.SoftwareVersion, source: "answer"})) {
		return Failed{Reason: UnknownVersion}
	}
	return d.Run()
}

// streamOrigin is what is known of the begin of a stream.
type streamOrigin struct {
	version registry.SoftwareVersion // empty if it is not known, or if targets name none
	only    bool                     // there was no other version when it began
	age     time.Duration            // of the record
	source  string                   // of the record
}

// isKnown reports whether the stream may go on at the version.
func (o streamOrigin) isKnown() bool { return o.version != "" || o.only }

// bindVersion binds the stream to the software version at which it began. It returns false if that is not known.
func (d *Dispatch) bindVersion(found streamOrigin) bool {
	outcome := "bound"
	if !found.isKnown() {
		outcome = "unknown"
	}
	view := d.fleet.SoftwareVersions(d.service, d.now())
	metrics.GetOrCreateCounter(`gypsumbank_gateway_resumed_streams_total{version="` + outcome + `"}`).Inc()
	d.log.WithFields(logrus.Fields{
		"software-version": found.version, "known-from": found.source, "age-ms": found.age.Milliseconds(), "resumed": d.streamID(), "versions": view.Count(), "versions-complete": view.Complete(), "view-age-ms": view.Age().Milliseconds(), "last-event": d.request.LastEventID, "outcome": outcome,
	}).Info("stream to be resumed")
	if found.isKnown() {
		d.streamVersion = &found.version
	}
	return found.isKnown()
}

// confirmOrigin returns the origin of a stream, also where nobody knows it but targets of one version only can have begun it: by
// a read of the registry that begins now, as another version may have joined since the last. If one has, the agents of its
// targets are asked, too.
func (d *Dispatch) confirmOrigin(found streamOrigin) streamOrigin {
	ctx, cancel := context.WithTimeout(d.ctx, refreshTimeout)
	defer cancel()
	if !found.isKnown() {
		d.readStoredVersions(ctx)
	}
	if view := d.fleet.SoftwareVersions(d.service, d.now()); found.isKnown() || !d.isOnly(view) {
		return found
	}
	if err := d.registry.Refresh(ctx); err != nil {
		d.log.WithError(err).Info("registry was not read, so that a stream may be of another version than the one that is known")
		return found
	}
	view := d.fleet.SoftwareVersions(d.service, d.now())
	if version, _ := view.Only(); d.isOnly(view) {
		return streamOrigin{version: version, only: true, source: onlyVersionSource(view)}
	}
	return d.lookUpOrigin()
}

// streamID returns the id of the request that brought, or is to bring, the first event of the stream.
func (d *Dispatch) streamID() string {
	if d.request.LastEventID != "" && d.request.FirstRequestID != "" {
		return d.request.FirstRequestID
	}
	return d.request.ID
}

// findOrigin binds a stream that the caller takes up to the software version at which it began. It returns a refusal if that
// is not known.
func (d *Dispatch) findOrigin() *Refused {
	if d.route.Kind != route.Streaming || d.request.LastEventID == "" || d.streamVersion != nil {
		return nil
	}
	if !d.bindVersion(d.confirmOrigin(d.lookUpOrigin())) {
		return &Refused{Reason: UnknownVersion, RetryAfter: unknownVersionRetryAfter}
	}
	return nil
}

// lookUpOrigin returns what this gateway or the agents have recorded of the begin of the stream.
func (d *Dispatch) lookUpOrigin() streamOrigin {
	if d.request.FirstRequestID == "" {
		return streamOrigin{source: "not named"}
	}
	stream := origin.Stream(d.request.FirstRequestID)
	if version, age, ok := d.origins.Lookup(stream); ok {
		return streamOrigin{version: version, age: age, source: "gateway"}
	}
	ctx, cancel := context.WithTimeout(d.ctx, originTimeout)
	defer cancel()
	if version, age, ok := d.agents.FindOrigin(ctx, stream); ok {
		return streamOrigin{version: version, age: age, source: "agent"}
	}
	return streamOrigin{source: "nobody"}
}

// RecordOrigin records that a target has brought the first event of the stream, or goes on with it.
func (d *Dispatch) RecordOrigin(target registry.Target) {
	version := target.SoftwareVersion
	if d.streamVersion != nil {
		version = *d.streamVersion
	}
	if version == "" || !d.route.Resumable {
		return
	}
	stream := origin.Stream(d.streamID())
	d.origins.Add(stream, version)
	d.agents.PushOrigin(stream)
}

// ContinuesStream reports whether an answer may be joined to the events that the caller has: its target must still be the run
// that the request was sent to.
func (d *Dispatch) ContinuesStream(target registry.Target) bool {
	return d.streamVersion == nil || d.fleet.IsCurrent(target)
}
