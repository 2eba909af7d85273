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

// tickOwnership renews the host's lease and looks at those of others.
func (c *Core) tickOwnership() {
	c.judgeReach()
	if !c.cutFromPeers {
		c.runLease(c.holder.Step(c.now, lease.Tick{Guards: c.chooseGuards()}))
	}
	c.dropLapsed()
	c.tickGuards()
	c.watchLeases()
}

func (c *Core) runLease(cmds []lease.Command) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case lease.Acquired:
			c.dirty = true
			c.nextList = c.now
			c.record(timeline.Event{Kind: timeline.LeaseAcquired, Detail: fmt.Sprintf("term %d", cmd.Term)})
		case lease.Lost:
			c.dirty = true
			c.record(timeline.Event{Kind: timeline.LeaseLost, Detail: fmt.Sprintf("term %d", cmd.Term)})
			c.dropLapsed()
		default:
			c.emit(WriteLease{cmd})
		}
	}
}

func (c *Core) stepOwnership(e Event) {
	switch e := e.(type) {
	case LeaseWritten:
		c.dirty = true
		c.platformAnswered(e.Written.Sent)
		c.runLease(c.holder.Step(c.now, e.Written))
		c.takeOwned()
	case LeaseWriteFailed:
		c.runLease(c.holder.Step(c.now, e.Failed))
	case LeasesListed:
		c.leasesListed(e)
	case GuardedLeasesRead:
		c.wardsRead(e)
	case LeaseGuardsRead:
		c.leaseRead(e)
	case LeaseBreakEnded:
		c.leaseBreakEnded(e)
	case ShardMapWritten:
		c.shardsWritten(e)
	case ShardReady:
		c.shardReady(e)
	case ShardSuperseded:
		c.lose(e.Shard)
	}
}

// leasesListed breaks leases that have ended and gives their shards away. A
// listing older than the map is not used: it may lack a lease that the map names.
func (c *Core) leasesListed(e LeasesListed) {
	c.listing = false
	c.platformAnswered(e.RequestedAt)
	for _, seen := range c.monitor.Observe(e.RequestedAt, e.AnsweredAt, e.Leases) {
		c.emit(ReadLeaseGuards{seen})
	}
	if e.Revision < c.docs.Version(gossip.Shards) || !c.platform.readOnce || c.writing || c.draining {
		return
	}
	live := c.monitor.Live()
	if len(live) == 0 {
		return
	}
	if next, changed := shard.Assign(c.shards, c.config.Shards, live); changed {
		c.writeShards(next)
		return
	}
	c.handOver(live)
}

// handOver gives away what this host holds above its share. It stops acting on
// those shards before anybody can learn that they have a new owner.
func (c *Core) handOver(live map[ids.HostID]ids.Term) {
	if c.holder.Term() == 0 || live[c.config.Host] != c.holder.Term() {
		return
	}
	next, given := shard.HandOver(c.shards, c.config.Host, live)
	c.hold(given)
	given = slices.DeleteFunc(given, func(s ids.ShardID) bool {
		if c.quiet(s) {
			return false
		}
		next[s] = c.shards[s]
		return true
	})
	if len(given) == 0 {
		c.reclaim(next)
		return
	}
	for _, s := range given {
		c.surrendered[s] = c.shards[s].Epoch
		c.leave(s)
	}
	c.writeShards(next)
}

// hold gives out no more items of the shards that are to be given away, so that
// they come to rest.
func (c *Core) hold(given []ids.ShardID) {
	for _, p := range c.queue.Jobs() {
		c.queue.Step(c.now, batch.JobPaused{Job: p.Job.ID, Paused: slices.Contains(given, c.jobShard(p.Job.ID))})
	}
}

// quiet tells whether a shard can change its owner without any item running twice.
func (c *Core) quiet(s ids.ShardID) bool {
	return !slices.ContainsFunc(c.queue.Jobs(), func(p batch.Progress) bool {
		return c.jobShard(p.Job.ID) == s && (p.Running > 0 || p.Finished > p.Committed)
	})
}

// reclaim takes shards back whose hand-over got no answer, under a new epoch: the
// write may still be on its way, and a write at the same version fences it.
func (c *Core) reclaim(next shard.Map) {
	if len(c.surrendered) == 0 {
		return
	}
	for s, epoch := range c.surrendered {
		if next[s].Epoch == epoch {
			next[s].Epoch++
		}
	}
	c.writeShards(next)
}

func (c *Core) writeShards(m shard.Map) {
	c.writing = true
	c.emit(WriteShardMap{Expected: c.docs.Version(gossip.Shards), Value: m.Marshal()})
}

func (c *Core) shardsWritten(e ShardMapWritten) {
	c.writing = false
	if e.OK {
		c.learn([]gossip.Document{{Name: gossip.Shards, Version: e.Version, Value: e.Value}})
		return
	}
	// Another host has written the map, or the platform is away: read it again.
	c.platform.nextRead = c.now
	c.platform.staleMap = true
}

func (c *Core) takeShards(d gossip.Document) error {
	m, err := shard.Parse(d.Value)
	if err != nil {
		return err
	}
	c.shards = m
	clear(c.surrendered)
	c.takeOwned()
	c.stepBatch(batch.ManagersChanged{Hosts: m.Owners()}, 0)
	return nil
}

// takeOwned compares the map with what the host holds.
func (c *Core) takeOwned() {
	mine := map[ids.ShardID]ids.Epoch{}
	for _, s := range c.shards.Owned(c.config.Host, c.holder.Term()) {
		if c.surrendered[s] != c.shards[s].Epoch {
			mine[s] = c.shards[s].Epoch
		}
	}
	for _, s := range c.ownedShards() {
		if mine[s] != c.owned[s].epoch {
			c.lose(s)
		}
	}
	if c.holder.Term() == 0 {
		return
	}
	for _, s := range c.shards.Owned(c.config.Host, c.holder.Term()) {
		if _, held := c.owned[s]; held || mine[s] == 0 {
			continue
		}
		c.owned[s] = tenure{epoch: mine[s], since: c.now}
		c.remanage = true
		c.record(timeline.Event{Kind: timeline.ShardAcquired, Detail: fmt.Sprintf("shard %d epoch %d", s, mine[s])})
		c.emit(OpenShard{s, mine[s]})
	}
}

// dropLapsed lets go of everything once the lease has been lost for good.
func (c *Core) dropLapsed() {
	if c.holder.Term() != 0 {
		return
	}
	for _, s := range c.ownedShards() {
		c.lose(s)
	}
}

// leave lets a shard go in order: it tells all hosts what a successor needs to know.
func (c *Core) leave(s ids.ShardID) {
	t, held := c.owned[s]
	if !held || !c.mayAct() {
		c.lose(s)
		return
	}
	q := c.shardTenure(s, t)
	m := &peer.Handover{Shard: s, Epoch: t.epoch, Complete: q.UntrackedAreFull(c.now, c.config.Quota)}
	m.Balances = c.ledger.Balances(c.now, q, func(b quota.Bucket) bool {
		return shard.ForName(b.ShardName(), c.config.Shards) == s
	})
	c.handed[s] = m
	c.lose(s)
	for _, h := range c.sortedPeers() {
		c.call(h, m, nil)
	}
}

func (c *Core) lose(s ids.ShardID) {
	t, held := c.owned[s]
	if !held {
		return
	}
	delete(c.owned, s)
	c.remanage = true
	c.record(timeline.Event{Kind: timeline.ShardLost, Detail: fmt.Sprintf("shard %d epoch %d", s, t.epoch)})
	c.emit(CloseShard{s, t.epoch})
	c.ledger.Drop(func(b quota.Bucket) bool { return shard.ForName(b.ShardName(), c.config.Shards) == s })
	for _, p := range c.queue.Jobs() {
		if batch.ShardOf(p.Job.ID, c.config.Shards) == s {
			c.queue.Step(c.now, batch.JobDropped{Job: p.Job.ID})
		}
	}
}

func (c *Core) shardReady(e ShardReady) {
	t, held := c.owned[e.Shard]
	if !held || t.epoch != e.Epoch {
		return
	}
	t.ready = true
	c.owned[e.Shard] = t
}

// holds tells whether the host may act as a name's owner at this moment.
func (c *Core) holds(name string) (t tenure, ok bool) {
	s, known := c.shards.ForName(name)
	if !known {
		return tenure{}, false
	}
	t, held := c.owned[s]
	return t, held && c.mayAct()
}

func (c *Core) mayAct() bool {
	return c.holder.Valid(c.now)
}

func (c *Core) ownerOf(name string) (h ids.HostID, ok bool) {
	s, known := c.shards.ForName(name)
	if !known || c.shards[s].Owner == "" {
		return "", false
	}
	return c.shards[s].Owner, true
}

// releaseLease gives the lease back, for a host whose work is done.
func (c *Core) releaseLease() {
	for _, s := range c.ownedShards() {
		c.leave(s)
	}
	c.runLease(c.holder.Step(c.now, lease.Release{}))
}
