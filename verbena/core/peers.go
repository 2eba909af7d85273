package core

import (
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/quota"
	"verbenaledge.example/verbena/route"
)

// peerAsked answers a message of a peer.
func (c *Core) peerAsked(e PeerMessageReceived) {
	switch m := e.Message.(type) {
	case *peer.Gossip:
		c.heardGossip(m)
		c.emit(ReplyToPeer{e.MessageID, c.greeting(c.docs.NewerThan(m.Digest))})
		c.fetch(m)
	case *peer.QuotaRequest:
		c.quotaAsked(e.MessageID, m)
	case *peer.OnlineReport:
		c.emit(ReplyToPeer{e.MessageID, &peer.OnlineCount{Online: c.heardNotice(m)}})
	case *peer.CrashReport:
		c.crashReported(e.MessageID, m)
	case *peer.SuspectUpdate:
		c.heardSuspects(m)
		c.emit(ReplyToPeer{e.MessageID, &peer.Ack{}})
	case *peer.ItemsRequest:
		c.giveItems(e.MessageID, m)
	case *peer.CancelItems:
		c.emit(StopLocalItems{m.Job}, ReplyToPeer{e.MessageID, &peer.Ack{}})
	case *peer.JobChanged:
		c.emit(ReplyToPeer{e.MessageID, c.jobChanged(m)})
	case *peer.PromiseRequest:
		c.emit(ReplyToPeer{e.MessageID, c.promiseAsked(m)})
	case *peer.SuspectSlotRequest:
		c.emit(ReplyToPeer{e.MessageID, c.suspectAsked(m)})
	case *peer.Handover:
		c.handed[m.Shard] = m
		c.emit(ReplyToPeer{e.MessageID, &peer.Ack{}})
	case *peer.ProgressRequest:
		c.emit(ReplyToPeer{e.MessageID, c.progressOf(m)})
	default:
		c.emit(ReplyToPeer{e.MessageID, &peer.Refusal{Reason: peer.BadMessage}})
	}
}

func (c *Core) quotaAsked(ask MessageID, m *peer.QuotaRequest) {
	answer, ok := c.grant(m.Request)
	if !ok {
		c.emit(ReplyToPeer{ask, &peer.Refusal{Reason: peer.NotOwner}})
		return
	}
	c.emit(ReplyToPeer{ask, &peer.QuotaReply{Response: answer}})
}

func (c *Core) crashReported(ask MessageID, m *peer.CrashReport) {
	if _, ok := c.holds(workspaceOwner(m.Workspace)); !ok {
		c.emit(ReplyToPeer{ask, &peer.Refusal{Reason: peer.NotOwner}})
		return
	}
	c.poison.Merge(c.now, m.Record)
	c.spreadCrash(&spreading{record: m.Record, ask: ask, remote: true})
}

// peerReplied takes the reply to a message of this host.
func (c *Core) peerReplied(e PeerReplied) {
	p, known := c.backlog[e.Call]
	if !known {
		return
	}
	delete(c.backlog, e.Call)
	c.contact.RecordPeerReply(p.to, c.now)
	if _, refused := e.Message.(*peer.Refusal); refused {
		c.callFailed(p)
		return
	}
	switch sent := p.message.(type) {
	case *peer.Gossip:
		if g, ok := e.Message.(*peer.Gossip); ok {
			c.heardGossip(g)
			c.confirm(g, p.sent)
		}
	case *peer.QuotaRequest:
		if a, ok := e.Message.(*peer.QuotaReply); ok {
			c.spend(quota.ResponseReceived{Request: sent.Request, Response: a.Response, Sent: p.sent})
		}
	case *peer.OnlineReport:
		if n, ok := e.Message.(*peer.OnlineCount); ok {
			c.routes.Step(c.now, route.OnlineReported{Backend: sent.Backend, Online: n.Online})
		}
	case *peer.PromiseRequest:
		if r, ok := e.Message.(*peer.PromiseReply); ok {
			c.promiseReplied(p, sent, r)
		}
	default:
		c.poisonReplied(p, e.Message)
	}
}

// poisonReplied takes replies to what is said of requests that crash servers.
func (c *Core) poisonReplied(p pending, reply peer.Message) {
	switch p.message.(type) {
	case *peer.SuspectSlotRequest:
		if p.placing != nil {
			c.routed(p.placing.ask, p.placing.server)
		}
	case *peer.CrashReport:
		if v, ok := reply.(*peer.Verdict); ok {
			c.emit(CrashVerdict{Ticket: p.verdict.ticket, Verdict: v.Verdict, Confirmed: true})
		}
	case *peer.SuspectUpdate:
		if p.verdict != nil {
			c.heardSpread(p.verdict)
		}
	}
}

func (c *Core) peerFailed(e PeerFailed) {
	p, known := c.backlog[e.Call]
	if !known {
		return
	}
	delete(c.backlog, e.Call)
	c.callFailed(p)
}

func (c *Core) callFailed(p pending) {
	switch sent := p.message.(type) {
	case *peer.QuotaRequest:
		c.spend(quota.RequestFailed{Request: sent.Request})
	case *peer.SuspectSlotRequest:
		if p.placing != nil {
			c.suspectRefused(p.placing)
		}
	case *peer.CrashReport:
		c.emit(CrashVerdict{Ticket: p.verdict.ticket, Verdict: c.poison.Classify(c.now, sent.Record.Fingerprint)})
	case *peer.SuspectUpdate:
		if p.verdict != nil {
			c.heardSpread(p.verdict)
		}
	}
}
