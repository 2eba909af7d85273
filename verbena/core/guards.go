package core

import (
	"cmp"
	"slices"
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/lease"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/shard"
	"verbenaledge.example/verbena/timeline"
)

const (
	// guardCount is how many guards a lease has at most.
	guardCount = 2
	// promiseDuration is how long a guard's promise lasts.
	promiseDuration = 3 * time.Second
	// promiseInterval is how often a host asks its guards for promises during a platform outage.
	promiseInterval = 500 * time.Millisecond
	// guardNoticeInterval is how often a host notifies its guards in normal operation that they are its guards.
	guardNoticeInterval = 5 * time.Second
	// guardNoticeTTL is how long a host guards a lease after its holder's last notice.
	guardNoticeTTL = time.Minute
	// guardContactLimit is the longest time since the last contact with a host that is chosen as a guard.
	guardContactLimit = 5 * time.Second
)

// guardState is a host's state as a guard of other hosts' leases and as a host with guards.
type guardState struct {
	// lastRequest is when the guards were last notified or asked for promises.
	lastRequest time.Time
	// guarded holds the leases of the hosts that name this one as a guard.
	guarded map[ids.HostID]guardedLease
	// promisedUntil holds until when this host has promised not to break a lease.
	promisedUntil map[lease.ID]time.Time
	// breaking holds the leases that this host has broken or may have broken.
	breaking map[lease.ID]bool
	// extended is true while the host's own lease is valid although its renewal is overdue.
	extended bool
}

// guardedLease is a lease that this host guards, and when its holder last sent a notice of that.
type guardedLease struct {
	lease      lease.ID
	receivedAt time.Time
}

func newGuardState() guardState {
	return guardState{guarded: map[ids.HostID]guardedLease{}, promisedUntil: map[lease.ID]time.Time{}, breaking: map[lease.ID]bool{}}
}

// chooseGuards returns hosts that were in contact within guardContactLimit, preferably of other availability zones.
func (c *Core) chooseGuards() []ids.HostID {
	reachable := slices.DeleteFunc(slices.Clone(c.neighbours), func(h ids.HostID) bool { return !c.isolationDetector.ContactWithin(h, c.now, guardContactLimit) })
	name := "guard/" + string(c.config.Host)
	slices.SortFunc(reachable, func(x, y ids.HostID) int {
		if d := cmp.Compare(c.sameZone(x), c.sameZone(y)); d != 0 {
			return d
		}
		return cmp.Compare(shard.Score(name, y), shard.Score(name, x))
	})
	reachable = reachable[:min(len(reachable), guardCount)]
	slices.Sort(reachable)
	return reachable
}

func (c *Core) sameZone(h ids.HostID) int {
	if c.zones[h] == c.config.Zone {
		return 1
	}
	return 0
}

// tickGuards notifies the guards and, while the lease can't be renewed, asks them for promises. A notice is a
// PromiseRequest without a duration.
func (c *Core) tickGuards() {
	interval := guardNoticeInterval
	req := peer.PromiseRequest{Lease: lease.ID{Host: c.config.Host, Term: c.holder.Term()}}
	if c.holder.Overdue(c.now) {
		interval, req.Duration = promiseInterval, promiseDuration
	}
	if c.holder.Term() == 0 || c.now.Sub(c.guards.lastRequest) < interval {
		return
	}
	c.guards.lastRequest = c.now
	for _, g := range c.holder.Guards() {
		c.call(g, &req, nil)
	}
	c.recordExtension()
}

// recordExtension records the start of a period in which the lease is valid although its renewal is overdue.
func (c *Core) recordExtension() {
	extended := c.holder.Overdue(c.now) && c.holder.Valid(c.now)
	if extended && !c.guards.extended {
		c.record(timeline.Event{Kind: timeline.LeaseExtended})
	}
	c.guards.extended = extended
}

// promiseRequested gives a promise only while this host can't reach the platform either and its own lease is
// valid. Hosts that are not guards then don't break the guarded lease either, because they do so only once no guard
// has held a lease for longer than a promise lasts.
func (c *Core) promiseRequested(m *peer.PromiseRequest) peer.Message {
	c.guards.guarded[m.Lease.Host] = guardedLease{m.Lease, c.now}
	platformUnreachable := c.platform.down || c.holder.Overdue(c.now)
	if m.Duration <= 0 || m.Duration > promiseDuration || !platformUnreachable || !c.leaseValid() || c.guards.breaking[m.Lease] || c.draining {
		return &peer.PromiseReply{}
	}
	c.guards.promisedUntil[m.Lease] = c.now.Add(m.Duration)
	return &peer.PromiseReply{Granted: true}
}

func (c *Core) promiseReplyReceived(p pendingCall, req *peer.PromiseRequest, m *peer.PromiseReply) {
	if !m.Granted {
		return
	}
	c.holder.Step(c.now, lease.Promised{Term: req.Lease.Term, Guard: p.to, Until: p.sentAt.Add(req.Duration)})
	c.snapshotStale = true
}

// guardedLeases returns the leases of the hosts that have named this one as a guard within guardNoticeTTL.
func (c *Core) guardedLeases() (list []lease.ID) {
	for _, h := range sortedKeys(c.guards.guarded) {
		g := c.guards.guarded[h]
		if c.now.Sub(g.receivedAt) > guardNoticeTTL {
			delete(c.guards.guarded, h)
			continue
		}
		list = append(list, g.lease)
	}
	return list
}

// pollLeases reads the leases of all hosts if this host monitors them for the fleet, else those that it guards.
func (c *Core) pollLeases() {
	if c.listingLeases || c.now.Before(c.nextLeaseListing) || c.draining {
		return
	}
	c.nextLeaseListing = c.now.Add(c.config.Lease.Renew)
	if c.monitorsLeases {
		c.listingLeases = true
		c.emit(ListLeases{})
		return
	}
	if leases := c.guardedLeases(); len(leases) > 0 {
		c.listingLeases = true
		c.emit(ReadGuardedLeases{leases})
	}
}

// guardedLeasesRead starts to break expired leases. Hosts that monitor all leases reassign the shards.
func (c *Core) guardedLeasesRead(e GuardedLeasesRead) {
	c.listingLeases = false
	c.platformAnswered(e.RequestedAt)
	for _, l := range c.monitor.Observe(e.RequestedAt, e.AnsweredAt, e.Leases) {
		c.emit(ReadLeaseGuards{l})
	}
}

// leaseGuardsRead breaks an expired lease if this host may: a guard may unless it has promised not to, another
// host only once no guard has held a lease for longer than a promise lasts.
func (c *Core) leaseGuardsRead(e LeaseGuardsRead) {
	id := e.Lease.ID
	if c.guards.promisedUntil[id].After(c.now) || !c.mayBreak(e.Guards) {
		return
	}
	delete(c.guards.promisedUntil, id)
	c.guards.breaking[id] = true
	c.emit(BreakLease{e.Lease})
}

func (c *Core) mayBreak(guards []ids.HostID) bool {
	if len(guards) == 0 || slices.Contains(guards, c.config.Host) {
		return true
	}
	if !c.monitorsLeases {
		return false // without listing all leases it can't know that no guard holds one
	}
	wait := promiseDuration + c.config.Lease.Margin
	return !slices.ContainsFunc(guards, func(g ids.HostID) bool { return c.monitor.AbsentFor(c.now, g) < wait })
}

func (c *Core) leaseBreakEnded(e LeaseBreakEnded) {
	if !e.OK {
		if e.OutcomeKnown {
			delete(c.guards.breaking, e.Lease.ID)
		}
		return
	}
	c.nextLeaseListing = c.now
	c.record(timeline.Event{Kind: timeline.LeaseBroken, Detail: e.Lease.ID.ObjectName()})
}
