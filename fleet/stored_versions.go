package fleet

import (
	"slices"
	"time"

	"gypsumbank/registry"
	"gypsumbank/servedversions"
)

// storedVersions is what the store's row of software versions proves, as last read.
type storedVersions struct {
	beganAt time.Time // of the read; zero if there is none that holds
	proofs  map[string]servedversions.Proof
	allows  func(service string, version registry.SoftwareVersion) bool // nil if the row is not used
}

// UseStoredVersions has streams that callers may take up begin only at versions that allows accepts. It must be called before the
// fleet is used.
func (f *Fleet) UseStoredVersions(allows func(service string, version registry.SoftwareVersion) bool) {
	f.storedVersions.allows = allows
}

// SetStoredVersions records what a read of the row has proved that began at a time.
func (f *Fleet) SetStoredVersions(proofs map[string]servedversions.Proof, beganAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storedVersions.proofs, f.storedVersions.beganAt = proofs, beganAt
}

// ForgetStoredVersions drops what was read of the row, as the store has come back from an older copy.
func (f *Fleet) ForgetStoredVersions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storedVersions.proofs, f.storedVersions.beganAt = nil, time.Time{}
}

// NeedsStoredVersions reports whether a read of the row could show that a service has had one version only.
func (f *Fleet) NeedsStoredVersions(service string, now time.Time) bool {
	if view := f.SoftwareVersions(service, now); view.complete || view.Count() != 1 || view.versions[""] {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.storedVersionsHold()
}

// storedVersionsHold reports whether the row was read since when the registry has been read without a gap, so that no version
// was used between what the one and the other show; the caller holds the lock.
func (f *Fleet) storedVersionsHold() bool {
	read := f.storedVersions.beganAt
	return !read.IsZero() && !f.registryReadSince.IsZero() && !read.Before(f.registryReadSince)
}

// addStoredVersions adds the versions of a service that the row has to those that the registry has shown, and reports whether there were no
// others within versionMemory; the caller holds the lock.
func (f *Fleet) addStoredVersions(versions map[registry.SoftwareVersion]bool, service string, now time.Time) (complete bool) {
	proof, stored := f.storedVersions.proofs[service]
	if !stored || !f.storedVersionsHold() {
		return false
	}
	sinceRead := now.Sub(f.storedVersions.beganAt)
	for version, left := range proof.Left {
		if sinceRead <= left {
			versions[version] = true
		}
	}
	return proof.Age+sinceRead >= servedversions.Window
}

// withStoredVersion leaves out targets at which a stream must not begin that its caller may take up, as the row does not have
// their version; the caller holds the lock.
func (f *Fleet) withStoredVersion(usable []*targetState, query Query, omitted omissions) []*targetState {
	allows := f.storedVersions.allows
	if allows == nil || !query.BeginsResumable || query.SoftwareVersion != nil {
		return usable
	}
	return slices.DeleteFunc(usable, func(s *targetState) bool {
		return !allows(s.Service, s.SoftwareVersion) && omitted.add(s, OmittedVersionNotStored)
	})
}

// Stored reports whether the view is Complete only by what the store keeps.
func (v VersionView) Stored() bool { return v.stored }
