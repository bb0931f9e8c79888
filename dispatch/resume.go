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
	if lastEventID != "" && d.streamVersion == nil && !d.bindVersion(broken.SoftwareVersion, "answer", 0) {
		return Failed{Reason: UnknownVersion}
	}
	return d.Run()
}

// bindVersion binds the stream to the software version at which it began, as known from source. It returns false if that is not
// known and another version may have served than the one that does.
func (d *Dispatch) bindVersion(version registry.SoftwareVersion, source string, age time.Duration) bool {
	versions, complete, viewAge := d.fleet.SoftwareVersions(d.service, d.now())
	// Targets that name no version at all can't be told apart.
	bound := version != "" || (len(versions) <= 1 && (complete || onlyVersion(versions) == ""))
	outcome := "bound"
	if !bound {
		outcome = "unknown"
	}
	metrics.GetOrCreateCounter(`gypsumbank_gateway_resumed_streams_total{version="` + outcome + `"}`).Inc()
	d.log.WithFields(logrus.Fields{
		"software-version": version, "known-from": source, "age-ms": age.Milliseconds(), "resumed": d.streamID(), "versions": len(versions), "versions-complete": complete, "view-age-ms": viewAge.Milliseconds(), "last-event": d.request.LastEventID, "outcome": outcome,
	}).Info("stream to be resumed")
	if !bound {
		return false
	}
	if version == "" {
		version = onlyVersion(versions)
	}
	d.streamVersion = &version
	return true
}

// onlyVersion returns the version in a set that has at most one; empty if it has none.
func onlyVersion(versions map[registry.SoftwareVersion]bool) registry.SoftwareVersion {
	for version := range versions {
		return version
	}
	return ""
}

// streamID returns the id of the request that brought, or is to bring, the first event of the stream.
func (d *Dispatch) streamID() string {
	if d.request.LastEventID != "" && d.request.FirstRequestID != "" {
		return d.request.FirstRequestID
	}
	return d.request.ID
}

// findOrigin binds a stream that the caller takes up to the software version at which it began. It returns a refusal if that
// is not known and another version may have served than the one that does.
func (d *Dispatch) findOrigin() *Refused {
	if d.route.Kind != route.Streaming || d.request.LastEventID == "" || d.streamVersion != nil {
		return nil
	}
	version, age, source := d.lookUpOrigin()
	if !d.bindVersion(version, source, age) {
		return &Refused{Reason: UnknownVersion, RetryAfter: unknownVersionRetryAfter}
	}
	return nil
}

// lookUpOrigin returns the software version at which the stream began, the age of that record and where it was known from. The
// version is empty if nobody knows it.
func (d *Dispatch) lookUpOrigin() (version registry.SoftwareVersion, age time.Duration, source string) {
	if d.request.FirstRequestID == "" {
		return "", 0, "not named"
	}
	stream := origin.Stream(d.request.FirstRequestID)
	if version, age, ok := d.origins.Lookup(stream); ok {
		return version, age, "gateway"
	}
	ctx, cancel := context.WithTimeout(d.ctx, originTimeout)
	defer cancel()
	if version, age, ok := d.agents.FindOrigin(ctx, stream); ok {
		return version, age, "agent"
	}
	return "", 0, "nobody"
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
