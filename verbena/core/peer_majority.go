package core

import (
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/lease"
	"verbenaledge.example/verbena/timeline"
)

// unreachableMargin is added to the lease duration before a silent peer with a live lease counts as unreachable:
// a host that has failed loses its lease first.
const unreachableMargin = 2 * time.Second

// checkPeerMajority gives up the lease while this host reaches the platform but not the majority of the hosts
// that hold a lease. It would own shards, but the other hosts could not reach it.
func (c *Core) checkPeerMajority() {
	cutOff := c.isCutOff()
	if cutOff == c.cutOffFromPeers {
		return
	}
	c.cutOffFromPeers = cutOff
	if !cutOff {
		return
	}
	c.record(timeline.Event{Kind: timeline.HostCutOff})
	for _, s := range c.ownedShards() {
		c.releaseShard(s)
	}
	c.executeLeaseCommands(c.holder.Step(c.now, lease.GiveUp{}))
	c.snapshotStale = true
}

// isCutOff reports whether the hosts that this one can't reach outnumber those that it can, itself included. Of
// two equal parts, the one that contains the host with the lowest id continues.
func (c *Core) isCutOff() bool {
	live := c.monitor.Live()
	silenceLimit := c.config.Lease.Duration + unreachableMargin
	reached, unreached := 1, 0
	firstReached, firstUnreached := c.config.Host, ids.HostID("")
	for _, h := range c.neighbours {
		if _, holds := live[h]; c.monitorsLeases && !holds {
			continue
		}
		if c.isolationDetector.ContactWithin(h, c.now, silenceLimit) {
			reached++
			firstReached = min(firstReached, h)
			continue
		}
		unreached++
		if firstUnreached == "" || h < firstUnreached {
			firstUnreached = h
		}
	}
	return unreached > reached || (unreached == reached && firstUnreached < firstReached)
}
