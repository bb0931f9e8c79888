package fleet

import (
	"time"

	"gypsumbank/registry"
)

// versionMemory is how long a software version counts as serving after the registry last listed a target of it: its streams may
// still be taken up.
const versionMemory = time.Minute

// serviceVersion is a software version of a service's targets.
type serviceVersion struct {
	service string
	version registry.SoftwareVersion
}

// maxRegistryGap is the time between two reads of the registry from which on a version may have come and gone unseen: less than that after
// which the store removes an entry that is no longer written.
const maxRegistryGap = 3500 * time.Millisecond

// VersionView is what a gateway knows of the software versions of a service.
type VersionView struct {
	versions map[registry.SoftwareVersion]bool // now and within versionMemory; one is empty if that of some target is not known
	complete bool                              // the registry was read for versionMemory without a gap, so that there were no others until the last read
	stored   bool                              // complete holds by what the store keeps, as the registry was read for less than versionMemory
	age      time.Duration                     // of the last read of the registry
}

// Count returns the number of versions, now and within the last minute.
func (v VersionView) Count() int { return len(v.versions) }

// Complete reports whether there were no other versions within the last minute, up to the Age of the view.
func (v VersionView) Complete() bool { return v.complete }

// Age returns the time since the read of the registry that is in force.
func (v VersionView) Age() time.Duration { return v.age }

// Only returns the version of all streams that began before the last read of the registry, empty where targets name no version; ok is
// false if there may be several.
func (v VersionView) Only() (version registry.SoftwareVersion, ok bool) {
	for version = range v.versions {
	}
	return version, len(v.versions) <= 1 && (v.complete || version == "")
}

// SoftwareVersions returns what is known of the versions of a service's targets.
func (f *Fleet) SoftwareVersions(service string, now time.Time) VersionView {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions := map[registry.SoftwareVersion]bool{}
	for seen, at := range f.versionsSeenAt {
		if seen.service == service && now.Sub(at) <= versionMemory {
			versions[seen.version] = true
		}
	}
	for _, s := range f.byService[service] {
		if !s.replaced {
			versions[s.SoftwareVersion] = true
		}
	}
	complete := !f.registryReadSince.IsZero() && now.Sub(f.registryReadSince) >= versionMemory
	stored := !complete && f.addStoredVersions(versions, service, now)
	return VersionView{versions: versions, complete: complete || stored, stored: stored, age: now.Sub(f.registryReadAt)}
}

// IsCurrent reports whether no other run of a target is known than the one that a request was sent to.
func (f *Fleet) IsCurrent(target registry.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[target.ID]
	return s == nil || (s.Born == target.Born && s.SoftwareVersion == target.SoftwareVersion && !s.replaced)
}

// PlanForStream returns the load by which a stream that goes on only at one software version gets a target that holds its model,
// and records it as in progress. It returns false if no target of the version can load it, or one does already.
func (f *Fleet) PlanForStream(service, model string, version registry.SoftwareVersion, now time.Time) (Placement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.newPlanState(service, now)
	if p == nil {
		return Placement{}, false
	}
	if _, listed := p.engine.Models[model]; !listed {
		return Placement{}, false
	}
	for _, s := range p.targets {
		if s.SoftwareVersion == version && s.loading == model {
			return Placement{}, false
		}
	}
	p.streamVersion = &version
	planned, _ := p.bestLoad(model)
	if planned.Model == "" {
		return Placement{}, false
	}
	f.markPlanned(planned, now)
	return planned, true
}
