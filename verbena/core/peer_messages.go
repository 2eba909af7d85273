package core

import (
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/quota"
	"verbenaledge.example/verbena/route"
)

// peerMessageReceived answers a peer's message.
func (c *Core) peerMessageReceived(e PeerMessageReceived) {
	switch m := e.Message.(type) {
	case *peer.Gossip:
		c.gossipReceived(m)
		c.emit(ReplyToPeer{e.MessageID, c.gossipMessage(c.documents.NewerThan(m.Digest))})
		c.fetchDocuments(m)
	case *peer.QuotaRequest:
		c.tokensRequested(e.MessageID, m)
	case *peer.OnlineReport:
		c.emit(ReplyToPeer{e.MessageID, &peer.OnlineCount{Online: c.onlineReported(m)}})
	case *peer.CrashReport:
		c.crashReported(e.MessageID, m)
	case *peer.SuspectUpdate:
		c.suspectsReceived(m)
		c.emit(ReplyToPeer{e.MessageID, &peer.Ack{}})
	case *peer.ItemsRequest:
		c.itemsRequested(e.MessageID, m)
	case *peer.CancelItems:
		c.emit(CancelLocalItems{m.Job}, ReplyToPeer{e.MessageID, &peer.Ack{}})
	case *peer.JobChanged:
		c.emit(ReplyToPeer{e.MessageID, c.jobChanged(m)})
	case *peer.PromiseRequest:
		c.emit(ReplyToPeer{e.MessageID, c.promiseRequested(m)})
	case *peer.SuspectSlotRequest:
		c.emit(ReplyToPeer{e.MessageID, c.suspectSlotRequested(m)})
	case *peer.Handover:
		c.handovers[m.Shard] = m
		c.emit(ReplyToPeer{e.MessageID, &peer.Ack{}})
	case *peer.ProgressRequest:
		c.emit(ReplyToPeer{e.MessageID, c.progressOf(m)})
	default:
		c.emit(ReplyToPeer{e.MessageID, &peer.Refusal{Reason: peer.BadMessage}})
	}
}

func (c *Core) tokensRequested(id MessageID, m *peer.QuotaRequest) {
	resp, ok := c.grantTokens(m.Request)
	if !ok {
		c.emit(ReplyToPeer{id, &peer.Refusal{Reason: peer.NotOwner}})
		return
	}
	c.emit(ReplyToPeer{id, &peer.QuotaReply{Response: resp}})
}

func (c *Core) crashReported(id MessageID, m *peer.CrashReport) {
	if _, ok := c.ownedShardFor(workspaceShardName(m.Workspace)); !ok {
		c.emit(ReplyToPeer{id, &peer.Refusal{Reason: peer.NotOwner}})
		return
	}
	c.poison.Merge(c.now, m.Record)
	c.holdSuspectSlots(m.Record)
	c.broadcastCrash(&crashReport{record: m.Record, messageID: id, remote: true})
}

// peerReplyReceived handles the reply to a message of this host.
func (c *Core) peerReplyReceived(e PeerReplied) {
	p, known := c.pendingCalls[e.Call]
	if !known {
		return
	}
	delete(c.pendingCalls, e.Call)
	c.isolationDetector.RecordPeerContact(p.to, c.now)
	if _, refused := e.Message.(*peer.Refusal); refused {
		c.peerCallFailed(p)
		return
	}
	switch sent := p.message.(type) {
	case *peer.Gossip:
		if g, ok := e.Message.(*peer.Gossip); ok {
			c.gossipReceived(g)
			c.confirmFreshness(g, p.sentAt)
		}
	case *peer.QuotaRequest:
		if r, ok := e.Message.(*peer.QuotaReply); ok {
			c.stepQuota(quota.ResponseReceived{Request: sent.Request, Response: r.Response, SentAt: p.sentAt})
		}
	case *peer.OnlineReport:
		if n, ok := e.Message.(*peer.OnlineCount); ok {
			c.routes.Step(c.now, route.OnlineReported{Backend: sent.Backend, Online: n.Online})
		}
	case *peer.PromiseRequest:
		if r, ok := e.Message.(*peer.PromiseReply); ok {
			c.promiseReplyReceived(p, sent, r)
		}
	default:
		c.poisonReplyReceived(p, e.Message)
	}
}

// poisonReplyReceived handles replies to messages about requests that crash servers.
func (c *Core) poisonReplyReceived(p pendingCall, reply peer.Message) {
	switch p.message.(type) {
	case *peer.SuspectSlotRequest:
		if p.placement != nil {
			c.emitRouted(p.placement.request, p.placement.server)
		}
	case *peer.CrashReport:
		if v, ok := reply.(*peer.Verdict); ok {
			c.emit(CrashVerdict{Ticket: p.crash.ticket, Verdict: v.Verdict, Confirmed: true})
		}
	case *peer.SuspectUpdate:
		if p.crash != nil {
			c.crashReportAnswered(p.crash)
		}
	}
}

func (c *Core) peerFailed(e PeerFailed) {
	p, known := c.pendingCalls[e.Call]
	if !known {
		return
	}
	delete(c.pendingCalls, e.Call)
	c.peerCallFailed(p)
}

func (c *Core) peerCallFailed(p pendingCall) {
	switch sent := p.message.(type) {
	case *peer.QuotaRequest:
		c.stepQuota(quota.RequestFailed{Request: sent.Request})
	case *peer.SuspectSlotRequest:
		if p.placement != nil {
			c.suspectRefused(p.placement)
		}
	case *peer.CrashReport:
		c.emit(CrashVerdict{Ticket: p.crash.ticket, Verdict: c.poison.Classify(c.now, sent.Record.Fingerprint)})
	case *peer.SuspectUpdate:
		if p.crash != nil {
			c.crashReportAnswered(p.crash)
		}
	}
}
