package lease

import (
	"slices"
	"strings"
	"time"

	"verbenaledge.example/verbena/ids"
)

// Entry is a lease object in a listing.
type Entry struct {
	ID      ID
	Version ids.Version
}

// Monitor finds leases that have not been renewed for a whole lease duration, counted on its own monotonic
// clock from when it first observed their version.
type Monitor struct {
	duration  time.Duration
	sightings map[ID]sighting
	// lastListed is when a listing last contained a lease of each host.
	lastListed map[ids.HostID]time.Time
	// firstListingAt is when the first listing was answered.
	firstListingAt time.Time
}

// sighting is a lease's current version and when the monitor first observed it.
type sighting struct {
	version ids.Version
	since   time.Time
}

// NewMonitor returns a monitor that has observed nothing yet.
func NewMonitor(duration time.Duration) *Monitor {
	return &Monitor{duration: duration, sightings: map[ID]sighting{}, lastListed: map[ids.HostID]time.Time{}}
}

// Observe processes a listing that was requested and answered at the given times. It returns the expired
// leases, which may be broken, that is deleted at the listed version.
func (m *Monitor) Observe(asked, answered time.Time, listing []Entry) (expired []Entry) {
	next := make(map[ID]sighting, len(listing))
	if m.firstListingAt.IsZero() {
		m.firstListingAt = answered
	}
	for _, e := range listing {
		m.lastListed[e.ID.Host] = answered
		old, known := m.sightings[e.ID]
		if !known || old.version != e.Version {
			next[e.ID] = sighting{e.Version, answered}
			continue
		}
		next[e.ID] = old
		if asked.Sub(old.since) >= m.duration {
			expired = append(expired, e)
		}
	}
	m.sightings = next
	slices.SortFunc(expired, func(a, b Entry) int { return strings.Compare(a.ID.ObjectName(), b.ID.ObjectName()) })
	return expired
}

// AbsentFor returns for how long no listing has contained a lease of a host.
func (m *Monitor) AbsentFor(now time.Time, h ids.HostID) time.Duration {
	if m.firstListingAt.IsZero() {
		return 0
	}
	last := m.lastListed[h]
	if last.Before(m.firstListingAt) {
		last = m.firstListingAt
	}
	return now.Sub(last)
}

// Live returns the newest term of each host in the last listing.
func (m *Monitor) Live() map[ids.HostID]ids.Term {
	live := make(map[ids.HostID]ids.Term, len(m.sightings))
	for id := range m.sightings {
		if id.Term > live[id.Host] {
			live[id.Host] = id.Term
		}
	}
	return live
}
