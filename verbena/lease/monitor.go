package lease

import (
	"slices"
	"strings"
	"time"

	"verbenaledge.example/verbena/ids"
)

// Seen is a lease object in a listing.
type Entry struct {
	ID      ID
	Version ids.Version
}

// Monitor finds leases that have not been renewed for a whole duration, counted
// on its own monotonic clock from when it first saw their version.
type Monitor struct {
	duration time.Duration
	first    map[ID]sighting
	// present is when a listing last showed a lease of each host, began when the
	// first listing was answered.
	present map[ids.HostID]time.Time
	began   time.Time
}

type sighting struct {
	version ids.Version
	at      time.Time
}

// NewMonitor returns a monitor that has seen nothing.
func NewMonitor(duration time.Duration) *Monitor {
	return &Monitor{duration: duration, first: map[ID]sighting{}, present: map[ids.HostID]time.Time{}}
}

// Observe takes a listing that was asked for and answered at the given times,
// and returns the leases that may be broken: deleted at the version seen.
func (m *Monitor) Observe(asked, answered time.Time, listing []Entry) (expired []Entry) {
	next := make(map[ID]sighting, len(listing))
	if m.began.IsZero() {
		m.began = answered
	}
	for _, s := range listing {
		m.present[s.ID.Host] = answered
		old, known := m.first[s.ID]
		if !known || old.version != s.Version {
			next[s.ID] = sighting{s.Version, answered}
			continue
		}
		next[s.ID] = old
		if asked.Sub(old.at) >= m.duration {
			expired = append(expired, s)
		}
	}
	m.first = next
	slices.SortFunc(expired, func(a, b Entry) int { return strings.Compare(a.ID.ObjectName(), b.ID.ObjectName()) })
	return expired
}

// Absent returns for how long no listing has shown a lease of a host.
func (m *Monitor) AbsentFor(now time.Time, h ids.HostID) time.Duration {
	if m.began.IsZero() {
		return 0
	}
	last := m.present[h]
	if last.Before(m.began) {
		last = m.began
	}
	return now.Sub(last)
}

// Live returns the leases of the newest listing, the newest term of each host.
func (m *Monitor) Live() map[ids.HostID]ids.Term {
	live := make(map[ids.HostID]ids.Term, len(m.first))
	for id := range m.first {
		if id.Term > live[id.Host] {
			live[id.Host] = id.Term
		}
	}
	return live
}
