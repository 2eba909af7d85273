package owners

import (
	"context"
	"errors"
	"math/rand/v2"
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
	// noSuccessor is set while no other host can take over this host's units, as of its last listing of the leases.
	noSuccessor atomic.Bool
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
		renewal: uint64(rand.Uint32()), // a former process of this host has counted, too
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

// AwaitsSuccessor reports whether the map names this host, and another one can take over its units as far as is known.
func (c *Coordinator) AwaitsSuccessor() bool {
	m, _ := c.view.Map()
	return m.Names(c.host) && !c.noSuccessor.Load()
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
	c.noSuccessor.Store(!changed)
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
