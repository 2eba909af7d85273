package owners

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/ownership"
)

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
