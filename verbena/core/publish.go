package core

import (
	"maps"

	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/lease"
	"verbenaledge.example/verbena/timeline"
)

// publish emits a new snapshot if anything in it has changed.
func (c *Core) publish() {
	c.checkIsolation()
	if !c.snapshotStale {
		return
	}
	c.snapshotStale = false
	next := Snapshot{
		Rules:    c.rules,
		Keys:     c.keys,
		Versions: c.documents.Digest(),
		Ready:    c.documents.Version(gossip.Rules) > 0 || c.platform.readOnce,
		Isolated: c.isolated,
		Draining: c.draining,
		Shards:   c.shards,
		Lease:    lease.ID{Host: c.config.Host, Term: c.holder.Term()},
		ActUntil: c.holder.ActUntil(),
	}
	next.Peers = maps.Clone(c.peers)
	c.emit(Publish{&next})
}

func (c *Core) checkIsolation() {
	isolated := c.isolationDetector.Isolated(c.now)
	if isolated == c.isolated {
		return
	}
	c.isolated = isolated
	c.snapshotStale = true
	kind := timeline.HostRejoined
	if isolated {
		kind = timeline.HostIsolated
	}
	c.record(timeline.Event{Kind: kind})
}
