package origin

import (
	"maps"
	"slices"
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

const (
	// removedServeTime is how long a server may go on serving after its entry was removed.
	removedServeTime = 20 * time.Second
	// keepTime is how long after its last server was removed callers may take up streams of a version.
	keepTime = Retention + removedServeTime
)

// Versions tracks which software versions of each service may have begun the streams that callers take up now: those
// listed at present, and those of servers that were removed a short time ago.
type Versions struct {
	listed versionSet
	// leftAt is when a version was last listed, also of versions that are listed again.
	leftAt map[ids.ServiceName]map[directory.SoftwareVersion]time.Time
	// since is the time from which all listed versions are known, zero if there is none.
	since time.Time
	// observed is set by the first list of servers.
	observed bool
	// changes counts the changes of what History returns, apart from ages and versions that expire.
	changes uint64
}

// versionSet is a set of versions by service.
type versionSet map[ids.ServiceName]map[directory.SoftwareVersion]bool

func (set versionSet) add(service ids.ServiceName, version directory.SoftwareVersion) {
	if set[service] == nil {
		set[service] = make(map[directory.SoftwareVersion]bool)
	}
	set[service][version] = true
}

// NewVersions returns a tracker that has seen no list.
func NewVersions() *Versions {
	return &Versions{
		listed: make(versionSet),
		leftAt: make(map[ids.ServiceName]map[directory.SoftwareVersion]time.Time),
	}
}

// Observe replaces the listed versions by those of the servers that are listed now.
func (v *Versions) Observe(now time.Time, servers map[ids.BackendID]directory.Server) {
	v.observed = true
	if v.since.IsZero() {
		v.since = now
	}
	listed := make(versionSet)
	for _, s := range servers {
		listed.add(s.Service, s.SoftwareVersion)
	}
	for service, versions := range v.listed {
		for version := range versions {
			if !listed[service][version] {
				v.recordLeft(service, version, now)
			}
		}
	}
	if !maps.EqualFunc(v.listed, listed, maps.Equal) {
		v.changes++
	}
	v.listed = listed
	v.removeExpired(now)
}

// Continue adds what was seen before this host's first list, or by another host. Versions that were listed count as listed
// until now, or until the first list.
func (v *Versions) Continue(now time.Time, h History) {
	v.removeExpired(now)
	for _, s := range h.Versions {
		if _, known := v.LastListed(now, Origin{Service: s.Service, Version: s.Version}); !known && s.Age <= keepTime {
			v.changes++
		}
		if s.Listed && !v.observed {
			v.listed.add(s.Service, s.Version)
		}
		v.recordLeft(s.Service, s.Version, now.Add(-s.Age))
	}
	if since := now.Add(-h.ObservedFor); h.ObservedFor > 0 && (v.since.IsZero() || since.Before(v.since)) {
		v.since = since
	}
	v.removeExpired(now)
}

// History returns what this host has seen, for another one.
func (v *Versions) History(now time.Time) (h History) {
	v.removeExpired(now)
	if !v.since.IsZero() {
		h.ObservedFor = now.Sub(v.since)
	}
	for service, versions := range v.listed {
		for version := range versions {
			h.Versions = append(h.Versions, Sighting{Service: service, Version: version, Listed: true})
		}
	}
	for service, versions := range v.leftAt {
		for version, at := range versions {
			if !v.listed[service][version] {
				h.Versions = append(h.Versions, Sighting{Service: service, Version: version, Age: now.Sub(at)})
			}
		}
	}
	slices.SortFunc(h.Versions, Sighting.compare)
	return h
}

// Changes returns a number that changes with the versions in the history. Ages and versions that expire don't change it.
func (v *Versions) Changes() uint64 { return v.changes }

// Complete reports whether all versions are known at which the streams that callers take up now can have begun.
func (v *Versions) Complete(now time.Time) bool {
	return v.observed && now.Sub(v.since) >= keepTime
}

// Several reports whether several versions are known at which a stream of the service that is taken up now can have begun.
func (v *Versions) Several(now time.Time, service ids.ServiceName) bool {
	v.removeExpired(now)
	return len(v.found(service)) > 1
}

// found returns the versions that are listed or were a short time ago.
func (v *Versions) found(service ids.ServiceName) map[directory.SoftwareVersion]bool {
	found := make(map[directory.SoftwareVersion]bool)
	for version := range v.listed[service] {
		found[version] = true
	}
	for version := range v.leftAt[service] {
		found[version] = true
	}
	return found
}

// Sole returns the only version at which a stream of the service that is taken up now can have begun. ok is false if
// there are several, or if versions may be unknown.
func (v *Versions) Sole(now time.Time, service ids.ServiceName) (version directory.SoftwareVersion, ok bool) {
	v.removeExpired(now)
	if !v.Complete(now) {
		return "", false
	}
	found := slices.Collect(maps.Keys(v.found(service)))
	if len(found) != 1 {
		return "", false
	}
	return found[0], true
}

// LastListed returns how long ago a version was last listed. ok is false if that was longer ago than keepTime, or never.
func (v *Versions) LastListed(now time.Time, o Origin) (age time.Duration, ok bool) {
	if v.listed[o.Service][o.Version] {
		return 0, true
	}
	at, ok := v.leftAt[o.Service][o.Version]
	return now.Sub(at), ok
}

func (v *Versions) recordLeft(service ids.ServiceName, version directory.SoftwareVersion, at time.Time) {
	if v.leftAt[service] == nil {
		v.leftAt[service] = make(map[directory.SoftwareVersion]time.Time)
	}
	if at.After(v.leftAt[service][version]) {
		v.leftAt[service][version] = at
	}
}

func (v *Versions) removeExpired(now time.Time) {
	for service, versions := range v.leftAt {
		for version, at := range versions {
			if now.Sub(at) > keepTime {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(v.leftAt, service)
		}
	}
}
