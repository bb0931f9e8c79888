package dispatch

import (
	"context"

	"gypsumbank/fleet"
	"gypsumbank/route"
)

// UseStoredVersions has the dispatcher read the store's row of software versions, which updates the fleet, where that may show at which
// version a stream has begun. It must be called before the first request.
func (d *Dispatcher) UseStoredVersions(row Registry) { d.storedVersions = row }

// beginsResumable reports whether the request begins a stream that its caller may take up at any gateway.
func (d *Dispatch) beginsResumable() bool {
	return d.route.Kind == route.Streaming && d.route.Resumable && d.streamVersion == nil
}

// readStoredVersions reads the store's row of software versions if that may show at which version the stream began. Streams of routes
// on which they can't be resumed begin also at versions that the row does not have.
func (d *Dispatch) readStoredVersions(ctx context.Context) {
	if d.storedVersions == nil || !d.route.Resumable || !d.fleet.NeedsStoredVersions(d.service, d.now()) {
		return
	}
	if err := d.storedVersions.Refresh(ctx); err != nil {
		d.log.WithError(err).Info("stored software versions were not read, so that a stream may be of another version than the one that is known")
	}
}

// isOnly reports whether all streams of the route that began before the last read of the registry are of one version.
func (d *Dispatch) isOnly(view fleet.VersionView) bool {
	_, only := view.Only()
	return only && (d.route.Resumable || !view.Stored())
}

// onlyVersionSource returns how it is known that there was one version only.
func onlyVersionSource(view fleet.VersionView) string {
	if view.Stored() {
		return "stored versions"
	}
	return "registry"
}
