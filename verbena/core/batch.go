package core

import (
	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/timeline"
)

// stepBatch applies an event to the batch queue and executes its commands. If the event is a peer's request for items,
// id identifies the message to answer.
func (c *Core) stepBatch(e batch.Event, id MessageID) {
	if l, ok := e.(batch.JobLoaded); ok {
		a, _ := c.rules.Allow(l.Job.Workspace, l.Job.Service)
		l.Weight = a.BatchWeight
		e = l
		c.record(timeline.Event{Kind: timeline.JobResumed, Job: l.Job.ID, Workspace: l.Job.Workspace})
	}
	for _, cmd := range c.queue.Step(c.now, e) {
		c.executeBatchCommand(cmd, id)
	}
}

func (c *Core) executeBatchCommand(cmd batch.Command, id MessageID) {
	switch cmd := cmd.(type) {
	case batch.AssignItems:
		c.emit(SendItems{MessageID: id, Manager: cmd.Manager, Items: cmd.Items})
	case batch.StoreResult:
		c.emit(StoreResult{c.jobShard(cmd.Result.Job), cmd.Result})
	case batch.FailItem:
		c.emit(FailItem{cmd.Item, cmd.Reason})
	case batch.CancelItems:
		c.cancelItems(cmd)
	case batch.CloseJob:
		c.emit(CloseJob{c.jobShard(cmd.Job), cmd})
	}
}

func (c *Core) jobShard(j ids.JobID) ids.ShardID {
	return batch.ShardOf(j, c.config.Shards)
}

func (c *Core) cancelItems(cmd batch.CancelItems) {
	if cmd.Manager == c.config.Host {
		c.emit(CancelLocalItems{cmd.Job})
		return
	}
	c.call(cmd.Manager, &peer.CancelItems{Job: cmd.Job}, nil)
}

// itemsRequested answers a manager's request for batch items. It gives none unless the host's lease is valid and the
// host can keep results.
func (c *Core) itemsRequested(id MessageID, m *peer.ItemsRequest) {
	if !c.leaseValid() || c.backpressure || c.draining {
		c.emit(ReplyToPeer{id, &peer.ItemsReply{}})
		return
	}
	before := len(c.commands)
	c.stepBatch(batch.ItemsRequested{Manager: m.From, Service: m.Service, Max: m.Max}, id)
	if len(c.commands) == before {
		c.emit(ReplyToPeer{id, &peer.ItemsReply{}})
	}
}

// jobChanged reads a job's object again if this host owns the job.
func (c *Core) jobChanged(m *peer.JobChanged) peer.Message {
	s := c.jobShard(m.Job)
	if _, held := c.owned[s]; !held {
		return &peer.Refusal{Reason: peer.NotOwner}
	}
	c.emit(ReadJob{Job: m.Job, Shard: s})
	return &peer.Ack{}
}

func (c *Core) progressOf(m *peer.ProgressRequest) peer.Message {
	p, known := c.queue.Progress(m.Job)
	return &peer.Progress{Known: known, Completed: p.Committed - p.Failed, Failed: p.Failed}
}
