package core

import (
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/quota"
	"verbenaledge.example/verbena/route"
)

// peerAsked answers a message of a peer.
func (c *Core) peerAsked(e PeerAsked) {
	switch m := e.Message.(type) {
	case *peer.Gossip:
		c.heardGossip(m)
		c.emit(Reply{e.Ask, c.greeting(c.docs.NewerThan(m.Digest))})
		c.fetch(m)
	case *peer.QuotaAsk:
		c.quotaAsked(e.Ask, m)
	case *peer.OnlineNotice:
		c.emit(Reply{e.Ask, &peer.OnlineCount{Online: c.heardNotice(m)}})
	case *peer.Crashed:
		c.crashReported(e.Ask, m)
	case *peer.Suspects:
		c.heardSuspects(m)
		c.emit(Reply{e.Ask, &peer.Ack{}})
	case *peer.ItemsAsk:
		c.giveItems(e.Ask, m)
	case *peer.StopItems:
		c.emit(StopLocalItems{m.Job}, Reply{e.Ask, &peer.Ack{}})
	case *peer.JobChanged:
		c.emit(Reply{e.Ask, c.jobChanged(m)})
	case *peer.PromiseAsk:
		c.emit(Reply{e.Ask, c.promiseAsked(m)})
	case *peer.SuspectAsk:
		c.emit(Reply{e.Ask, c.suspectAsked(m)})
	case *peer.Handover:
		c.handed[m.Shard] = m
		c.emit(Reply{e.Ask, &peer.Ack{}})
	case *peer.ProgressAsk:
		c.emit(Reply{e.Ask, c.progressOf(m)})
	default:
		c.emit(Reply{e.Ask, &peer.Refusal{Reason: peer.Bad}})
	}
}

func (c *Core) quotaAsked(ask AskID, m *peer.QuotaAsk) {
	answer, ok := c.grant(m.Ask)
	if !ok {
		c.emit(Reply{ask, &peer.Refusal{Reason: peer.NotOwner}})
		return
	}
	c.emit(Reply{ask, &peer.QuotaAnswer{Answer: answer}})
}

func (c *Core) crashReported(ask AskID, m *peer.Crashed) {
	if _, ok := c.holds(workspaceOwner(m.Workspace)); !ok {
		c.emit(Reply{ask, &peer.Refusal{Reason: peer.NotOwner}})
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
	c.contact.HeardPeer(p.to, c.now)
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
	case *peer.QuotaAsk:
		if a, ok := e.Message.(*peer.QuotaAnswer); ok {
			c.spend(quota.Answered{Ask: sent.Ask, Answer: a.Answer, Sent: p.sent})
		}
	case *peer.OnlineNotice:
		if n, ok := e.Message.(*peer.OnlineCount); ok {
			c.routes.Step(c.now, route.OnlineReported{Backend: sent.Backend, Online: n.Online})
		}
	case *peer.PromiseAsk:
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
	case *peer.SuspectAsk:
		if p.placing != nil {
			c.routed(p.placing.ask, p.placing.server)
		}
	case *peer.Crashed:
		if v, ok := reply.(*peer.Verdict); ok {
			c.emit(Judged{Ticket: p.verdict.ticket, Verdict: v.Verdict, Known: true})
		}
	case *peer.Suspects:
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
	case *peer.QuotaAsk:
		c.spend(quota.AskFailed{Ask: sent.Ask})
	case *peer.SuspectAsk:
		if p.placing != nil {
			c.suspectRefused(p.placing)
		}
	case *peer.Crashed:
		c.emit(Judged{Ticket: p.verdict.ticket, Verdict: c.poison.Classify(c.now, sent.Record.Fingerprint)})
	case *peer.Suspects:
		if p.verdict != nil {
			c.heardSpread(p.verdict)
		}
	}
}
