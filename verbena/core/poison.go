package core

import (
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/timeline"
)

// crashReport tracks the sending of a crash report to all hosts. The verdict is given once each has answered or
// failed to, so that none of them runs the request after its caller has learned of the failure.
type crashReport struct {
	record     poison.Record
	unanswered int
	// ticket identifies a local request. For a report from a peer, remote is true and messageID is the message to answer.
	ticket    Ticket
	messageID MessageID
	remote    bool
}

func (c *Core) stepPoison(e Event) {
	switch e := e.(type) {
	case CrashDetected:
		c.crashDetected(e)
	case SuspectCompleted:
		c.suspectCompleted(e)
	}
}

func (c *Core) crashDetected(e CrashDetected) {
	rec := c.poison.RecordCrash(c.now, e.Fingerprint, e.Backend)
	c.holdSuspectSlots(rec)
	report := &crashReport{record: rec, ticket: e.Ticket}
	owner, known := c.ownerOf(workspaceShardName(e.Workspace))
	switch {
	case !known:
		c.emit(CrashVerdict{Ticket: e.Ticket, Verdict: c.poison.Classify(c.now, e.Fingerprint)})
	case owner == c.config.Host:
		c.broadcastCrash(report)
	default:
		c.call(owner, &peer.CrashReport{Workspace: e.Workspace, Record: rec}, report)
	}
}

// broadcastCrash sends a crash report to every known host, as the workspace's owner.
func (c *Core) broadcastCrash(r *crashReport) {
	r.unanswered = 1
	for _, h := range c.sortedPeers() {
		r.unanswered++
		c.call(h, &peer.SuspectUpdate{Record: r.record}, r)
	}
	c.crashReportAnswered(r)
}

func (c *Core) crashReportAnswered(r *crashReport) {
	r.unanswered--
	if r.unanswered > 0 {
		return
	}
	verdict := c.poison.Classify(c.now, r.record.Fingerprint)
	if verdict == poison.Poisonous {
		c.record(timeline.Event{Kind: timeline.RequestPoisonous, Detail: string(r.record.Fingerprint)})
	}
	if r.remote {
		c.emit(ReplyToPeer{r.messageID, &peer.Verdict{Verdict: verdict}})
		return
	}
	c.emit(CrashVerdict{Ticket: r.ticket, Verdict: verdict, Confirmed: true})
}

func (c *Core) suspectCompleted(e SuspectCompleted) {
	if !c.poison.Clear(e.Fingerprint) {
		return
	}
	for _, h := range c.sortedPeers() {
		c.call(h, &peer.SuspectUpdate{Record: poison.Record{Fingerprint: e.Fingerprint}, Cleared: true}, nil)
	}
}

func (c *Core) suspectsReceived(m *peer.SuspectUpdate) {
	if m.Cleared {
		c.poison.Clear(m.Record.Fingerprint)
		return
	}
	c.poison.Merge(c.now, m.Record)
	c.holdSuspectSlots(m.Record)
}

func (c *Core) sortedPeers() []ids.HostID {
	return sortedKeys(c.peers)
}
