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

// firstMapDelay is how long a host waits after its start before it writes the first map, so that the other hosts have taken
// their leases and the units are spread over all of them.
const firstMapDelay = 2500 * time.Millisecond

// maxListGap is the time without a listing after which earlier observations are discarded: other hosts may have
// been unable to renew their leases as well.
const maxListGap = 2500 * time.Millisecond

// Coordinator renews this host's lease, breaks expired leases of others and takes part in writing the map of owners.
type Coordinator struct {
	host      ids.HostID
	zone      ids.ZoneID
	address   string
	store     objects.Client
	bootClock clock.Clock
	view      *View
	watcher   *ownership.Watcher

	leaseRevision objects.Revision
	renewal       uint64
	lastListing   time.Time
	lastRenewal   atomic.Int64
	leaving       atomic.Bool
	// handingOver is set before this host writes a map that gives its units away, until the outcome is known.
	handingOver atomic.Bool
	// leaseBroken is set when this host learns that its lease was broken, until it has a new one and has read the map.
	leaseBroken atomic.Bool
	wake        chan struct{}
	acquired    bool
	started     time.Time
}

// NewCoordinator returns a coordinator that holds no lease yet.
func NewCoordinator(host ids.HostID, zone ids.ZoneID, address string, store objects.Client, view *View) *Coordinator {
	return &Coordinator{
		host: host, zone: zone, address: address, store: store, bootClock: clock.Boot{}, view: view,
		watcher: ownership.NewWatcher(host, AllUnits()), wake: make(chan struct{}, 1),
	}
}

// LeaseValid reports whether this host's lease is valid at this moment by the host's own clock.
func (c *Coordinator) LeaseValid() bool {
	at := c.lastRenewal.Load()
	return at != 0 && c.bootClock.Now().Sub(time.Unix(0, at)) < ownership.ValidFor
}

// Owns reports whether this host may act as a shard's only owner: the map names it, its lease is valid at this
// moment, and it isn't handing over its units.
func (c *Coordinator) Owns(s bulk.Shard) bool {
	return !c.handingOver.Load() && c.IsMapped(ownership.Unit(s.Name())) && c.LeaseValid()
}

// ConfirmOwns reads the map from the store and reports whether this host is still a shard's owner by it: a change that this host
// hasn't learned of yet, and whatever a new owner reads, comes after what was written before the call.
func (c *Coordinator) ConfirmOwns(ctx context.Context, s bulk.Shard) bool {
	known, ok := c.view.Owner(ownership.Unit(s.Name()))
	o, err := c.store.Get(ctx, KindOwners, mapName)
	if err != nil || !ok {
		log.WithError(err).WithField("shard", s).Warn("map of owners can't be read")
		return false
	}
	c.view.update(o)
	current, _ := c.view.Owner(ownership.Unit(s.Name()))
	return current.Host == c.host && current.Epoch == known.Epoch && c.Owns(s)
}

// IsMapped reports whether the map names this host as the unit's owner.
func (c *Coordinator) IsMapped(u ownership.Unit) bool {
	o, ok := c.view.Owner(u)
	return ok && o.Host == c.host
}

// MayDispatch reports whether this host may dispatch: the map names it, and it hasn't learned since it read the
// map that its lease was broken. It continues while the store is unavailable, since no other host can be named then.
func (c *Coordinator) MayDispatch() bool {
	return !c.leaseBroken.Load() && c.IsMapped(ownership.Dispatch)
}

// IsStandby reports whether this host places requests for hosts that can't reach the dispatcher.
func (c *Coordinator) IsStandby() bool {
	m, _ := c.view.Map()
	return !c.leaseBroken.Load() && m.Standby.Host == c.host
}

// SetLeaving starts or cancels the handover of all units to other hosts.
func (c *Coordinator) SetLeaving(leaving bool) {
	if c.leaving.Swap(leaving) == leaving {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// OwnsNothing reports whether the map gives this host no unit and not the standby role.
func (c *Coordinator) OwnsNothing() bool {
	m, at := c.view.Map()
	return at > 0 && !m.Names(c.host)
}

// Run renews the lease, checks the other hosts' leases and updates the map until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	c.started = c.bootClock.Now()
	t := time.NewTicker(ownership.RenewInterval)
	defer t.Stop()
	for {
		if err := c.round(ctx); err != nil && ctx.Err() == nil {
			log.WithError(err).WithField("valid", c.LeaseValid()).Warn("lease round failed")
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-c.wake:
		}
	}
}

// round renews the lease, checks the other hosts' leases, and then updates the map or hands over this host's units.
func (c *Coordinator) round(ctx context.Context) error {
	if err := c.renew(ctx); err != nil {
		return err
	}
	if err := c.checkLeases(ctx); err != nil {
		return err
	}
	switch {
	case c.leaving.Load():
		return c.handOver(ctx)
	case c.handingOver.Load():
		return c.cancelHandOver(ctx)
	}
	return c.plan(ctx)
}

// handOver gives this host's units to other hosts. From before the write until its outcome is known the host acts
// for none of them: a successor may have read the store in the meantime.
func (c *Coordinator) handOver(ctx context.Context) error {
	next, at, changed, err := c.decide(ctx, c.watcher.HandOver)
	if err != nil {
		return err
	}
	if !changed || at == 0 {
		return c.plan(ctx)
	}
	alreadyHandingOver := c.handingOver.Swap(true)
	err = c.writeHandOverMap(ctx, next, at)
	if !alreadyHandingOver && errors.Is(err, objects.ErrRefused) {
		c.handingOver.Store(false) // nothing was executed, now or earlier
	}
	return err
}

// cancelHandOver writes the map with the same owners: its new revision keeps an earlier write that hands the units over
// from taking effect late.
func (c *Coordinator) cancelHandOver(ctx context.Context) error {
	current, at := c.view.Map()
	return c.writeHandOverMap(ctx, current.Renewed(), at)
}

// writeHandOverMap writes a map for handOver or cancelHandOver. The handover ends once the current map is known.
func (c *Coordinator) writeHandOverMap(ctx context.Context, next ownership.Map, at objects.Revision) error {
	resolved, err := c.writeMap(ctx, next, at)
	if resolved {
		c.handingOver.Store(false)
	}
	return err
}

// maxRenewTries is how often a renewal is tried in a round: one lost write must not cost a whole round of the
// lease's validity.
const maxRenewTries = 4

// renew writes the lease, unless it was broken, until the store is known to have it.
func (c *Coordinator) renew(ctx context.Context) error {
	for try := 1; ; try++ {
		resolved, err := c.tryRenew(ctx)
		if resolved || err != nil || try == maxRenewTries {
			return err
		}
	}
}

// tryRenew writes the lease once. resolved is false if the store doesn't have it, at least not yet.
func (c *Coordinator) tryRenew(ctx context.Context) (resolved bool, err error) {
	start := c.bootClock.Now()
	c.renewal++
	l := ownership.Lease{Address: c.address, Zone: c.zone, Renewal: c.renewal, Leaving: c.leaving.Load()}
	o, err := c.writeLease(ctx, l)
	if errors.Is(err, objects.ErrConflict) && c.adoptLease(ctx) {
		o, err = c.writeLease(ctx, l)
	}
	switch {
	case err == nil:
		if c.leaseRevision == 0 && !c.readMap(ctx) {
			return true, nil // a new lease counts only once the map is read; the next round tries again
		}
		c.leaseRevision = o.Revision
		c.lastRenewal.Store(start.UnixNano())
		c.leaseBroken.Store(false)
		if !c.acquired {
			c.acquired = true
			log.WithField("revision", o.Revision).Info("lease held")
		}
		return true, nil
	case errors.Is(err, objects.ErrConflict), errors.Is(err, objects.ErrNotFound):
		leasesLost.Inc()
		c.leaseBroken.Store(true)
		c.leaseRevision, c.acquired = 0, false
		c.lastRenewal.Store(0)
		log.WithError(err).Warn("lease lost")
		return true, nil
	}
	return c.resolveRenewal(ctx, l, start, err)
}

// adoptLease adopts the stored lease's revision after a conflict: an earlier renewal without an answer took effect
// late. A broken lease isn't stored any more, so it can't be adopted.
func (c *Coordinator) adoptLease(ctx context.Context) bool {
	if c.leaseRevision == 0 {
		return false
	}
	o, err := c.store.Get(ctx, KindLeases, string(c.host))
	if err != nil {
		log.WithError(err).Warn("changed lease can't be read")
		return false
	}
	var found ownership.Lease
	if err := json.Unmarshal(o.Spec, &found); err != nil || found.Address != c.address {
		log.WithError(err).WithField("address", found.Address).Warn("lease was changed by another process")
		return false
	}
	log.WithFields(log.Fields{"revision": o.Revision, "beat": found.Renewal}).Info("earlier renewal took effect late")
	c.leaseRevision = o.Revision
	return true
}

// readMap reads the map after a new lease was taken: units may have moved to other hosts before. If it still names this host, a new
// generation of it is written before the lease counts: a host that found the former lease gone may be about to move the units.
func (c *Coordinator) readMap(ctx context.Context) (known bool) {
	o, err := c.store.Get(ctx, KindOwners, mapName)
	if err != nil {
		return errors.Is(err, objects.ErrNotFound)
	}
	c.view.update(o)
	current, at := c.view.Map()
	if !current.Names(c.host) {
		return true
	}
	known, err = c.writeMap(ctx, current.Renewed(), at)
	if err != nil {
		log.WithError(err).WithField("revision", at).Warn("map of owners not confirmed after a new lease")
	}
	return known
}

func (c *Coordinator) writeLease(ctx context.Context, l ownership.Lease) (objects.Object, error) {
	name := string(c.host)
	if c.leaseRevision > 0 {
		return c.store.Replace(ctx, KindLeases, name, c.leaseRevision, l)
	}
	o, err := c.store.Create(ctx, KindLeases, name, l)
	if !errors.Is(err, objects.ErrConflict) {
		return o, err
	}
	// The lease of an earlier run of this host: that process has ended, so this one continues the lease.
	old, err := c.store.Get(ctx, KindLeases, name)
	if err != nil {
		return old, err
	}
	return c.store.Replace(ctx, KindLeases, name, old.Revision, l)
}

// resolveRenewal finds out whether a renewal without an answer took effect.
func (c *Coordinator) resolveRenewal(ctx context.Context, l ownership.Lease, start time.Time, cause error) (resolved bool, err error) {
	if !errors.Is(cause, objects.ErrUnknown) {
		return false, cause
	}
	o, err := c.store.Get(ctx, KindLeases, string(c.host))
	if err != nil {
		return false, errors.Join(cause, err)
	}
	var found ownership.Lease
	if err := json.Unmarshal(o.Spec, &found); err != nil {
		return false, err
	}
	if found.Address == l.Address {
		if c.leaseRevision == 0 && !c.readMap(ctx) {
			return false, cause // a new lease counts only once the map is read
		}
		// The lease is this host's, from this or an earlier renewal. Once the next one is written, a renewal that
		// arrives late fails on its revision.
		c.leaseRevision = o.Revision
	}
	if found != l {
		return false, nil
	}
	c.lastRenewal.Store(start.UnixNano())
	c.leaseBroken.Store(false)
	return true, nil
}

// checkLeases lists all leases and breaks those that are not renewed. The listing may be stale; if it lacks a host, a
// current one tells whether the host's lease is gone.
func (c *Coordinator) checkLeases(ctx context.Context) error {
	leases, _, err := c.listLeases(ctx, true)
	if err != nil {
		return err
	}
	now := c.bootClock.Now()
	if now.Sub(c.lastListing) > maxListGap {
		c.watcher.Reset()
	}
	c.lastListing = now
	if missing := c.watcher.Observe(now, leases); len(missing) > 0 {
		log.WithField("peers", missing).Info("listing lacks known leases")
		if err := c.observeCurrent(ctx); err != nil {
			return err
		}
	}
	for h, at := range c.watcher.Suspects(now) {
		c.breakLease(ctx, h, at)
	}
	return nil
}

// observeCurrent updates the watcher with a current listing.
func (c *Coordinator) observeCurrent(ctx context.Context) error {
	leases, at, err := c.listLeases(ctx, false)
	if err != nil {
		return err
	}
	c.watcher.ObserveCurrent(c.bootClock.Now(), at, leases)
	return nil
}

// listLeases returns the leases of all hosts and the store's revision at the listing.
func (c *Coordinator) listLeases(ctx context.Context, stale bool) (leases map[ids.HostID]ownership.ObservedLease, at objects.Revision, err error) {
	l, err := c.store.List(ctx, KindLeases, stale)
	if err != nil {
		return nil, 0, err
	}
	leases = make(map[ids.HostID]ownership.ObservedLease, len(l.Objects))
	for _, o := range l.Objects {
		observed := ownership.ObservedLease{Revision: o.Revision}
		if err := json.Unmarshal(o.Spec, &observed.Lease); err != nil {
			log.WithError(err).WithField("peer", o.Name).Error("lease can't be read")
			continue
		}
		leases[ids.HostID(o.Name)] = observed
	}
	if c.leaseRevision > 0 {
		own := ownership.Lease{Address: c.address, Zone: c.zone, Renewal: c.renewal, Leaving: c.leaving.Load()}
		leases[c.host] = ownership.ObservedLease{Lease: own, Revision: c.leaseRevision}
	}
	return leases, l.Revision, nil
}

func (c *Coordinator) breakLease(ctx context.Context, h ids.HostID, at objects.Revision) {
	err := c.store.Delete(ctx, KindLeases, string(h), at)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		log.WithError(err).WithField("peer", h).Info("lease not broken")
		return
	}
	leasesBroken.Inc()
	c.watcher.Remove(h)
	log.WithFields(log.Fields{"peer": h, "revision": at}).Warn("lease broken")
}

// plan writes a new map if the current one should change.
func (c *Coordinator) plan(ctx context.Context) error {
	if _, at := c.view.Map(); at == 0 && c.bootClock.Now().Sub(c.started) < firstMapDelay {
		return nil
	}
	next, at, changed, err := c.decide(ctx, c.watcher.Plan)
	if err != nil || !changed {
		return err
	}
	_, err = c.writeMap(ctx, next, at)
	return err
}

// decide returns the map that should replace the one at a revision. A change is decided again on a current listing: a
// stale one may lack hosts that own units, or name hosts that are gone. A host that the map names had a lease before
// the map was written, so that a current listing that is made afterwards lacks it only if the lease was broken.
func (c *Coordinator) decide(
	ctx context.Context, planned func(ownership.Map) (ownership.Map, bool),
) (next ownership.Map, at objects.Revision, changed bool, err error) {
	current, at := c.view.Map()
	if next, changed = planned(current); !changed {
		return next, at, false, nil
	}
	if err := c.observeCurrent(ctx); err != nil {
		return current, at, false, err
	}
	next, changed = planned(current)
	return next, at, changed, nil
}

// writeMap writes a map if no other host has written one since. resolved means that this host knows the current
// map and that this write can't take effect any more.
func (c *Coordinator) writeMap(ctx context.Context, next ownership.Map, at objects.Revision) (resolved bool, err error) {
	var o objects.Object
	if at == 0 {
		o, err = c.store.Create(ctx, KindOwners, mapName, next)
	} else {
		o, err = c.store.Replace(ctx, KindOwners, mapName, at, next)
	}
	switch {
	case err == nil:
		mapsWritten.Inc()
		log.WithField("revision", o.Revision).Info("map of owners written")
		c.logMoves(next, o.Revision)
		c.view.update(o)
		return true, nil
	case errors.Is(err, objects.ErrConflict):
		log.WithField("revision", at).Info("map of owners was written by another host")
		o, err := c.store.Get(ctx, KindOwners, mapName)
		if err != nil {
			return false, err
		}
		c.view.update(o)
		return true, nil
	}
	return false, err
}

// logMoves logs which units a map that this host wrote moves, and whether it had seen leases of their former owners.
func (c *Coordinator) logMoves(next ownership.Map, at objects.Revision) {
	current, _ := c.view.Map()
	for _, m := range c.watcher.Moves(current, next) {
		log.WithFields(log.Fields{"revision": at, "from": m.From, "to": m.To, "units": m.Units, "from_listed": m.FromListed}).Info("units moved")
	}
}
