package core

import (
	"slices"
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/route"
)

// suspectLimit is how long a suspect keeps its place when its host doesn't give it back.
const suspectLimit = 30 * time.Second

// suspectPatience is how long a suspect waits for a place of its own.
const suspectPatience = 5 * time.Second

// placing is a suspected request that waits for the word of a server's manager.
type placing struct {
	ask    RouteRequested
	server backend.Server
}

// placeSuspect asks the server's manager for the one place that it has for
// suspects, so that no innocent request goes down a second time beside a guilty one.
func (c *Core) placeSuspect(e RouteRequested, s backend.Server) {
	owner, known := c.ownerOf(managerName(s.ID))
	m := &peer.SuspectSlotRequest{From: c.config.Host, Backend: s.ID}
	switch {
	case !known:
		c.suspectRefused(&placing{e, s})
	case owner == c.config.Host:
		if !c.takeSuspect(m) {
			c.suspectRefused(&placing{e, s})
			return
		}
		c.routed(e, s)
	default:
		c.callFor(owner, m, pending{placing: &placing{e, s}})
	}
}

// suspectRefused tries another server.
func (c *Core) suspectRefused(p *placing) {
	c.routes.Step(c.now, route.Finished{Backend: p.server.ID, Outcome: route.Abandoned, Suspect: true})
	p.ask.Request.Tried = append(slices.Clone(p.ask.Request.Tried), p.server.ID)
	p.ask.Retry = false // the retry has been paid for
	c.route(p.ask)
}

// retryParked looks again for places for suspects that found none.
func (c *Core) retryParked() {
	parked := c.parked
	c.parked = nil
	for _, e := range parked {
		e.Request.Tried = e.Request.Tried[:e.tried]
		e.Retry = false // the retry has been paid for
		c.route(e)
	}
}

// takeSuspect gives the place at a managed server to a host.
func (c *Core) takeSuspect(m *peer.SuspectSlotRequest) bool {
	if m.Release {
		delete(c.suspects, m.Backend)
		return true
	}
	if _, ok := c.holds(managerName(m.Backend)); !ok || c.suspects[m.Backend].After(c.now) {
		return false
	}
	c.suspects[m.Backend] = c.now.Add(suspectLimit)
	return true
}

// suspectEnded gives the place back.
func (c *Core) suspectEnded(b ids.BackendID) {
	owner, known := c.ownerOf(managerName(b))
	m := &peer.SuspectSlotRequest{From: c.config.Host, Backend: b, Release: true}
	switch {
	case !known:
	case owner == c.config.Host:
		c.takeSuspect(m)
	default:
		c.call(owner, m, nil)
	}
}

func (c *Core) suspectAsked(m *peer.SuspectSlotRequest) peer.Message {
	if !c.takeSuspect(m) {
		return &peer.Refusal{Reason: peer.RetryLater}
	}
	return &peer.Ack{}
}
