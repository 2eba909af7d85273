package core

import (
	"slices"
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/route"
)

// suspectSlotTimeout is how long a server's slot for suspected requests stays reserved if a host doesn't release it.
const suspectSlotTimeout = 30 * time.Second

// suspectSlotFailureHold is how long a server's slot for suspected requests stays taken after a failure of the server.
// While a server goes down it may still accept connections, and its crash would be counted against a second suspect.
const suspectSlotFailureHold = time.Second

// suspectWaitLimit is how long a suspected request waits for a server with a free suspect slot.
const suspectWaitLimit = 5 * time.Second

// suspectPlacement is a suspected request and the server whose manager is asked for the suspect slot.
type suspectPlacement struct {
	request RouteRequested
	server  backend.Server
}

// placeSuspect asks the server's manager for the server's only suspect slot, so that a harmless suspect is never
// part of a second crash that another suspect causes.
func (c *Core) placeSuspect(e RouteRequested, s backend.Server) {
	owner, known := c.ownerOf(managerShardName(s.ID))
	m := &peer.SuspectSlotRequest{From: c.config.Host, Backend: s.ID}
	switch {
	case !known:
		c.suspectRefused(&suspectPlacement{e, s})
	case owner == c.config.Host:
		if !c.updateSuspectSlot(m) {
			c.suspectRefused(&suspectPlacement{e, s})
			return
		}
		c.emitRouted(e, s)
	default:
		c.callPending(owner, m, pendingCall{placement: &suspectPlacement{e, s}})
	}
}

// suspectRefused retries the request on another server.
func (c *Core) suspectRefused(p *suspectPlacement) {
	c.routes.Step(c.now, route.Finished{Backend: p.server.ID, Outcome: route.Abandoned, Suspect: true})
	p.request.Request.Tried = append(slices.Clone(p.request.Request.Tried), p.server.ID)
	p.request.Retry = false // the retry budget has been charged already
	c.route(p.request)
}

// retryWaitingSuspects routes the suspected requests again for which no server was available.
func (c *Core) retryWaitingSuspects() {
	waiting := c.waitingSuspects
	c.waitingSuspects = nil
	for _, e := range waiting {
		e.Request.Tried = e.Request.Tried[:e.triedBefore]
		e.Retry = false // the retry budget has been charged already
		c.route(e)
	}
}

// updateSuspectSlot reserves or releases the suspect slot of a managed server. It returns false if the slot is
// taken or this host doesn't manage the server.
func (c *Core) updateSuspectSlot(m *peer.SuspectSlotRequest) bool {
	switch {
	case m.Release && m.Failed:
		c.suspectSlots[m.Backend] = c.now.Add(suspectSlotFailureHold)
		return true
	case m.Release:
		delete(c.suspectSlots, m.Backend)
		return true
	}
	if _, ok := c.ownedShardFor(managerShardName(m.Backend)); !ok || c.suspectSlots[m.Backend].After(c.now) {
		return false
	}
	c.suspectSlots[m.Backend] = c.now.Add(suspectSlotTimeout)
	return true
}

// releaseSuspectSlot gives a server's suspect slot back to its manager. failed is true if the server failed.
func (c *Core) releaseSuspectSlot(b ids.BackendID, failed bool) {
	owner, known := c.ownerOf(managerShardName(b))
	m := &peer.SuspectSlotRequest{From: c.config.Host, Backend: b, Release: true, Failed: failed}
	switch {
	case !known:
	case owner == c.config.Host:
		c.updateSuspectSlot(m)
	default:
		c.call(owner, m, nil)
	}
}

// holdSuspectSlots keeps suspects away from the servers that crashed while they ran a request. All hosts do so, since
// any of them may be a server's manager.
func (c *Core) holdSuspectSlots(rec poison.Record) {
	until := c.now.Add(suspectSlotFailureHold)
	for _, b := range rec.Backends {
		if c.suspectSlots[b].Before(until) {
			c.suspectSlots[b] = until
		}
	}
}

func (c *Core) suspectSlotRequested(m *peer.SuspectSlotRequest) peer.Message {
	if !c.updateSuspectSlot(m) {
		return &peer.Refusal{Reason: peer.RetryLater}
	}
	return &peer.Ack{}
}
