package core

import (
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/lease"
	"verbenaledge.example/verbena/timeline"
)

// contactSlack is added to a lease's length before a silent peer with a live lease
// counts as out of reach: a host that is lost loses its lease first.
const contactSlack = 2 * time.Second

// judgeReach gives the lease up while this host reaches the platform but is cut off
// from the larger part of the hosts that hold a lease: it would hold shards that
// nobody can ask for.
func (c *Core) judgeReach() {
	cut := c.cutOff()
	if cut == c.cutFromPeers {
		return
	}
	c.cutFromPeers = cut
	if !cut {
		return
	}
	c.record(timeline.Event{Kind: timeline.HostCutOff})
	for _, s := range c.ownedShards() {
		c.leave(s)
	}
	c.runLease(c.holder.Step(c.now, lease.GiveUp{}))
	c.dirty = true
}

// cutOff compares the hosts that this one reaches with those that it doesn't. Of two
// equal parts the one with the first host goes on.
func (c *Core) cutOff() bool {
	live := c.monitor.Live()
	patience := c.config.Lease.Duration + contactSlack
	mine, others := 1, 0
	firstMine, firstOther := c.config.Host, ids.HostID("")
	for _, h := range c.near {
		if _, holds := live[h]; c.monitors && !holds {
			continue
		}
		if c.contact.RepliedWithin(h, c.now, patience) {
			mine++
			firstMine = min(firstMine, h)
			continue
		}
		others++
		if firstOther == "" || h < firstOther {
			firstOther = h
		}
	}
	return others > mine || (others == mine && firstOther < firstMine)
}
