// Package owners maintains the map that names the owner of each unit of shared state, and this host's copy of it.
package owners

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"verbenaledge.example/verbena/clock"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/ownership"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// The kinds of the leases and of the map of owners, and the map's object name.
const (
	KindLeases objects.Kind = "verbena-leases"
	KindOwners objects.Kind = "verbena-owners"
	mapName                 = "map"
)

// AllUnits returns all units: dispatch and one per shard of batch jobs.
func AllUnits() (units []ownership.Unit) {
	units = append(units, ownership.Dispatch)
	for s := bulk.Shard(0); s < bulk.Shards; s++ {
		units = append(units, ownership.Unit(s.Name()))
	}
	return units
}

// View is the newest map of owners that this host knows.
type View struct {
	current atomic.Pointer[knownMap]
}

type knownMap struct {
	owners   ownership.Map
	object   objects.Object
	revision objects.Revision
}

// Set updates the view from the stored objects of kind KindOwners.
func (v *View) Set(all map[string]objects.Object, _ objects.Revision) {
	o, ok := all[mapName]
	if !ok {
		return
	}
	v.update(o)
}

// update replaces the map if the object is newer.
func (v *View) update(o objects.Object) {
	k := &knownMap{revision: o.Revision, object: o}
	if err := json.Unmarshal(o.Spec, &k.owners); err != nil {
		log.WithError(err).WithField("revision", o.Revision).Error("map of owners can't be read")
		return
	}
	for {
		old := v.current.Load()
		if old != nil && old.revision >= k.revision {
			return
		}
		if v.current.CompareAndSwap(old, k) {
			return
		}
	}
}

// Map returns the newest map and its revision, 0 if there is none.
func (v *View) Map() (m ownership.Map, at objects.Revision) {
	if k := v.current.Load(); k != nil {
		return k.owners, k.revision
	}
	return m, 0
}

// Owner returns a unit's owner.
func (v *View) Owner(u ownership.Unit) (o ownership.Owner, ok bool) {
	m, _ := v.Map()
	o, ok = m.Units[u]
	return o, ok
}

// Address returns where a unit's owner is reached, or nothing.
func (v *View) Address(u ownership.Unit) string {
	o, _ := v.Owner(u)
	return o.Address
}

// StandbyAddress returns where the dispatcher's standby is reached, or nothing.
func (v *View) StandbyAddress() string {
	m, _ := v.Map()
	return m.Standby.Address
}

// Standby returns the dispatcher's standby, or nothing.
func (v *View) Standby() ids.HostID {
	m, _ := v.Map()
	return m.Standby.Host
}

// IsOwner reports whether an owner or the dispatcher's standby is reached at the address.
func (v *View) IsOwner(address string) bool {
	m, _ := v.Map()
	if address != "" && address == m.Standby.Address {
		return true
	}
	for _, o := range m.Units {
		if o.Address == address {
			return true
		}
	}
	return false
}

// AsUpdate returns the map as an update for a host that asks for it; ok is false if no map is known.
func (v *View) AsUpdate() (u hostlink.Update, ok bool) {
	k := v.current.Load()
	if k == nil {
		return u, false
	}
	return hostlink.Update{Kind: KindOwners, Revision: k.revision, Full: true, Objects: []objects.Object{k.object}}, true
}

const (
	// seedDelay is how long a starting host waits for the store before it asks other hosts.
	seedDelay = 300 * time.Millisecond
	// seedInterval is the time between rounds of requests to all seeds.
	seedInterval = 500 * time.Millisecond
)

// FetchFromSeeds asks other hosts for the map until one is known: the store may be unavailable when a host starts.
// An outdated map does no harm: it leads at most to a former dispatcher, and newer maps from the store or the
// dispatcher replace it.
func (v *View) FetchFromSeeds(ctx context.Context, seeds []string) {
	clock.Sleep(ctx, seedDelay)
	for ctx.Err() == nil && v.current.Load() == nil {
		for _, a := range seeds {
			u, ok := hostlink.FetchOwners(ctx, a)
			if !ok || len(u.Objects) != 1 || u.Objects[0].Name != mapName {
				continue
			}
			v.update(u.Objects[0])
			log.WithFields(log.Fields{"peer": a, "revision": u.Revision}).Info("map of owners fetched from another host")
			return
		}
		clock.Sleep(ctx, seedInterval)
	}
}
