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
	guardCount = 2
	// promiseFor is how long a guard's promise lasts.
	promiseFor = 3 * time.Second
	// promiseEvery is how often promises are asked for in a platform outage.
	promiseEvery = 500 * time.Millisecond
	// noticeGuards is how often guards are told in quiet running that they are such.
	noticeGuards = 5 * time.Second
	wardMemory   = time.Minute
	heardLately  = 5 * time.Second
)

// guarding is a host's part as a guard of others' leases, and as one that is guarded.
type guarding struct {
	asked time.Time
	// wards are the hosts that name this one as a guard.
	wards map[ids.HostID]ward
	// promised is until when this host has promised not to break a lease.
	promised map[lease.ID]time.Time
	// breaking holds leases that this host has broken, or may have.
	breaking map[lease.ID]bool
	extended bool
}

// ward is a lease that this host guards, and when its holder last said so.
type ward struct {
	lease lease.ID
	at    time.Time
}

func newGuarding() guarding {
	return guarding{wards: map[ids.HostID]ward{}, promised: map[lease.ID]time.Time{}, breaking: map[lease.ID]bool{}}
}

// chooseGuards names hosts that were heard of lately, of other availability zones first.
func (c *Core) chooseGuards() []ids.HostID {
	able := slices.DeleteFunc(slices.Clone(c.near), func(h ids.HostID) bool { return !c.contact.RepliedWithin(h, c.now, heardLately) })
	name := "guard/" + string(c.config.Host)
	slices.SortFunc(able, func(x, y ids.HostID) int {
		if d := cmp.Compare(c.sameZone(x), c.sameZone(y)); d != 0 {
			return d
		}
		return cmp.Compare(shard.Score(name, y), shard.Score(name, x))
	})
	able = able[:min(len(able), guardCount)]
	slices.Sort(able)
	return able
}

func (c *Core) sameZone(h ids.HostID) int {
	if c.zones[h] == c.config.Zone {
		return 1
	}
	return 0
}

// tickGuards tells guards of their part, and asks them for promises while the
// lease can't be renewed.
func (c *Core) tickGuards() {
	every := noticeGuards
	ask := peer.PromiseRequest{Lease: lease.ID{Host: c.config.Host, Term: c.holder.Term()}}
	if c.holder.Overdue(c.now) {
		every, ask.Duration = promiseEvery, promiseFor
	}
	if c.holder.Term() == 0 || c.now.Sub(c.guard.asked) < every {
		return
	}
	c.guard.asked = c.now
	for _, g := range c.holder.Guards() {
		c.call(g, &ask, nil)
	}
	c.noteExtension()
}

// noteExtension records when the lease begins and ceases to rest on promises.
func (c *Core) noteExtension() {
	extended := c.holder.Overdue(c.now) && c.holder.Valid(c.now)
	if extended && !c.guard.extended {
		c.record(timeline.Event{Kind: timeline.LeaseExtended})
	}
	c.guard.extended = extended
}

// promiseAsked gives a promise while this host can't reach the platform either and
// may act itself: its own lease then stands, and those who are no guards leave the
// ward's lease alone for as long as the promise lasts.
func (c *Core) promiseAsked(m *peer.PromiseRequest) peer.Message {
	c.guard.wards[m.Lease.Host] = ward{m.Lease, c.now}
	platformAway := c.platform.down || c.holder.Overdue(c.now)
	if m.Duration <= 0 || m.Duration > promiseFor || !platformAway || !c.mayAct() || c.guard.breaking[m.Lease] || c.draining {
		return &peer.PromiseReply{}
	}
	c.guard.promised[m.Lease] = c.now.Add(m.Duration)
	return &peer.PromiseReply{Granted: true}
}

func (c *Core) promiseReplied(p pending, asked *peer.PromiseRequest, m *peer.PromiseReply) {
	if !m.Granted {
		return
	}
	c.holder.Step(c.now, lease.Promised{Term: asked.Lease.Term, Guard: p.to, Until: p.sent.Add(asked.Duration)})
	c.dirty = true
}

// wards returns the leases of the hosts that have lately named this one as a guard.
func (c *Core) wards() (list []lease.ID) {
	for _, h := range sortedKeys(c.guard.wards) {
		w := c.guard.wards[h]
		if c.now.Sub(w.at) > wardMemory {
			delete(c.guard.wards, h)
			continue
		}
		list = append(list, w.lease)
	}
	return list
}

// watchLeases looks at all leases on a host that does so for the fleet, and at its
// wards' on one that is only their guard.
func (c *Core) watchLeases() {
	if c.listing || c.now.Before(c.nextList) || c.draining {
		return
	}
	c.nextList = c.now.Add(c.config.Lease.Renew)
	if c.monitors {
		c.listing = true
		c.emit(ListLeases{})
		return
	}
	if wards := c.wards(); len(wards) > 0 {
		c.listing = true
		c.emit(ReadGuardedLeases{wards})
	}
}

// wardsRead breaks the leases of wards that have ended. Their shards are given away
// by hosts that see all leases.
func (c *Core) wardsRead(e GuardedLeasesRead) {
	c.listing = false
	c.platformAnswered(e.RequestedAt)
	for _, seen := range c.monitor.Observe(e.RequestedAt, e.AnsweredAt, e.Leases) {
		c.emit(ReadLeaseGuards{seen})
	}
}

// leaseRead decides whether a lease that hasn't been renewed may be broken by this
// host: as its guard unless it has promised not to, or as another once no guard of
// it has had a lease for longer than a promise lasts.
func (c *Core) leaseRead(e LeaseGuardsRead) {
	id := e.Lease.ID
	if c.guard.promised[id].After(c.now) || !c.mayBreak(e.Guards) {
		return
	}
	delete(c.guard.promised, id)
	c.guard.breaking[id] = true
	c.emit(BreakLease{e.Lease})
}

func (c *Core) mayBreak(guards []ids.HostID) bool {
	if len(guards) == 0 || slices.Contains(guards, c.config.Host) {
		return true
	}
	if !c.monitors {
		return false // it sees too few leases to tell that all guards are gone
	}
	wait := promiseFor + c.config.Lease.Margin
	return !slices.ContainsFunc(guards, func(g ids.HostID) bool { return c.monitor.AbsentFor(c.now, g) < wait })
}

func (c *Core) leaseBreakEnded(e LeaseBreakEnded) {
	if !e.OK {
		if e.OutcomeKnown {
			delete(c.guard.breaking, e.Lease.ID)
		}
		return
	}
	c.nextList = c.now
	c.record(timeline.Event{Kind: timeline.LeaseBroken, Detail: e.Lease.ID.ObjectName()})
}
