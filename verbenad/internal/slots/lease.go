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
type Refused struct {
	Reason dispatch.Reason
	Later  time.Duration
	Inputs dispatch.Inputs
	// Seat is who decided.
	Seat Seat
}

// Error names the reason.
func (r *Refused) Error() string { return "refused: " + r.Reason.String() }

// Lease is a slot on a server.
type Lease struct {
	Server directory.Server
	// Yielded is closed when the slot is taken back.
	Yielded <-chan struct{}
	Waited  time.Duration
	Inputs  dispatch.Inputs
	// Seat is who decided.
	Seat   Seat
	ticket dispatch.Ticket
}

type holding struct {
	held dispatch.Held
	// asked is when the times of the ask were counted from, since when the slot is held.
	asked, since time.Time
	seat         Seat
	yielded      chan struct{}
	once         sync.Once
}

// at is what is held, with times as of a moment.
func (h *holding) at(now time.Time) dispatch.Held {
	d := h.held
	d.Ask.Objective -= now.Sub(h.asked)
	d.Ask.Patience -= now.Sub(h.asked)
	d.Running = now.Sub(h.since)
	return d
}

// Release gives a slot back with what was seen of its server.
func (c *Client) Release(l *Lease, o dispatch.Outcome) {
	sends.With(string(l.Server.Service), string(l.Server.ID), o.Verdict.String()).Inc()
	c.firsts.learn(l.Server.Service, o.First)
	c.mu.Lock()
	defer c.unlock()
	c.release(l.ticket, o)
}

// release tells the end of a held slot to the seat that gave it, and to those that learned of it since.
func (c *Client) release(t dispatch.Ticket, o dispatch.Outcome) {
	o.Ticket = t
	h, ok := c.held[t]
	delete(c.held, t)
	if ok && h.seat == Local {
		c.endAt(Local, o)
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
		c.endAt(r.seat, dispatch.Outcome{Ticket: t, Verdict: dispatch.Left})
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
	case p.ask.Metered && r.seat == Local:
		c.shares.AddAlone(c.clock.Now(), p.ask.Workspace)
	case p.ask.Metered:
		c.shares.Add(c.clock.Now(), p.ask.Workspace)
	}
	h := &holding{
		held: dispatch.Held{Ask: p.ask, Server: r.server.ID}, asked: p.sent, since: c.clock.Now(), seat: r.seat, yielded: make(chan struct{}),
	}
	c.held[t] = h
	r.ticket, r.yielded = t, h.yielded
	p.reply <- r
}

// noServerPause is when to come back to a service whose servers all stop; others start within seconds.
const noServerPause = 500 * time.Millisecond

// handBack refuses a slot on a server that has told this host that it stops, before who placed it knows.
func (c *Client) handBack(p *pending, t dispatch.Ticket, r reply) {
	c.endAt(r.seat, dispatch.Outcome{Ticket: t, Verdict: dispatch.Full})
	if slices.Contains(p.ask.Exclude, r.server.ID) {
		p.reply <- reply{refused: &Refused{Reason: dispatch.NoServer, Later: noServerPause, Inputs: r.inputs, Seat: r.seat}}
		return
	}
	p.ask.Exclude = append(p.ask.Exclude[:len(p.ask.Exclude):len(p.ask.Exclude)], r.server.ID)
	p.spend(c.clock.Now())
	c.place(p)
}

func (c *Client) refused(t dispatch.Ticket, r Refused) {
	p, ok := c.pending[t]
	if !ok {
		return
	}
	p.stop()
	delete(c.pending, t)
	if r.Reason == dispatch.OverRate {
		c.refusedForRate(p.ask.Workspace, r.Seat)
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
func ReasonOf(err error) (r *Refused, ok bool) {
	return r, errors.As(err, &r)
}
