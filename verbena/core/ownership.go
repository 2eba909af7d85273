package core

import (
	"fmt"
	"slices"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/lease"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/quota"
	"verbenaledge.example/verbena/shard"
	"verbenaledge.example/verbena/timeline"
)

// tickOwnership renews the host's lease and polls those of other hosts.
func (c *Core) tickOwnership() {
	c.checkPeerMajority()
	if !c.cutOffFromPeers {
		c.executeLeaseCommands(c.holder.Step(c.now, lease.Tick{Guards: c.chooseGuards()}))
	}
	c.dropWithoutLease()
	c.tickGuards()
	c.pollLeases()
}

func (c *Core) executeLeaseCommands(cmds []lease.Command) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case lease.Acquired:
			c.snapshotStale = true
			c.nextLeaseListing = c.now
			c.record(timeline.Event{Kind: timeline.LeaseAcquired, Detail: fmt.Sprintf("term %d", cmd.Term)})
		case lease.Lost:
			c.snapshotStale = true
			c.record(timeline.Event{Kind: timeline.LeaseLost, Detail: fmt.Sprintf("term %d", cmd.Term)})
			c.dropWithoutLease()
		default:
			c.emit(WriteLease{cmd})
		}
	}
}

func (c *Core) stepOwnership(e Event) {
	switch e := e.(type) {
	case LeaseWritten:
		c.snapshotStale = true
		c.platformAnswered(e.Written.Sent)
		c.executeLeaseCommands(c.holder.Step(c.now, e.Written))
		c.updateOwned()
	case LeaseWriteFailed:
		c.executeLeaseCommands(c.holder.Step(c.now, e.Failed))
	case LeasesListed:
		c.leasesListed(e)
	case GuardedLeasesRead:
		c.guardedLeasesRead(e)
	case LeaseGuardsRead:
		c.leaseGuardsRead(e)
	case LeaseBreakEnded:
		c.leaseBreakEnded(e)
	case ShardMapWritten:
		c.shardMapWritten(e)
	case ShardReady:
		c.shardReady(e)
	case ShardSuperseded:
		c.dropShard(e.Shard)
	}
}

// leasesListed starts to break expired leases and reassigns shards whose owner holds no lease. A listing older
// than the shard map reassigns nothing: it may lack a lease that the map names.
func (c *Core) leasesListed(e LeasesListed) {
	c.listingLeases = false
	c.platformAnswered(e.RequestedAt)
	for _, l := range c.monitor.Observe(e.RequestedAt, e.AnsweredAt, e.Leases) {
		c.emit(ReadLeaseGuards{l})
	}
	if e.Revision < c.documents.Version(gossip.Shards) || !c.platform.readOnce || c.writingShardMap || c.draining {
		return
	}
	live := c.monitor.Live()
	if len(live) == 0 {
		return
	}
	if next, changed := shard.Assign(c.shards, c.config.Shards, live); changed {
		c.writeShardMap(next)
		return
	}
	c.handOver(live)
}

// handOver hands over the shards that this host owns above its share. It stops acting on them before any host
// can learn of the new owner.
func (c *Core) handOver(live map[ids.HostID]ids.Term) {
	if c.holder.Term() == 0 || live[c.config.Host] != c.holder.Term() {
		return
	}
	next, handedOver := shard.HandOver(c.shards, c.config.Host, live)
	c.pauseJobs(handedOver)
	handedOver = slices.DeleteFunc(handedOver, func(s ids.ShardID) bool {
		if c.isIdle(s) {
			return false
		}
		next[s] = c.shards[s]
		return true
	})
	if len(handedOver) == 0 {
		c.reclaim(next)
		return
	}
	for _, s := range handedOver {
		c.handingOver[s] = c.shards[s].Epoch
		c.releaseShard(s)
	}
	c.writeShardMap(next)
}

// pauseJobs pauses the jobs of the shards that are to be handed over, so that the shards become idle, and resumes all
// other jobs.
func (c *Core) pauseJobs(handedOver []ids.ShardID) {
	for _, p := range c.queue.Jobs() {
		c.queue.Step(c.now, batch.JobPaused{Job: p.Job.ID, Paused: slices.Contains(handedOver, c.jobShard(p.Job.ID))})
	}
}

// isIdle reports whether a shard can change its owner without any item running twice.
func (c *Core) isIdle(s ids.ShardID) bool {
	return !slices.ContainsFunc(c.queue.Jobs(), func(p batch.Progress) bool {
		return c.jobShard(p.Job.ID) == s && (p.Running > 0 || p.Finished > p.Committed)
	})
}

// reclaim takes back, under a new epoch, the shards whose handover was not confirmed. The handover's write may
// still be in flight: both writes expect the same version of the map, so that only one of them succeeds.
func (c *Core) reclaim(next shard.Map) {
	if len(c.handingOver) == 0 {
		return
	}
	for s, e := range c.handingOver {
		if next[s].Epoch == e {
			next[s].Epoch++
		}
	}
	c.writeShardMap(next)
}

func (c *Core) writeShardMap(m shard.Map) {
	c.writingShardMap = true
	c.emit(WriteShardMap{Expected: c.documents.Version(gossip.Shards), Value: m.Marshal()})
}

func (c *Core) shardMapWritten(e ShardMapWritten) {
	c.writingShardMap = false
	if e.OK {
		c.applyDocuments([]gossip.Document{{Name: gossip.Shards, Version: e.Version, Value: e.Value}})
		return
	}
	// Another host has written the map, or the platform is unreachable: read the map again.
	c.platform.nextRead = c.now
	c.platform.shardMapStale = true
}

func (c *Core) applyShardMap(d gossip.Document) error {
	m, err := shard.Parse(d.Value)
	if err != nil {
		return err
	}
	c.shards = m
	clear(c.handingOver)
	c.updateOwned()
	c.stepBatch(batch.ManagersChanged{Hosts: m.Owners()}, 0)
	return nil
}

// updateOwned drops and acquires shards according to the shard map.
func (c *Core) updateOwned() {
	mine := map[ids.ShardID]ids.Epoch{}
	for _, s := range c.shards.Owned(c.config.Host, c.holder.Term()) {
		if c.handingOver[s] != c.shards[s].Epoch {
			mine[s] = c.shards[s].Epoch
		}
	}
	for _, s := range c.ownedShards() {
		if mine[s] != c.owned[s].epoch {
			c.dropShard(s)
		}
	}
	if c.holder.Term() == 0 {
		return
	}
	for _, s := range c.shards.Owned(c.config.Host, c.holder.Term()) {
		if _, held := c.owned[s]; held || mine[s] == 0 {
			continue
		}
		c.owned[s] = ownedShard{epoch: mine[s], since: c.now}
		c.recheckManagedServers = true
		c.record(timeline.Event{Kind: timeline.ShardAcquired, Detail: fmt.Sprintf("shard %d epoch %d", s, mine[s])})
		c.emit(OpenShard{s, mine[s]})
	}
}

// dropWithoutLease drops all shards once the lease's term has ended.
func (c *Core) dropWithoutLease() {
	if c.holder.Term() != 0 {
		return
	}
	for _, s := range c.ownedShards() {
		c.dropShard(s)
	}
}

// releaseShard drops a shard after it has sent all hosts what the next owner needs to know.
func (c *Core) releaseShard(s ids.ShardID) {
	owned, held := c.owned[s]
	if !held || !c.leaseValid() {
		c.dropShard(s)
		return
	}
	tenure := c.tenureOf(s, owned)
	m := &peer.Handover{Shard: s, Epoch: owned.epoch, Complete: tenure.UntrackedAreFull(c.now, c.config.Quota)}
	m.Balances = c.ledger.Balances(c.now, tenure, func(b quota.Bucket) bool {
		return shard.ForName(b.ShardName(), c.config.Shards) == s
	})
	c.handovers[s] = m
	c.dropShard(s)
	for _, h := range c.sortedPeers() {
		c.call(h, m, nil)
	}
}

func (c *Core) dropShard(s ids.ShardID) {
	owned, held := c.owned[s]
	if !held {
		return
	}
	delete(c.owned, s)
	c.recheckManagedServers = true
	c.record(timeline.Event{Kind: timeline.ShardLost, Detail: fmt.Sprintf("shard %d epoch %d", s, owned.epoch)})
	c.emit(CloseShard{s, owned.epoch})
	c.ledger.Drop(func(b quota.Bucket) bool { return shard.ForName(b.ShardName(), c.config.Shards) == s })
	for _, p := range c.queue.Jobs() {
		if batch.ShardOf(p.Job.ID, c.config.Shards) == s {
			c.queue.Step(c.now, batch.JobDropped{Job: p.Job.ID})
		}
	}
}

func (c *Core) shardReady(e ShardReady) {
	owned, held := c.owned[e.Shard]
	if !held || owned.epoch != e.Epoch {
		return
	}
	owned.ready = true
	c.owned[e.Shard] = owned
}

// ownedShards returns the owned shards in order.
func (c *Core) ownedShards() []ids.ShardID {
	list := make([]ids.ShardID, 0, len(c.owned))
	for s := range c.owned {
		list = append(list, s)
	}
	slices.Sort(list)
	return list
}

// ownedShardFor returns the shard of a name. ok is true if this host may act as its owner now.
func (c *Core) ownedShardFor(name string) (owned ownedShard, ok bool) {
	s, known := c.shards.ForName(name)
	if !known {
		return ownedShard{}, false
	}
	owned, held := c.owned[s]
	return owned, held && c.leaseValid()
}

func (c *Core) leaseValid() bool {
	return c.holder.Valid(c.now)
}

func (c *Core) ownerOf(name string) (h ids.HostID, ok bool) {
	s, known := c.shards.ForName(name)
	if !known || c.shards[s].Owner == "" {
		return "", false
	}
	return c.shards[s].Owner, true
}

// releaseLease releases all shards and the lease for good, because the host is stopping.
func (c *Core) releaseLease() {
	for _, s := range c.ownedShards() {
		c.releaseShard(s)
	}
	c.executeLeaseCommands(c.holder.Step(c.now, lease.Release{}))
}
