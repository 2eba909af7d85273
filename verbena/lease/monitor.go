package lease

import (
	"slices"
	"strings"
	"time"

	"verbenaledge.example/verbena/ids"
)

// Seen is a lease object in a listing.
type Seen struct {
	ID      ID
	Version ids.Version
}

// Monitor finds leases that have not been renewed for a whole duration, counted
// on its own monotonic clock from when it first saw their version.
type Monitor struct {
	duration time.Duration
	first    map[ID]sighting
}

type sighting struct {
	version ids.Version
	at      time.Time
}

// NewMonitor returns a monitor that has seen nothing.
func NewMonitor(duration time.Duration) *Monitor {
	return &Monitor{duration: duration, first: map[ID]sighting{}}
}

// Observe takes a listing that was asked for and answered at the given times,
// and returns the leases that may be broken: deleted at the version seen.
func (m *Monitor) Observe(asked, answered time.Time, listing []Seen) (expired []Seen) {
	next := make(map[ID]sighting, len(listing))
	for _, s := range listing {
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
	slices.SortFunc(expired, func(a, b Seen) int { return strings.Compare(a.ID.ObjectName(), b.ID.ObjectName()) })
	return expired
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
