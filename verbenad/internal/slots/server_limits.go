package slots

import (
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// ReportLimit applies what an answer says of its server's limit, and reports it to the placers if they have other
// information. It is called as soon as the head of the answer is read, since a stream may last long. A late answer is one to an
// earlier request, whose place among other answers isn't known.
func (c *Client) ReportLimit(slot *Slot, s limit.Statement, late bool) {
	c.mu.Lock()
	defer c.unlockAndEnqueue()
	now, id := c.clock.Now(), slot.Server.ID
	report, heldSince := dispatch.LimitReport{Ticket: slot.ticket, Server: id, Statement: s}, slot.heldSince
	if late {
		report.Ticket, heldSince = 0, time.Time{}
	}
	before := c.limits.of(id)
	if c.limits.observe(now, heldSince, id, s) {
		c.localEvents = append(c.localEvents, dispatch.LimitStated{Host: c.host, Report: report, HeldSince: heldSince})
	}
	c.limitLog.record(limitChange{server: id, service: slot.Server.Service, stated: s, before: before, now: c.limits.of(id)})
	if s.Kind == limit.Unreadable || s == slot.limit {
		return
	}
	for _, conn := range []*placerConn{c.dispatcher, c.standby} {
		if conn.registered {
			conn.send(hostlink.Frame{Limit: &report})
		}
	}
}

// countLimitedSend counts a send to a server with a limit, whose limit may be new to this host. The caller holds mu.
func (c *Client) countLimitedSend(r reply) {
	now, address := c.clock.Now(), ""
	if r.placer != PlacerLocal {
		address = c.conn(r.placer).linkAddress
	}
	if r.limit.Kind == limit.Named && c.limits.of(r.server.ID).Kind != limit.Named {
		c.applyLimits([]dispatch.ServerLimit{{Server: r.server.ID, Statement: r.limit}})
	}
	c.limits.countSend(now, r.server.ID, address)
}

// SetListed sets the servers on a host that never decides locally, and removes the limits of those that have long not been listed.
// SetServers does so, too.
func (c *Client) SetListed(listed map[ids.BackendID]directory.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed.set(c.clock.Now(), listed)
	c.limits.removeDeparted(c.clock.Now(), listed)
}

// KnownLimit returns the limit that a server names, as far as this host knows it.
func (c *Client) KnownLimit(id ids.BackendID) limit.Statement {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits.of(id)
}

// applyLimits applies limits that the placer has sent. The caller holds mu.
func (c *Client) applyLimits(list []dispatch.ServerLimit) {
	now := c.clock.Now()
	var changed []dispatch.ServerLimit
	for _, l := range list {
		if c.limits.set(now, l.Server, l.Statement) {
			changed = append(changed, l)
		}
	}
	if len(changed) > 0 {
		countLimits(changed).Info("limits of servers received")
	}
	c.localEvents = append(c.localEvents, dispatch.LimitsReceived{Limits: list})
}

// AddLimits applies limits that the dispatcher has sent this host, which may be its successor.
func (d *Dispatcher) AddLimits(list []dispatch.ServerLimit) {
	if d.role() == RoleDispatcher {
		return // they are its own
	}
	d.rememberLimits(list)
	d.runner.Enqueue(dispatch.LimitsReceived{Limits: list})
}

func (d *Dispatcher) rememberLimits(list []dispatch.ServerLimit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range list {
		d.limits.set(d.clock.Now(), l.Server, l.Statement)
	}
}

// broadcastLimits sends limits that have changed to all connected hosts.
func (d *Dispatcher) broadcastLimits(list []dispatch.ServerLimit) {
	d.rememberLimits(list)
	d.mu.Lock()
	members := make([]*member, 0, len(d.members))
	for _, m := range d.members {
		members = append(members, m)
	}
	d.mu.Unlock()
	if len(members) > 0 {
		countLimits(list).WithField("hosts", len(members)).Info("limits of servers sent to hosts")
	}
	for _, m := range members {
		_ = m.link.Send(hostlink.Frame{Limits: list}) // the reader of a closed link handles the disconnect
	}
}

// sendLimits sends a host the limits that the others were sent.
func (d *Dispatcher) sendLimits(l *hostlink.Link) {
	d.mu.Lock()
	list := d.limits.report(d.clock.Now(), "")
	d.mu.Unlock()
	if len(list) > 0 {
		_ = l.Send(hostlink.Frame{Limits: list}) // the reader of a closed link handles the disconnect
	}
}

// asPointer returns nil for a server without a limit, to save bytes in frames.
func asPointer(s limit.Statement) *limit.Statement {
	if s.Kind != limit.Named {
		return nil
	}
	return &s
}

// limitOf is the inverse of asPointer.
func limitOf(s *limit.Statement) limit.Statement {
	if s == nil {
		return limit.Statement{}
	}
	return *s
}

// countLimits returns a log entry with the numbers of limits and of ended ones.
func countLimits(list []dispatch.ServerLimit) *log.Entry {
	var named, ended int
	for _, l := range list {
		if l.Statement.Kind == limit.Named {
			named++
			continue
		}
		ended++
	}
	return log.WithFields(log.Fields{"named": named, "ended": ended})
}
