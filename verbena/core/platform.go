package core

import (
	"slices"
	"time"

	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/timeline"
)

const (
	hostsEvery = 2 * time.Second
	// stalePatience is how long a host that doesn't watch waits for news by its peers.
	stalePatience = 2500 * time.Millisecond
	// failurePause spaces tries while the platform gives no answer.
	failurePause = time.Second
	// leaseMonitors is how many hosts watch over all leases, besides guards.
	leaseMonitors = 9
	// readJitter spreads the reads of hosts that have all lost their news at once.
	readJitter = time.Second
)

// platformView is what the host has outstanding at the platform.
type platformView struct {
	answered  time.Time
	readOnce  bool
	down      bool
	reading   bool
	revision  ids.Version
	nextRead  time.Time
	listing   bool
	hosts     ids.Version
	nextHosts time.Time
	// staleMap is true when the shard map must be read before it is written again.
	staleMap bool
}

func (c *Core) tickPlatform() {
	p := &c.platform
	watcher := c.watches
	stale := c.docs.Age(c.now) > stalePatience
	if !p.reading && !c.now.Before(p.nextRead) && (watcher || stale || p.staleMap) {
		p.reading = true
		c.emit(ReadConfig{After: p.revision, Wait: watcher && p.readOnce && !p.down && !p.staleMap})
	}
	if !p.listing && !c.now.Before(p.nextHosts) && (watcher || stale || p.hosts == 0) {
		p.listing = true
		c.emit(ReadHosts{After: p.hosts})
	}
}

func (c *Core) stepPlatform(e Event) {
	switch e := e.(type) {
	case ConfigRead:
		c.configRead(e)
	case HostsRead:
		c.platform.listing = false
		c.platform.nextHosts = c.now.Add(hostsEvery)
		c.platformAnswered(e.RequestedAt)
		if e.List.Version > c.platform.hosts {
			c.platform.hosts = e.List.Version
			c.learn([]gossip.Document{hostsDocument(e.List)})
		}
	case PlatformFailed:
		c.platformFailed(e)
	}
}

func (c *Core) configRead(e ConfigRead) {
	p := &c.platform
	p.reading = false
	p.readOnce = true
	p.staleMap = false
	p.revision = max(p.revision, e.Revision)
	p.nextRead = c.now
	if !c.watches {
		p.nextRead = c.now.Add(c.jitter(stalePatience))
	}
	c.dirty = true
	c.platformAnswered(e.RequestedAt)
	c.learn(e.Documents)
	c.docs.ConfirmFresh(e.RequestedAt)
}

func (c *Core) platformFailed(e PlatformFailed) {
	p := &c.platform
	switch e.Command.(type) {
	case ReadConfig:
		p.reading = false
		p.nextRead = c.now.Add(c.jitter(failurePause))
	case ReadHosts:
		p.listing = false
		p.nextHosts = c.now.Add(c.jitter(failurePause))
	case ListLeases, ReadGuardedLeases:
		c.listing = false
	}
	if !p.down {
		p.down = true
		c.record(timeline.Event{Kind: timeline.PlatformDown})
	}
}

func (c *Core) platformAnswered(asked time.Time) {
	p := &c.platform
	if asked.After(p.answered) {
		p.answered = asked
	}
	c.contact.RecordPlatformRead(asked)
	if p.down {
		p.down = false
		c.record(timeline.Event{Kind: timeline.PlatformUp})
	}
}

// jitter lengthens a pause by a random part, so that hosts don't act at once.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d + time.Duration(c.random.Int64N(int64(readJitter)))
}

// ownedShards returns the shards held, in order.
func (c *Core) ownedShards() []ids.ShardID {
	list := make([]ids.ShardID, 0, len(c.owned))
	for s := range c.owned {
		list = append(list, s)
	}
	slices.Sort(list)
	return list
}
