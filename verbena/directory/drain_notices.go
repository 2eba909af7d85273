package directory

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// DrainNotice records that a server announced in an answer that it will stop soon.
type DrainNotice struct {
	Server      ids.BackendID `cbor:"1,keyasint"`
	Incarnation Incarnation   `cbor:"2,keyasint,omitempty"`
}

// DrainNotices is the set of known drain notices. It is kept apart from the store's list of servers, which may show
// the drain late or never, or may be unavailable. A notice applies to one incarnation of the server, and to the entry of an
// earlier one, which an outdated list may still show. It doesn't apply to a later start with the same id.
type DrainNotices struct {
	notices map[ids.BackendID]notice
}

type notice struct {
	incarnation Incarnation
	// lastListed is when the store's list last contained the server.
	lastListed time.Time
}

// noticeRetention is how long a notice is kept for a server that the store no longer lists: an entry that expired
// during an outage of the store is back within seconds.
const noticeRetention = 60 * time.Second

// NewDrainNotices returns an empty set.
func NewDrainNotices() *DrainNotices { return &DrainNotices{notices: make(map[ids.BackendID]notice)} }

// Add adds a notice. added is false if it was known already or is of an older incarnation than the known one.
func (d *DrainNotices) Add(now time.Time, n DrainNotice) (added bool) {
	old, ok := d.notices[n.Server]
	if ok && old.incarnation >= n.Incarnation {
		return false
	}
	d.notices[n.Server] = notice{incarnation: n.Incarnation, lastListed: now}
	return true
}

// IsDraining reports whether there is a notice for the server's incarnation or, where the entry is outdated, a later one.
func (d *DrainNotices) IsDraining(s Server) bool {
	n, ok := d.notices[s.ID]
	return ok && n.incarnation >= s.Incarnation
}

// All returns the notices.
func (d *DrainNotices) All() []DrainNotice {
	list := make([]DrainNotice, 0, len(d.notices))
	for id, n := range d.notices {
		list = append(list, DrainNotice{Server: id, Incarnation: n.incarnation})
	}
	return list
}

// MarkDraining returns the store's list with the servers that have a notice marked as draining. It removes the
// notices of servers that have started again or have not been listed for noticeRetention. A notice without an
// incarnation is removed as soon as its server isn't listed.
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
		case ok && s.Incarnation <= n.incarnation:
			n.lastListed = now
			d.notices[id] = n
			s.Draining = true
			marked[id] = s
		case ok && s.Incarnation > n.incarnation, !ok && n.incarnation == 0, now.Sub(n.lastListed) > noticeRetention:
			delete(d.notices, id)
		}
	}
	return marked
}
