package dispatch

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/registry"
)

// Resume continues a stream that a target has broken off, after the event with the given id, on another target of the software
// version that wrote its first event.
func (d *Dispatch) Resume(broken registry.Target, lastEventID string) Outcome {
	d.request.LastEventID = lastEventID
	if !d.canRetry() {
		return Failed{Reason: StreamBroken}
	}
	if lastEventID != "" && d.streamVersion == nil && !d.bindVersion(broken.SoftwareVersion, "answer") {
		return Failed{Reason: UnknownVersion}
	}
	return d.Run()
}

// bindVersion binds the stream to the software version at which it began, as known from source. It returns false if that is not
// known while targets of several versions serve.
func (d *Dispatch) bindVersion(version registry.SoftwareVersion, source string) bool {
	versions := d.fleet.SoftwareVersions(d.service, d.now())
	bound := version != "" || len(versions) <= 1
	outcome := "bound"
	if !bound {
		outcome = "unknown"
	}
	metrics.GetOrCreateCounter(`gypsumbank_gateway_resumed_streams_total{version="` + outcome + `"}`).Inc()
	d.log.WithFields(logrus.Fields{
		"software-version": version, "known-from": source, "versions": len(versions), "last-event": d.request.LastEventID, "outcome": outcome,
	}).Info("stream to be resumed")
	if bound {
		d.streamVersion = &version
	}
	return bound
}

// ContinuesStream reports whether an answer may be joined to the events that the caller has: its target must still be the run
// that the request was sent to.
func (d *Dispatch) ContinuesStream(target registry.Target) bool {
	return d.streamVersion == nil || d.fleet.IsCurrent(target)
}
