package slots

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbenad/internal/bounded"
	"verbenaledge.example/verbenad/internal/hostlink"
)

var (
	yields = metrics.NewCounter("verbenad_slot_yields_total")
	// A host sends to some 3,000 servers at the two-year size, with a few outcomes each; the busiest are seen first.
	sends = bounded.Counters("verbenad_sends_total", 2000, "service", "server", "outcome")
)

// Refused is an ask that was turned away; nothing of the request has run.
type RefusedError struct {
	Reason     dispatch.Reason
	RetryAfter time.Duration
	Inputs     dispatch.Inputs
	// Seat is who decided.
	Placer Placer
}

// Error names the reason.
func (r *RefusedError) Error() string { return "refused: " + r.Reason.String() }

// Lease is a slot on a server.
type Slot struct {
	Server directory.Server
	// Yielded is closed when the slot is taken back.
	Yielded <-chan struct{}
	Waited  time.Duration
	Inputs  dispatch.Inputs
	// Seat is who decided.
	Placer Placer
	ticket dispatch.Ticket
}

type holding struct {
	held dispatch.HeldSlot
	// asked is when the times of the ask were counted from, since when the slot is held.
	asked, since time.Time
	seat         Placer
	yielded      chan struct{}
	once         sync.Once
}

// at is what is held, with times as of a moment.
func (h *holding) at(now time.Time) dispatch.HeldSlot {
	d := h.held
	d.Request.Objective -= now.Sub(h.asked)
	d.Request.Remaining -= now.Sub(h.asked)
	d.HeldFor = now.Sub(h.since)
	return d
}

// Release gives a slot back with what was seen of its server.
func (c *Client) Release(l *Slot, o dispatch.Outcome) {
	sends.With(string(l.Server.Service), string(l.Server.ID), o.Result.String()).Inc()
	c.firsts.learn(l.Server.Service, o.TimeToFirstByte)
	c.mu.Lock()
	defer c.unlock()
	c.release(l.ticket, o)
}

// release tells the end of a held slot to the seat that gave it, and to those that learned of it since.
func (c *Client) release(t dispatch.Ticket, o dispatch.Outcome) {
	o.Ticket = t
	h, ok := c.held[t]
	delete(c.held, t)
	if ok && h.seat == PlacerLocal {
		c.endAt(PlacerLocal, o)
	}
	for _, ch := range []*channel{c.dispatcher, c.standby} {
		if ch.joined {
			ch.send(hostlink.Frame{Outcome: &o})
		}
	}
}

func (c *Client) granted(t dispatch.Ticket, r reply) {
	p, ok := c.pending[t]
	if !ok {
		c.endAt(r.seat, dispatch.Outcome{Ticket: t, Result: dispatch.Cancelled})
		return
	}
	p.stop()
	delete(c.pending, t)
	if c.drains.Holds(r.server) {
		c.handBack(p, t, r)
		return
	}
	if p.ask.Metered {
		c.spent.Add(c.clock.Now(), int(r.seat), p.ask.Workspace, 1)
	}
	switch {
	case p.ask.Metered && r.seat == PlacerLocal:
		c.shares.CountAdmittedLocally(c.clock.Now(), p.ask.Workspace)
	case p.ask.Metered:
		c.shares.CountAdmitted(c.clock.Now(), p.ask.Workspace)
	}
	h := &holding{
		held: dispatch.HeldSlot{Request: p.ask, Server: r.server.ID}, asked: p.sent, since: c.clock.Now(), seat: r.seat, yielded: make(chan struct{}),
	}
	c.held[t] = h
	r.ticket, r.yielded = t, h.yielded
	p.reply <- r
}

// noServerPause is when to come back to a service whose servers all stop; others start within seconds.
const noServerPause = 500 * time.Millisecond

// handBack refuses a slot on a server that has told this host that it stops, before who placed it knows.
func (c *Client) handBack(p *pending, t dispatch.Ticket, r reply) {
	c.endAt(r.seat, dispatch.Outcome{Ticket: t, Result: dispatch.Full})
	if slices.Contains(p.ask.Exclude, r.server.ID) {
		p.reply <- reply{refused: &RefusedError{Reason: dispatch.NoServer, RetryAfter: noServerPause, Inputs: r.inputs, Placer: r.seat}}
		return
	}
	p.ask.Exclude = append(p.ask.Exclude[:len(p.ask.Exclude):len(p.ask.Exclude)], r.server.ID)
	p.spend(c.clock.Now())
	c.place(p)
}

func (c *Client) refused(t dispatch.Ticket, r RefusedError) {
	p, ok := c.pending[t]
	if !ok {
		return
	}
	p.stop()
	delete(c.pending, t)
	if r.Reason == dispatch.OverRate {
		c.refusedForRate(p.ask.Workspace, r.Placer)
	}
	p.reply <- reply{refused: &r}
}

func (c *Client) yield(t dispatch.Ticket) {
	yields.Inc()
	if h, ok := c.held[t]; ok {
		h.once.Do(func() { close(h.yielded) })
	}
}

// ReasonOf returns why an ask was refused.
func AsRefusedError(err error) (r *RefusedError, ok bool) {
	return r, errors.As(err, &r)
}
