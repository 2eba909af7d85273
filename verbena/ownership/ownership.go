// Package ownership decides which host owns which unit of shared state. Hosts renew a lease each;
// one that doesn't is broken by a conditional deletion, and its units go to others by a conditional
// update of one map. The package has no input or output.
package ownership

import (
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
)

// Unit names a part of the shared state that has one owner.
type Unit string

// Dispatch is the unit whose owner places requests on backend servers.
const Dispatch Unit = "dispatch"

const (
	// RenewEvery is the time between renewals of a lease; each is one priced call.
	RenewInterval = time.Second
	// HoldFor is how long after the start of its last renewal a holder acts.
	ValidFor = 2500 * time.Millisecond
	// BreakAfter is how long a lease must be seen unchanged before it is broken.
	BreakAfter = 3 * time.Second
)

// Owner is a unit's owner.
type Owner struct {
	Host    ids.HostID `json:"host"`
	Address string     `json:"address"`
	// Epoch counts the unit's owners: a host that has a unit again reads its state again.
	Epoch ids.Epoch `json:"epoch"`
}

// Map names the owner of each unit.
type Map struct {
	Units map[Unit]Owner `json:"units"`
	// Standby places requests for hosts that can't reach the owner of Dispatch. It has no host if only one is there.
	Standby Owner `json:"standby,omitzero"`
}

// Lease is what a host writes of itself.
type Lease struct {
	Address string     `json:"address"`
	Zone    ids.ZoneID `json:"zone,omitempty"`
	// Beat changes with each renewal.
	Renewal uint64 `json:"beat"`
	// Leaving hosts take no units.
	Leaving bool `json:"leaving,omitempty"`
}

// Sight is a lease as this host saw it.
type ObservedLease struct {
	Lease    Lease
	Revision objects.Revision
	// Since is when it was first seen at this revision.
	Since time.Time
}

// Watcher judges the leases of other hosts.
type Watcher struct {
	self  ids.HostID
	seen  map[ids.HostID]ObservedLease
	units []Unit
}

// NewWatcher returns a watcher for a host and the units that need owners.
func NewWatcher(self ids.HostID, units []Unit) *Watcher {
	return &Watcher{self: self, units: units, seen: make(map[ids.HostID]ObservedLease)}
}

// See takes a listing of all leases, which may be stale. A revision never goes back.
func (w *Watcher) Observe(now time.Time, leases map[ids.HostID]ObservedLease) {
	for host, s := range leases {
		old, ok := w.seen[host]
		if ok && s.Revision <= old.Revision {
			continue
		}
		s.Since = now
		w.seen[host] = s
	}
	for host := range w.seen {
		if _, ok := leases[host]; !ok && now.Sub(w.seen[host].Since) > RenewInterval {
			delete(w.seen, host)
		}
	}
}

// Gone forgets a lease that is broken or left.
func (w *Watcher) Remove(host ids.HostID) {
	delete(w.seen, host)
}

// Suspects returns the hosts whose leases are unchanged for too long. Before one is broken it must
// be read again: a listing may be stale, a conditional deletion isn't.
func (w *Watcher) Suspects(now time.Time) (hosts map[ids.HostID]objects.Revision) {
	hosts = make(map[ids.HostID]objects.Revision)
	for host, s := range w.seen {
		if host != w.self && now.Sub(s.Since) >= BreakAfter {
			hosts[host] = s.Revision
		}
	}
	return hosts
}

// Forget drops how long leases were seen unchanged: nobody may have been able to renew meanwhile.
func (w *Watcher) Reset() {
	clear(w.seen)
}
