package slots

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/hostlink"
	"verbenaledge.example/verbenad/internal/objectfeed"
)

const (
	// pingEvery is the time between signs of life to the dispatching host.
	pingEvery = 400 * time.Millisecond
	// standbyPingEvery is the same for the standby, which is asked only when the dispatching host is not there.
	standbyPingEvery = 1200 * time.Millisecond
	// silentPings is for how many signs of life a host may be silent.
	silentPings = 3
	// silence is how long the dispatching host may be silent.
	silence = silentPings * pingEvery
	// askTimeout is how long a first word on an ask may take: some round trips between availability zones.
	askTimeout = 50 * time.Millisecond
	// suspectTime is how long a connection on which an ask brought no word is kept: a lost packet is
	// sent again within it.
	suspectTime = 300 * time.Millisecond
	// startWait is how long an ask waits for the dispatching host while this one knows no servers; it is found
	// within a fraction of it when a host starts.
	startWait = 300 * time.Millisecond
	// addressPause is the pause between looks at where a host is, while that is not known.
	addressPause = 10 * time.Millisecond
	// redialPause is the pause between attempts to reach the dispatching host.
	redialPause = 100 * time.Millisecond
	// usualHosts divides slots and rates before the dispatching host said how many hosts there are.
	usualHosts = 8
)

var asksLocal = metrics.NewCounter("verbenad_slot_asks_total{by=\"host\"}")

// Client asks for slots: at the dispatching host, at its standby if no word comes from there, or at this
// host's own machine if none comes from either.
type Client struct {
	host ids.HostID
	zone ids.ZoneID
	// passes is where this host passes connections on, or nothing.
	passes string
	clock  clock.Clock
	local  *Runner
	feed   *objectfeed.Feed

	mu         sync.Mutex
	dispatcher *channel
	standby    *channel
	// source is whose updates of the store's objects are taken.
	source  Placer
	shares  *dispatch.LocalRates
	spent   dispatch.AdmissionCounts
	next    dispatch.Ticket
	pending map[dispatch.Ticket]*pending
	held    map[dispatch.Ticket]*holding
	hosts   int
	// entries is how many hosts take callers, as the dispatching host said last.
	entries int
	// leaving is set when this host will soon take no callers.
	leaving bool
	// known is set once this host knows the servers, and can decide by itself.
	known  bool
	relays []string
	drains DrainNotices
	firsts firsts
	rates  map[ids.WorkspaceID]dispatch.Rate
	// events are for this host's own machine; they are applied once mu is free.
	events []dispatch.Event
}

// NewClient returns a client. dispatcher and standby tell where those hosts are; empty means unknown.
func NewClient(
	host ids.HostID, zone ids.ZoneID, passes string, c clock.Clock, feed *objectfeed.Feed, dispatcher, standby func() string, list ...Option,
) *Client {
	o := apply(list)
	k := &Client{
		drains: o.drains, passes: passes, host: host, zone: zone, clock: c, feed: feed, hosts: usualHosts, shares: dispatch.NewLocalRates(),
		dispatcher: newChannel(PlacerDispatcher, dispatcher, pingEvery), standby: newChannel(PlacerStandby, standby, standbyPingEvery),
		pending: make(map[dispatch.Ticket]*pending), held: make(map[dispatch.Ticket]*holding),
	}
	k.local = NewRunner(c, string(host), k.localCommand, dispatch.Without(o.without...))
	return k
}

// SetServers tells the servers to use while this host decides alone.
func (c *Client) SetServers(s map[ids.BackendID]directory.Server) {
	c.mu.Lock()
	defer c.unlock()
	c.known = c.known || len(s) > 0
	c.events = append(c.events, dispatch.ServersChanged{Servers: s})
}

// SetRates tells the rates, of which this host keeps its part while it decides alone.
func (c *Client) SetRates(r map[ids.WorkspaceID]dispatch.Rate) {
	c.mu.Lock()
	defer c.unlock()
	c.rates = r
	c.events = append(c.events, c.ownRates())
}

// ownRates is this host's part of the rates.
func (c *Client) ownRates() dispatch.RatesChanged {
	return dispatch.RatesChanged{Rates: c.shares.Limits(c.clock.Now(), c.rates, c.hosts)}
}

// unlock frees mu and applies the events that came up under it.
func (c *Client) unlock() {
	events := c.events
	c.events = nil
	c.mu.Unlock()
	for _, e := range events {
		c.local.Do(e)
	}
}

// Acquire waits for a slot. It returns *Refused if there is none to be had.
func (c *Client) Acquire(ctx context.Context, a dispatch.SlotRequest) (l *Slot, err error) {
	a.Zone = c.zone
	p := &pending{ask: a, sent: c.clock.Now(), reply: make(chan reply, 1)}
	c.mu.Lock()
	c.place(p)
	c.unlock()
	select {
	case r := <-p.reply:
		return r.lease()
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.unlock()
	select {
	case r := <-p.reply:
		if r.refused == nil {
			c.release(r.ticket, dispatch.Outcome{Result: dispatch.Cancelled})
		}
	default:
		c.withdraw(p)
	}
	return nil, ctx.Err()
}

// seat is who decides on a new ask. Batch waits for a host that sees which slots callers need.
func (c *Client) seat(class dispatch.Class) Placer {
	switch {
	case c.dispatcher.usable():
		return PlacerDispatcher
	case c.standby.usable():
		return PlacerStandby
	case class == dispatch.Batch:
		return PlacerDispatcher
	}
	return PlacerLocal
}

// place hands an ask to whoever decides now. Each time it gets a ticket of its own, so that a late word
// of a former seat isn't taken for the present one's.
func (c *Client) place(p *pending) {
	c.next++
	p.ask.Ticket, p.seat = c.next, c.seat(p.ask.Class)
	if p.seat == PlacerLocal && !c.known && !p.waitedForStart {
		p.seat = PlacerDispatcher
	}
	c.pending[p.ask.Ticket] = p
	if p.seat == PlacerLocal {
		asksLocal.Inc()
		c.events = append(c.events, dispatch.SlotRequested{Host: c.host, Request: p.ask})
		return
	}
	ch := c.channel(p.seat)
	if ch.link == nil {
		if p.ask.Class == dispatch.Online {
			p.waitedForStart = true
			t := p.ask.Ticket
			p.timer = time.AfterFunc(startWait, func() { c.giveUpStart(p, t) })
		}
		return
	}
	c.join(ch)
	ch.asks.Inc()
	a := p.ask
	ch.send(hostlink.Frame{Ask: &a})
	if a.Class == dispatch.Online {
		p.timer = time.AfterFunc(askTimeout, func() { c.unanswered(p, a.Ticket) })
	}
}

// withdraw takes an ask back from its seat.
func (c *Client) withdraw(p *pending) {
	p.stop()
	delete(c.pending, p.ask.Ticket)
	c.endAt(p.seat, dispatch.Outcome{Ticket: p.ask.Ticket, Result: dispatch.Cancelled})
}

// move withdraws an ask and places it again.
func (c *Client) move(p *pending) {
	c.withdraw(p)
	p.spend(c.clock.Now())
	c.place(p)
}

func (c *Client) channel(s Placer) *channel {
	if s == PlacerStandby {
		return c.standby
	}
	return c.dispatcher
}

// endAt tells one seat the end of an ask.
func (c *Client) endAt(s Placer, o dispatch.Outcome) {
	if s == PlacerLocal {
		c.events = append(c.events, dispatch.SendEnded{Host: c.host, Outcome: o})
		return
	}
	c.channel(s).send(hostlink.Frame{Outcome: &o})
}

// Leave tells that this host will soon take no callers.
func (c *Client) AnnounceLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	for _, ch := range []*channel{c.dispatcher, c.standby} {
		if ch.joined {
			ch.send(hostlink.Frame{Leaving: true})
		}
	}
}

// Relays names hosts that may pass connections on.
func (c *Client) Relays() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relays
}

// Entries is how many hosts take callers, as the dispatching host said last.
func (c *Client) EntryHosts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries
}
