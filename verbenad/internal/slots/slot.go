package slots

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
	"verbenaledge.example/verbenad/internal/bounded"
	"verbenaledge.example/verbenad/internal/hostlink"
)

var (
	yields = metrics.NewCounter("verbenad_slot_yields_total")
	// At the size planned for two years ahead, a host sends to some 3,000 servers, with a few outcomes each. The busiest
	// servers are seen first and so have series of their own.
	sends = bounded.Counters("verbenad_sends_total", 2000, "service", "server", "outcome")
)

// RefusedError is returned for a refused slot request; no part of the caller's request was executed.
type RefusedError struct {
	Reason     dispatch.Reason
	RetryAfter time.Duration
	Inputs     dispatch.Inputs
	// Placer is who refused the request.
	Placer Placer
	// For the reason CrashingPart, Parts are the prompt parts that may crash servers, and Crashes is how often they did.
	Parts   []ids.PromptPartID
	Crashes int
	// Resumption is set for a resumed stream.
	Resumption *dispatch.ResumptionInputs
}

// Error names the reason.
func (r *RefusedError) Error() string { return "refused: " + r.Reason.String() }

// Slot is a granted slot on a server.
type Slot struct {
	Server directory.Server
	// Yielded is closed when the placer takes the slot back.
	Yielded <-chan struct{}
	Waited  time.Duration
	Inputs  dispatch.Inputs
	// Placer is who granted the slot.
	Placer Placer
	// Trial is set if the placer waits for ReportAnswerBegan.
	Trial bool
	// Resumption is set for a resumed stream.
	Resumption *dispatch.ResumptionInputs
	// VersionUncertain is set if the server may run as another software version than its entry says.
	VersionUncertain bool
	ticket           dispatch.Ticket
	limit            limit.Statement
	heldSince        time.Time
}

// heldSlot is a slot that this host has been granted and has not released.
type heldSlot struct {
	held dispatch.HeldSlot
	// requestedAt is the time from which the request's durations count, heldSince when the slot was granted.
	requestedAt, heldSince time.Time
	placer                 Placer
	yielded                chan struct{}
	yieldOnce              sync.Once
}

// asOf returns the held slot with its durations as of now.
func (h *heldSlot) asOf(now time.Time) dispatch.HeldSlot {
	d := h.held
	d.Request.Objective -= now.Sub(h.requestedAt)
	d.Request.Remaining -= now.Sub(h.requestedAt)
	d.HeldFor = now.Sub(h.heldSince)
	return d
}

// Release gives a slot back with the outcome of the send to its server.
func (c *Client) Release(slot *Slot, o dispatch.Outcome) {
	sends.With(string(slot.Server.Service), string(slot.Server.ID), o.Result.String()).Inc()
	c.firstBytes.record(slot.Server.Service, o.TimeToFirstByte)
	c.mu.Lock()
	defer c.unlockAndEnqueue()
	c.release(slot.ticket, o)
}

// release reports the end of a held slot to the placer that granted it and to those at which it was registered since.
func (c *Client) release(t dispatch.Ticket, o dispatch.Outcome) {
	o.Ticket = t
	h, ok := c.held[t]
	delete(c.held, t)
	if ok && h.placer == PlacerLocal {
		c.reportOutcome(PlacerLocal, o)
	}
	for _, conn := range []*placerConn{c.dispatcher, c.standby} {
		if conn.registered {
			conn.send(hostlink.Frame{Outcome: &o})
		}
	}
}

func (c *Client) handleGrant(t dispatch.Ticket, r reply) {
	p, ok := c.pending[t]
	if !ok {
		c.reportOutcome(r.placer, dispatch.Outcome{Ticket: t, Result: dispatch.Cancelled})
		return
	}
	p.stopTimer()
	delete(c.pending, t)
	if c.drainNotices.IsDraining(r.server) || c.listed.hasLeft(r.server) {
		c.returnSlot(p, t, r, []ids.BackendID{r.server.ID})
		return
	}
	if c.isEvacuated(r.server.Zone) {
		c.returnSlot(p, t, r, c.listed.ofZone(r.server))
		return
	}
	if !p.mayResumeAt(r) {
		c.returnOtherVersion(p, t, r)
		return
	}
	c.countLimitedSend(r)
	if p.request.Metered {
		c.admissions.Add(c.clock.Now(), int(r.placer), p.request.Workspace, 1)
	}
	switch {
	case p.request.Metered && r.placer == PlacerLocal:
		c.localRates.CountAdmittedLocally(c.clock.Now(), p.request.Workspace)
	case p.request.Metered:
		c.localRates.CountAdmitted(c.clock.Now(), p.request.Workspace)
	}
	h := &heldSlot{
		held: dispatch.HeldSlot{Request: p.request, Server: r.server.ID}, requestedAt: p.sentAt, heldSince: c.clock.Now(),
		placer: r.placer, yielded: make(chan struct{}),
	}
	c.held[t] = h
	r.ticket, r.yielded, r.heldSince = t, h.yielded, h.heldSince
	p.replies <- r
}

// noServerRetryAfter is the wait before a retry if all servers of a service stop; others start within seconds.
const noServerRetryAfter = 500 * time.Millisecond

// returnSlot gives back a slot on a server that takes no new requests, which the placer doesn't know yet: the server announced to
// this host that it stops, or its availability zone is evacuated. The request is submitted again with the given servers excluded,
// its own among them; if that was excluded already, the request is refused.
func (c *Client) returnSlot(p *pendingRequest, t dispatch.Ticket, r reply, exclude []ids.BackendID) {
	c.reportOutcome(r.placer, dispatch.Outcome{Ticket: t, Result: dispatch.Full})
	if slices.Contains(p.request.Exclude, r.server.ID) {
		p.replies <- reply{refused: &RefusedError{Reason: dispatch.NoServer, RetryAfter: noServerRetryAfter, Inputs: r.inputs, Placer: r.placer}}
		return
	}
	p.request.Exclude = append(p.request.Exclude[:len(p.request.Exclude):len(p.request.Exclude)], exclude...)
	p.subtractElapsed(c.clock.Now())
	c.submit(p)
}

func (c *Client) handleRefusal(t dispatch.Ticket, r RefusedError) {
	p, ok := c.pending[t]
	if !ok {
		return
	}
	p.stopTimer()
	delete(c.pending, t)
	if r.Reason == dispatch.OverRate {
		c.recordOverRate(p.request.Workspace, r.Placer)
	}
	p.replies <- reply{refused: &r}
}

func (c *Client) handleYield(t dispatch.Ticket) {
	yields.Inc()
	if h, ok := c.held[t]; ok {
		h.yieldOnce.Do(func() { close(h.yielded) })
	}
}

// AsRefusedError returns the RefusedError in the chain of err, if there is one.
func AsRefusedError(err error) (r *RefusedError, ok bool) {
	return r, errors.As(err, &r)
}
