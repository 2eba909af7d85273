// Package ownership decides which host owns which unit of shared state. Each host renews a lease. A lease that is
// not renewed is broken by a conditional deletion, and its host's units are given to others by a conditional
// update of one map. The package performs no I/O.
package ownership

import (
	"slices"
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
)

// Unit names a part of the shared state that has one owner.
type Unit string

// Dispatch is the unit whose owner places requests on backend servers.
const Dispatch Unit = "dispatch"

const (
	// RenewInterval is the time between renewals of a lease; each is one billed call.
	RenewInterval = time.Second
	// ValidFor is how long a lease is valid for its holder, counted from the start of the last renewal.
	ValidFor = 2500 * time.Millisecond
	// BreakAfter is how long other hosts must see a lease unchanged before they break it.
	BreakAfter = 3 * time.Second
)

// Owner is the host that owns a unit.
type Owner struct {
	Host    ids.HostID `json:"host"`
	Address string     `json:"address"`
	// Epoch increases with each change of owner: a host that gets a unit back must load its state again.
	Epoch ids.Epoch `json:"epoch"`
}

// Map names the owner of each unit.
type Map struct {
	Units map[Unit]Owner `json:"units"`
	// Standby places requests for hosts that can't reach the owner of Dispatch. It is empty if there is only one host.
	Standby Owner `json:"standby,omitzero"`
	// Generation counts the writes that change nothing else: the store gives no new revision to a write without a change.
	Generation uint64 `json:"generation,omitempty"`
}

// Renewed returns the same map in the next generation. Once it is written, no earlier write that is still under way can
// take effect.
func (m Map) Renewed() Map {
	m.Generation++
	return m
}

// Names reports whether the map gives a host a unit or the standby role.
func (m Map) Names(host ids.HostID) bool {
	for _, o := range m.Units {
		if o.Host == host {
			return true
		}
	}
	return m.Standby.Host == host
}

// Lease is the stored form of a host's lease.
type Lease struct {
	Address string     `json:"address"`
	Zone    ids.ZoneID `json:"zone,omitempty"`
	// Renewal counts the renewals, so that each one changes the lease.
	Renewal uint64 `json:"beat"`
	// Leaving hosts take no units.
	Leaving bool `json:"leaving,omitempty"`
}

// ObservedLease is a lease as this host last listed it.
type ObservedLease struct {
	Lease    Lease
	Revision objects.Revision
	// Since is when it was first listed at this revision.
	Since time.Time
}

// Watcher tracks the leases of all hosts and plans the map of owners.
type Watcher struct {
	self     ids.HostID
	observed map[ids.HostID]ObservedLease
	units    []Unit
	// currentAt is the store's revision at the last current listing. A lease that it lacked and that has no newer
	// revision is gone.
	currentAt objects.Revision
	// broken holds the last revisions of leases that this host broke since the last current listing.
	broken map[ids.HostID]objects.Revision
}

// NewWatcher returns a watcher for a host and the units that need owners.
func NewWatcher(self ids.HostID, units []Unit) *Watcher {
	return &Watcher{
		self: self, units: units, observed: make(map[ids.HostID]ObservedLease), broken: make(map[ids.HostID]objects.Revision),
	}
}

// Observe takes a listing of all leases that may be stale: older revisions and leases that are known to be gone are
// ignored. It returns the observed hosts that the listing lacks. Their leases may be newer than the listing, so only a
// current listing removes them.
func (w *Watcher) Observe(now time.Time, leases map[ids.HostID]ObservedLease) (missing []ids.HostID) {
	for h, l := range leases {
		if _, ok := w.observed[h]; !ok && (l.Revision <= w.currentAt || l.Revision <= w.broken[h]) {
			continue
		}
		w.observe(now, h, l)
	}
	for h := range w.observed {
		if _, ok := leases[h]; !ok {
			missing = append(missing, h)
		}
	}
	slices.Sort(missing)
	return missing
}

// ObserveCurrent takes a linearizable listing of all leases, made at a revision of the store. It removes the leases that
// the listing lacks.
func (w *Watcher) ObserveCurrent(now time.Time, at objects.Revision, leases map[ids.HostID]ObservedLease) {
	for h := range w.observed {
		if _, ok := leases[h]; !ok {
			delete(w.observed, h)
		}
	}
	for h, l := range leases {
		w.observe(now, h, l)
	}
	w.currentAt = at
	clear(w.broken)
}

// observe records a host's lease if its revision is new.
func (w *Watcher) observe(now time.Time, host ids.HostID, l ObservedLease) {
	if previous, ok := w.observed[host]; ok && l.Revision <= previous.Revision {
		return
	}
	l.Since = now
	w.observed[host] = l
}

// Remove removes the lease of a host whose lease was broken.
func (w *Watcher) Remove(host ids.HostID) {
	w.broken[host] = w.observed[host].Revision
	delete(w.observed, host)
}

// Suspects returns the hosts whose leases have been unchanged for at least BreakAfter, with the leases' revisions. Leases
// must be broken on the condition of that revision, since the listing may be stale.
func (w *Watcher) Suspects(now time.Time) (hosts map[ids.HostID]objects.Revision) {
	hosts = make(map[ids.HostID]objects.Revision)
	for h, l := range w.observed {
		if h != w.self && now.Sub(l.Since) >= BreakAfter {
			hosts[h] = l.Revision
		}
	}
	return hosts
}

// Reset discards all observations, after a time in which hosts may have been unable to renew their leases.
func (w *Watcher) Reset() {
	clear(w.observed)
	clear(w.broken)
	w.currentAt = 0
}
