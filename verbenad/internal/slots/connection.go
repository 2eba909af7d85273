package slots

import (
	"context"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// Connected tells whether the dispatching host answers.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dispatcher.link != nil
}

// Run keeps connections to the dispatching host and its standby until the context ends.
func (c *Client) Run(ctx context.Context) {
	go c.local.Run(ctx)
	go c.keep(ctx, c.standby)
	c.keep(ctx, c.dispatcher)
}

func (c *Client) keep(ctx context.Context, ch *channel) {
	for ctx.Err() == nil {
		pause := addressPause
		if address := ch.address(); address != "" {
			pause = redialPause
			if link, err := hostlink.Connect(ctx, address, c.Relays()); err == nil {
				c.serve(ctx, ch, link, address)
			}
		}
		clock.Sleep(ctx, pause)
	}
}

func (c *Client) serve(ctx context.Context, ch *channel, link *hostlink.Link, address string) {
	c.connected(ch, link)
	log.WithFields(log.Fields{"address": address, "seat": ch.seat.String()}).Info("dispatching host reached")
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	go c.watch(ch, link, address)
	err := link.Read(func(f hostlink.Frame) { c.handle(ch, f) })
	ch.losses.Inc()
	next := c.disconnected(ch, link)
	log.WithError(err).WithFields(log.Fields{"address": address, "seat": ch.seat.String(), "next": next.String()}).Warn("dispatching host lost")
}

// connected takes a new connection.
func (c *Client) connected(ch *channel, link *hostlink.Link) {
	c.mu.Lock()
	defer c.unlock()
	ch.link, ch.lastContact, ch.silent, ch.joined = link, c.clock.Now(), false, false
	if ch.seat == PlacerDispatcher {
		c.returnTo(ch)
		return
	}
	ch.send(hostlink.Frame{Hello: &hostlink.Hello{Host: c.host, Zone: c.zone, Standby: true}})
	if c.seat(dispatch.Batch) == PlacerStandby {
		c.join(ch)
		c.moveAll(PlacerDispatcher)
	}
}

// returnTo tells the dispatching host what this one holds and waits for, also where the standby gave it.
func (c *Client) returnTo(ch *channel) {
	ch.joined = false
	c.join(ch)
	if ch.link == nil {
		return
	}
	c.moveAll(PlacerDispatcher)
	c.moveAll(PlacerStandby)
	if c.standby.joined {
		c.standby.joined = false
		c.standby.send(hostlink.Frame{Hello: &hostlink.Hello{Host: c.host, Zone: c.zone, Standby: true}})
	}
}

// moveAll places again what waits at a seat.
func (c *Client) moveAll(s Placer) {
	var all []*pending
	for _, p := range c.pending {
		if p.seat == s {
			all = append(all, p)
		}
	}
	for _, p := range all {
		c.move(p)
	}
}

// join tells a host what is held here; from then on it is the source of updates.
func (c *Client) join(ch *channel) {
	if ch.joined || ch.link == nil {
		return
	}
	ch.joined = true
	c.source = ch.seat
	hello := hostlink.Hello{
		Host: c.host, Zone: c.zone, Slots: true, Standby: ch.seat == PlacerStandby, Address: c.passes,
		Entry: c.passes != "", Leaving: c.leaving, Entries: c.entries, Used: c.shares.RecentRates(c.clock.Now()),
		Drains: c.drains.All(), Elsewhere: c.spent.ByOthers(c.clock.Now(), ch.reportedAt, int(ch.seat)),
	}
	for _, h := range c.held {
		hello.Held = append(hello.Held, h.at(c.clock.Now()))
	}
	ch.reportedAt = c.clock.Now()
	ch.send(hostlink.Frame{Hello: &hello})
}

// disconnected hands what waits to the next seat.
func (c *Client) disconnected(ch *channel, link *hostlink.Link) (next Placer) {
	c.mu.Lock()
	defer c.unlock()
	if ch.link != link {
		return c.seat(dispatch.Online)
	}
	ch.link, ch.silent, ch.joined = nil, false, false
	if c.source == ch.seat {
		c.feed.Down()
	}
	c.fallBack()
	c.moveAll(ch.seat)
	return c.seat(dispatch.Online)
}

// watch ends a connection without contact, or whose host has the role no longer.
func (c *Client) watch(ch *channel, link *hostlink.Link, address string) {
	t := time.NewTicker(ch.pingEvery)
	defer t.Stop()
	for {
		select {
		case <-link.Closed():
			return
		case <-t.C:
		}
		c.mu.Lock()
		quiet := c.clock.Now().Sub(ch.lastContact)
		c.mu.Unlock()
		if quiet > ch.silence || ch.address() != address || link.Send(hostlink.Frame{Ping: true}) != nil {
			link.Close()
			return
		}
	}
}

func (c *Client) handle(ch *channel, f hostlink.Frame) {
	if len(f.Drains) > 0 {
		c.drains.FromDispatcher(f.Drains)
	}
	c.mu.Lock()
	defer c.unlock()
	ch.lastContact = c.clock.Now()
	if ch.silent {
		ch.silent = false
		if ch.seat == PlacerDispatcher {
			c.returnTo(ch)
		}
	}
	if f.Hosts > 0 {
		c.hosts, c.entries, c.relays = f.Hosts, f.Entries, f.Relays
		c.events = append(c.events, dispatch.IndependentHosts{Count: f.Hosts})
	}
	switch {
	case f.Grant != nil:
		c.granted(f.Grant.Ticket, reply{server: f.Grant.Server, waited: f.Grant.Waited, inputs: f.Grant.Inputs, seat: ch.seat})
	case f.Refusal != nil:
		c.refused(f.Refusal.Ticket, RefusedError{Reason: f.Refusal.Reason, RetryAfter: f.Refusal.Later, Inputs: f.Refusal.Inputs, Placer: ch.seat})
	case f.Wait != 0:
		if p, ok := c.pending[f.Wait]; ok {
			p.stop()
		}
	case f.Yield != 0:
		c.yield(f.Yield)
	case f.News != nil:
		if ch.seat == c.source || f.News.Full && !ch.joined {
			c.feed.Take(*f.News)
		}
	case f.Ages != nil:
		if ch.seat == c.source {
			c.feed.Heard(f.Ages)
		}
	}
}
