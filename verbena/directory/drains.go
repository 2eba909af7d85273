package directory

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// DrainNotice is a server's own word, in one of its answers, that it stops soon.
type DrainNotice struct {
	Server      ids.BackendID `cbor:"1,keyasint"`
	Incarnation Incarnation   `cbor:"2,keyasint,omitempty"`
}

// Drains keeps which servers said that they stop. The store may not say so yet, or never, or may be away. A notice
// holds for one incarnation: the server that starts again under the id isn't held to it.
type DrainNotices struct {
	notices map[ids.BackendID]drain
}

type drain struct {
	incarnation Incarnation
	// listed is when the server was in the store's list last.
	listed time.Time
}

// drainMemory is how long a notice is kept for a server that the store no longer lists: an entry that lapsed with
// the store's outage comes back within seconds.
const drainMemory = 60 * time.Second

// NewDrains returns an empty set.
func NewDrainNotices() *DrainNotices { return &DrainNotices{notices: make(map[ids.BackendID]drain)} }

// Add takes a notice and tells whether it says anything new. An older incarnation's does not.
func (d *DrainNotices) Add(now time.Time, n DrainNotice) (added bool) {
	old, ok := d.notices[n.Server]
	if ok && old.incarnation >= n.Incarnation {
		return false
	}
	d.notices[n.Server] = drain{incarnation: n.Incarnation, listed: now}
	return true
}

// Holds tells whether a server said that it stops.
func (d *DrainNotices) Holds(s Server) bool {
	n, ok := d.notices[s.ID]
	return ok && n.incarnation == s.Incarnation
}

// All returns the notices.
func (d *DrainNotices) All() []DrainNotice {
	list := make([]DrainNotice, 0, len(d.notices))
	for id, n := range d.notices {
		list = append(list, DrainNotice{Server: id, Incarnation: n.incarnation})
	}
	return list
}

// Apply returns a list of the store with the servers marked that said that they stop, and forgets notices that
// the list ends: of servers that started again since, and of those that are gone.
func (d *DrainNotices) MarkDraining(now time.Time, listed map[ids.BackendID]Server) map[ids.BackendID]Server {
	if len(d.notices) == 0 {
		return listed
	}
	marked := make(map[ids.BackendID]Server, len(listed))
	for id, s := range listed {
		marked[id] = s
	}
	for id, n := range d.notices {
		s, ok := listed[id]
		switch {
		case ok && s.Incarnation == n.incarnation:
			n.listed = now
			d.notices[id] = n
			s.Draining = true
			marked[id] = s
		case ok && s.Incarnation > n.incarnation, !ok && n.incarnation == 0, now.Sub(n.listed) > drainMemory:
			delete(d.notices, id)
		}
	}
	return marked
}
