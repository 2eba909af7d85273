package core

import (
	"time"

	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/timeline"
)

const (
	hostListInterval = 2 * time.Second
	// staleLimit is the age of the documents from which a host that doesn't watch the platform reads them itself.
	staleLimit = 2500 * time.Millisecond
	// platformRetryInterval is the minimum pause between reads while the platform doesn't answer.
	platformRetryInterval = time.Second
	// leaseMonitorCount is how many hosts monitor all leases, in addition to each lease's guards.
	leaseMonitorCount = 9
	// maxJitter spreads the reads of hosts that have all stopped receiving updates at the same time.
	maxJitter = time.Second
)

// platformState tracks a host's reads from the platform.
type platformState struct {
	lastAnswered    time.Time
	readOnce        bool
	down            bool
	readingConfig   bool
	revision        ids.Version
	nextRead        time.Time
	listingHosts    bool
	hostListVersion ids.Version
	nextHostList    time.Time
	// shardMapStale is true if the shard map must be read before it is written again.
	shardMapStale bool
}

func (c *Core) tickPlatform() {
	p := &c.platform
	watcher := c.watchesPlatform
	stale := c.documents.Age(c.now) > staleLimit
	if !p.readingConfig && !c.now.Before(p.nextRead) && (watcher || stale || p.shardMapStale) {
		p.readingConfig = true
		c.emit(ReadConfig{After: p.revision, Wait: watcher && p.readOnce && !p.down && !p.shardMapStale})
	}
	if !p.listingHosts && !c.now.Before(p.nextHostList) && (watcher || stale || p.hostListVersion == 0) {
		p.listingHosts = true
		c.emit(ReadHosts{After: p.hostListVersion})
	}
}

func (c *Core) stepPlatform(e Event) {
	switch e := e.(type) {
	case ConfigRead:
		c.configRead(e)
	case HostsRead:
		c.platform.listingHosts = false
		c.platform.nextHostList = c.now.Add(hostListInterval)
		c.platformAnswered(e.RequestedAt)
		if e.List.Version > c.platform.hostListVersion {
			c.platform.hostListVersion = e.List.Version
			c.applyDocuments([]gossip.Document{hostsDocument(e.List)})
		}
	case PlatformFailed:
		c.platformFailed(e)
	}
}

func (c *Core) configRead(e ConfigRead) {
	p := &c.platform
	p.readingConfig = false
	p.readOnce = true
	p.shardMapStale = false
	p.revision = max(p.revision, e.Revision)
	p.nextRead = c.now
	if !c.watchesPlatform {
		p.nextRead = c.now.Add(c.jitter(staleLimit))
	}
	c.snapshotStale = true
	c.platformAnswered(e.RequestedAt)
	c.applyDocuments(e.Documents)
	c.documents.ConfirmFresh(e.RequestedAt)
}

func (c *Core) platformFailed(e PlatformFailed) {
	p := &c.platform
	switch e.Command.(type) {
	case ReadConfig:
		p.readingConfig = false
		p.nextRead = c.now.Add(c.jitter(platformRetryInterval))
	case ReadHosts:
		p.listingHosts = false
		p.nextHostList = c.now.Add(c.jitter(platformRetryInterval))
	case ListLeases, ReadGuardedLeases:
		c.listingLeases = false
	}
	if !p.down {
		p.down = true
		c.record(timeline.Event{Kind: timeline.PlatformDown})
	}
}

func (c *Core) platformAnswered(requestedAt time.Time) {
	p := &c.platform
	if requestedAt.After(p.lastAnswered) {
		p.lastAnswered = requestedAt
	}
	c.isolationDetector.RecordPlatformRead(requestedAt)
	if p.down {
		p.down = false
		c.record(timeline.Event{Kind: timeline.PlatformUp})
	}
}

// jitter lengthens a pause by a random duration, so that hosts don't act simultaneously.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d + time.Duration(c.random.Int64N(int64(maxJitter)))
}
