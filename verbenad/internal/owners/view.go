// Package owners keeps and reads the map of who owns which unit of shared state.
package owners

import (
	"encoding/json"
	"sync/atomic"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/ownership"
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
	k := &known{revision: o.Revision}
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

// IsOwner tells whether an owner is reached at an address.
func (v *View) IsOwner(address string) bool {
	m, _ := v.Map()
	for _, o := range m.Units {
		if o.Address == address {
			return true
		}
	}
	return false
}
