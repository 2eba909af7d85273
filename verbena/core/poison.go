package core

import (
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/timeline"
)

// spreading is a crash report that other hosts are being told of. Its verdict is
// given once each has heard or failed to answer, so that none of them runs the
// request after its caller has learned of the failure.
type spreading struct {
	record  poison.Record
	waiting int
	// ticket is the caller's on this host, or ask the message of a peer.
	ticket Ticket
	ask    MessageID
	remote bool
}

func (c *Core) stepPoison(e Event) {
	switch e := e.(type) {
	case CrashDetected:
		c.crashSeen(e)
	case SuspectCompleted:
		c.ranWell(e)
	}
}

func (c *Core) crashSeen(e CrashDetected) {
	rec := c.poison.RecordCrash(c.now, e.Fingerprint, e.Backend)
	s := &spreading{record: rec, ticket: e.Ticket}
	owner, known := c.ownerOf(workspaceOwner(e.Workspace))
	switch {
	case !known:
		c.emit(CrashVerdict{Ticket: e.Ticket, Verdict: c.poison.Classify(c.now, e.Fingerprint)})
	case owner == c.config.Host:
		c.spreadCrash(s)
	default:
		c.call(owner, &peer.CrashReport{Workspace: e.Workspace, Record: rec}, s)
	}
}

// spreadCrash tells every known host, as the workspace's owner.
func (c *Core) spreadCrash(s *spreading) {
	s.waiting = 1
	for _, h := range c.sortedPeers() {
		s.waiting++
		c.call(h, &peer.SuspectUpdate{Record: s.record}, s)
	}
	c.heardSpread(s)
}

func (c *Core) heardSpread(s *spreading) {
	s.waiting--
	if s.waiting > 0 {
		return
	}
	verdict := c.poison.Classify(c.now, s.record.Fingerprint)
	if verdict == poison.Poisonous {
		c.record(timeline.Event{Kind: timeline.RequestPoisonous, Detail: string(s.record.Fingerprint)})
	}
	if s.remote {
		c.emit(ReplyToPeer{s.ask, &peer.Verdict{Verdict: verdict}})
		return
	}
	c.emit(CrashVerdict{Ticket: s.ticket, Verdict: verdict, Confirmed: true})
}

func (c *Core) ranWell(e SuspectCompleted) {
	if !c.poison.Clear(e.Fingerprint) {
		return
	}
	for _, h := range c.sortedPeers() {
		c.call(h, &peer.SuspectUpdate{Record: poison.Record{Fingerprint: e.Fingerprint}, Cleared: true}, nil)
	}
}

func (c *Core) heardSuspects(m *peer.SuspectUpdate) {
	if m.Cleared {
		c.poison.Clear(m.Record.Fingerprint)
		return
	}
	c.poison.Merge(c.now, m.Record)
}

func (c *Core) sortedPeers() []ids.HostID {
	return sortedKeys(c.peers)
}
