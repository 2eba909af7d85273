package owners

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/ownership"
)

var (
	leasesLost   = metrics.NewCounter("verbenad_leases_lost_total")
	leasesBroken = metrics.NewCounter("verbenad_leases_broken_total")
	mapsWritten  = metrics.NewCounter("verbenad_owner_maps_written_total")
)

// firstPlan is how long a host waits before it writes the very first map, so that the others' leases
// are there and units spread over all hosts.
const firstPlan = 2500 * time.Millisecond

// listGap is how long without a listing makes earlier sights worthless: nobody may have been able to renew.
const listGap = 2500 * time.Millisecond

// Keeper holds this host's lease and helps to keep the map.
type Coordinator struct {
	host    ids.HostID
	zone    ids.ZoneID
	address string
	store   objects.Client
	boot    clock.Clock
	view    *View
	watcher *ownership.Watcher

	lease   objects.Revision
	beat    uint64
	listed  time.Time
	renewed atomic.Int64
	leaving atomic.Bool
	// handing is set from before this host writes a map without its units until it knows what became of it.
	handing atomic.Bool
	// lost is set from when somebody else broke this host's lease until it has read the map again.
	lost     atomic.Bool
	nudge    chan struct{}
	acquired bool
	started  time.Time
}

// NewKeeper returns a keeper without a lease.
func NewCoordinator(host ids.HostID, zone ids.ZoneID, address string, store objects.Client, view *View) *Coordinator {
	return &Coordinator{
		host: host, zone: zone, address: address, store: store, boot: clock.Boot{}, view: view,
		watcher: ownership.NewWatcher(host, AllUnits()), nudge: make(chan struct{}, 1),
	}
}

// Valid tells whether this host's lease still holds, by its own clock at this moment.
func (k *Coordinator) LeaseValid() bool {
	at := k.renewed.Load()
	return at != 0 && k.boot.Now().Sub(time.Unix(0, at)) < ownership.ValidFor
}

// Owns tells whether this host may act as a shard's only owner: it is named in the map, its lease holds
// at this moment, and it isn't handing its units over.
func (k *Coordinator) Owns(s bulk.Shard) bool {
	return !k.handing.Load() && k.IsMapped(ownership.Unit(s.Name())) && k.LeaseValid()
}

// Holds tells whether this host owns a unit.
func (k *Coordinator) IsMapped(u ownership.Unit) bool {
	o, ok := k.view.Owner(u)
	return ok && o.Host == k.host
}

// Dispatches tells whether this host may dispatch: the map names it, and nobody has broken its lease since
// it read it. While the store can't be reached nobody can be told to take its place, so it goes on.
func (k *Coordinator) MayDispatch() bool {
	return !k.lost.Load() && k.IsMapped(ownership.Dispatch)
}

// StandsBy tells whether this host is to place requests for hosts that can't reach the dispatching one.
func (k *Coordinator) IsStandby() bool {
	m, _ := k.view.Map()
	return !k.lost.Load() && m.Standby.Host == k.host
}

// Leave asks for all units to be given to other hosts.
func (k *Coordinator) SetLeaving(leaving bool) {
	if k.leaving.Swap(leaving) == leaving {
		return
	}
	select {
	case k.nudge <- struct{}{}:
	default:
	}
}

// Empty tells whether this host owns nothing.
func (k *Coordinator) OwnsNothing() bool {
	m, at := k.view.Map()
	for _, o := range m.Units {
		if o.Host == k.host {
			return false
		}
	}
	return at > 0 && m.Standby.Host != k.host
}

// Run renews the lease and looks after the others until the context ends.
func (k *Coordinator) Run(ctx context.Context) {
	k.started = k.boot.Now()
	t := time.NewTicker(ownership.RenewInterval)
	defer t.Stop()
	for {
		if err := k.round(ctx); err != nil && ctx.Err() == nil {
			log.WithError(err).WithField("valid", k.LeaseValid()).Warn("lease round failed")
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-k.nudge:
		}
	}
}

func (k *Coordinator) round(ctx context.Context) error {
	if err := k.renew(ctx); err != nil {
		return err
	}
	if err := k.look(ctx); err != nil {
		return err
	}
	switch {
	case k.leaving.Load():
		return k.handOver(ctx)
	case k.handing.Load():
		return k.stay(ctx)
	}
	return k.plan(ctx)
}

// handOver gives this host's units to others. From before the write until its outcome is known the host
// acts for none of them: a successor may have read the store by then.
func (k *Coordinator) handOver(ctx context.Context) error {
	current, at := k.view.Map()
	next, changed := k.watcher.HandOver(current)
	if !changed || at == 0 {
		return k.plan(ctx)
	}
	before := k.handing.Swap(true)
	err := k.settleMap(ctx, next, at)
	if !before && errors.Is(err, objects.ErrRefused) {
		k.handing.Store(false) // nothing was executed, now or earlier
	}
	return err
}

// stay writes the map as it is, since an earlier write that hands the units over may still take effect.
// Once the map has another revision it can't.
func (k *Coordinator) stay(ctx context.Context) error {
	current, at := k.view.Map()
	return k.settleMap(ctx, current, at)
}

// settleMap writes a map, and lets the host act again if it knows which one holds.
func (k *Coordinator) settleMap(ctx context.Context, next ownership.Map, at objects.Revision) error {
	settled, err := k.writeMap(ctx, next, at)
	if settled {
		k.handing.Store(false)
	}
	return err
}

// renewTries is how often a renewal is written in a round: a lost one must not cost a round of the time for
// which the lease holds.
const renewTries = 4

// renew writes the lease on the condition that nobody broke it, until it is known to be there.
func (k *Coordinator) renew(ctx context.Context) error {
	for try := 1; ; try++ {
		settled, err := k.tryRenew(ctx)
		if settled || err != nil || try == renewTries {
			return err
		}
	}
}

// tryRenew writes the lease once. settled is false if the store doesn't have it, at least not yet.
func (k *Coordinator) tryRenew(ctx context.Context) (settled bool, err error) {
	start := k.boot.Now()
	k.beat++
	l := ownership.Lease{Address: k.address, Zone: k.zone, Renewal: k.beat, Leaving: k.leaving.Load()}
	o, err := k.write(ctx, l)
	if errors.Is(err, objects.ErrConflict) && k.adopt(ctx) {
		o, err = k.write(ctx, l)
	}
	switch {
	case err == nil:
		if k.lease == 0 && !k.readMap(ctx) {
			return true, nil // without the map a new lease says nothing; the next round tries again
		}
		k.lease = o.Revision
		k.renewed.Store(start.UnixNano())
		k.lost.Store(false)
		if !k.acquired {
			k.acquired = true
			log.WithField("revision", o.Revision).Info("lease held")
		}
		return true, nil
	case errors.Is(err, objects.ErrConflict), errors.Is(err, objects.ErrNotFound):
		leasesLost.Inc()
		k.lost.Store(true)
		k.lease, k.acquired = 0, false
		k.renewed.Store(0)
		log.WithError(err).Warn("lease lost")
		return true, nil
	}
	return k.settle(ctx, l, start, err)
}

// adopt takes the lease as it stands: a renewal without an answer took effect late. A lease that somebody
// broke is gone, and comes back only when this host takes a new one.
func (k *Coordinator) adopt(ctx context.Context) bool {
	if k.lease == 0 {
		return false
	}
	o, err := k.store.Get(ctx, KindLeases, string(k.host))
	if err != nil {
		log.WithError(err).Warn("lease that changed can't be read")
		return false
	}
	var found ownership.Lease
	if err := json.Unmarshal(o.Spec, &found); err != nil || found.Address != k.address {
		log.WithError(err).WithField("address", found.Address).Warn("lease was changed by somebody else")
		return false
	}
	log.WithFields(log.Fields{"revision": o.Revision, "beat": found.Renewal}).Info("earlier renewal took effect late")
	k.lease = o.Revision
	return true
}

// readMap reads the map after a new lease was taken: units may have gone to others before.
func (k *Coordinator) readMap(ctx context.Context) bool {
	o, err := k.store.Get(ctx, KindOwners, nameMap)
	if err == nil {
		k.view.take(o)
	}
	return err == nil || errors.Is(err, objects.ErrNotFound)
}

func (k *Coordinator) write(ctx context.Context, l ownership.Lease) (objects.Object, error) {
	name := string(k.host)
	if k.lease > 0 {
		return k.store.Replace(ctx, KindLeases, name, k.lease, l)
	}
	o, err := k.store.Create(ctx, KindLeases, name, l)
	if !errors.Is(err, objects.ErrConflict) {
		return o, err
	}
	// A lease of an earlier run of this host: its process is gone, so the lease goes on.
	old, err := k.store.Get(ctx, KindLeases, name)
	if err != nil {
		return old, err
	}
	return k.store.Replace(ctx, KindLeases, name, old.Revision, l)
}

// settle finds out whether a write without an answer took effect.
func (k *Coordinator) settle(ctx context.Context, l ownership.Lease, start time.Time, cause error) (settled bool, err error) {
	if !errors.Is(cause, objects.ErrUnknown) {
		return false, cause
	}
	o, err := k.store.Get(ctx, KindLeases, string(k.host))
	if err != nil {
		return false, errors.Join(cause, err)
	}
	var found ownership.Lease
	if err := json.Unmarshal(o.Spec, &found); err != nil {
		return false, err
	}
	if found.Address == l.Address {
		if k.lease == 0 && !k.readMap(ctx) {
			return false, cause // as after a lease that was taken with an answer
		}
		// This host's lease, at this or an earlier beat: a renewal that lands later fails on its revision.
		k.lease = o.Revision
	}
	if found != l {
		return false, nil
	}
	k.renewed.Store(start.UnixNano())
	k.lost.Store(false)
	return true, nil
}

// look reads all leases and breaks those that are not renewed.
func (k *Coordinator) look(ctx context.Context) error {
	l, err := k.store.List(ctx, KindLeases, true)
	if err != nil {
		return err
	}
	now := k.boot.Now()
	if now.Sub(k.listed) > listGap {
		k.watcher.Reset()
	}
	k.listed = now
	leases := make(map[ids.HostID]ownership.ObservedLease, len(l.Objects))
	for _, o := range l.Objects {
		s := ownership.ObservedLease{Revision: o.Revision}
		if err := json.Unmarshal(o.Spec, &s.Lease); err != nil {
			log.WithError(err).WithField("peer", o.Name).Error("lease can't be read")
			continue
		}
		leases[ids.HostID(o.Name)] = s
	}
	if k.lease > 0 {
		own := ownership.Lease{Address: k.address, Zone: k.zone, Renewal: k.beat, Leaving: k.leaving.Load()}
		leases[k.host] = ownership.ObservedLease{Lease: own, Revision: k.lease}
	}
	k.watcher.Observe(now, leases)
	for host, at := range k.watcher.Suspects(now) {
		k.breakLease(ctx, host, at)
	}
	return nil
}

func (k *Coordinator) breakLease(ctx context.Context, host ids.HostID, at objects.Revision) {
	err := k.store.Delete(ctx, KindLeases, string(host), at)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		log.WithError(err).WithField("peer", host).Info("lease not broken")
		return
	}
	leasesBroken.Inc()
	k.watcher.Remove(host)
	log.WithFields(log.Fields{"peer": host, "revision": at}).Warn("lease broken")
}

// plan writes the map if another one should hold.
func (k *Coordinator) plan(ctx context.Context) error {
	current, at := k.view.Map()
	next, changed := k.watcher.Plan(current)
	if !changed || at == 0 && k.boot.Now().Sub(k.started) < firstPlan {
		return nil
	}
	_, err := k.writeMap(ctx, next, at)
	return err
}

// writeMap writes a map on the condition that nobody else has written one since. settled tells that this
// host knows the map that holds now, and that this write can't take effect any more.
func (k *Coordinator) writeMap(ctx context.Context, next ownership.Map, at objects.Revision) (settled bool, err error) {
	var o objects.Object
	if at == 0 {
		o, err = k.store.Create(ctx, KindOwners, nameMap, next)
	} else {
		o, err = k.store.Replace(ctx, KindOwners, nameMap, at, next)
	}
	switch {
	case err == nil:
		mapsWritten.Inc()
		log.WithField("revision", o.Revision).Info("map of owners written")
		k.view.take(o)
		return true, nil
	case errors.Is(err, objects.ErrConflict):
		log.WithField("revision", at).Info("map of owners was written by another host")
		o, err := k.store.Get(ctx, KindOwners, nameMap)
		if err != nil {
			return false, err
		}
		k.view.take(o)
		return true, nil
	}
	return false, err
}
