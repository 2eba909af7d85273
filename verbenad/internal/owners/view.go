// Package owners keeps and reads the map of who owns which unit of shared state.
package owners

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"verbenaledge.example/verbena/clock"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/ownership"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// The objects that hold leases and the map.
const (
	KindLeases objects.Kind = "verbena-leases"
	KindOwners objects.Kind = "verbena-owners"
	nameMap                 = "map"
)

// AllUnits returns the units that need owners.
func AllUnits() (units []ownership.Unit) {
	units = append(units, ownership.Dispatch)
	for s := bulk.Shard(0); s < bulk.Shards; s++ {
		units = append(units, ownership.Unit(s.Name()))
	}
	return units
}

// View is the map as this host knows it.
type View struct {
	current atomic.Pointer[known]
}

type known struct {
	owners   ownership.Map
	object   objects.Object
	revision objects.Revision
}

// Set takes the objects of the map's kind.
func (v *View) Set(all map[string]objects.Object, _ objects.Revision) {
	o, ok := all[nameMap]
	if !ok {
		return
	}
	v.take(o)
}

// take keeps the newer of two maps.
func (v *View) take(o objects.Object) {
	k := &known{revision: o.Revision, object: o}
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

// IsOwner tells whether an owner, or the dispatcher's standby, is reached at an address.
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

// News is the map for a host that asks who the owners are.
func (v *View) AsUpdate() (n hostlink.Update, ok bool) {
	k := v.current.Load()
	if k == nil {
		return n, false
	}
	return hostlink.Update{Kind: KindOwners, Revision: k.revision, Full: true, Objects: []objects.Object{k.object}}, true
}

const (
	// seedsAfter is how long a host that starts waits for the store before it asks others.
	seedsAfter = 300 * time.Millisecond
	// seedsEvery is the time between rounds of questions.
	seedsEvery = 500 * time.Millisecond
)

// AskSeeds asks other hosts for the map until one is known: the store may be away when a host starts.
// An old map only leads to a host that dispatches no longer; the store's or the dispatcher's goes before it.
func (v *View) FetchFromSeeds(ctx context.Context, seeds []string) {
	clock.Sleep(ctx, seedsAfter)
	for ctx.Err() == nil && v.current.Load() == nil {
		for _, address := range seeds {
			n, ok := hostlink.FetchOwners(ctx, address)
			if !ok || len(n.Objects) != 1 || n.Objects[0].Name != nameMap {
				continue
			}
			v.take(n.Objects[0])
			log.WithFields(log.Fields{"peer": address, "revision": n.Revision}).Info("map of owners learned from another host")
			return
		}
		clock.Sleep(ctx, seedsEvery)
	}
}
