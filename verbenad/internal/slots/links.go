package slots

import (
	"context"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// Connected reports whether this host is connected to the dispatcher.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dispatcher.link != nil
}

// Run runs the local scheduler and maintains connections to the dispatcher and its standby until the context ends.
func (c *Client) Run(ctx context.Context) {
	go c.local.Run(ctx)
	go c.maintainConn(ctx, c.standby)
	c.maintainConn(ctx, c.dispatcher)
}

// maintainConn connects to a placer, and reconnects whenever the connection ends, until the context ends.
func (c *Client) maintainConn(ctx context.Context, conn *placerConn) {
	for ctx.Err() == nil {
		pause := addressPollInterval
		if address := conn.address(); address != "" {
			pause = redialPause
			if link, err := hostlink.Connect(ctx, address, c.Relays()); err == nil {
				c.serveLink(ctx, conn, link, address)
			}
		}
		clock.Sleep(ctx, pause)
	}
}

func (c *Client) serveLink(ctx context.Context, conn *placerConn, link *hostlink.Link, address string) {
	c.handleLinkUp(conn, link, address)
	log.WithFields(log.Fields{"address": address, "seat": conn.placer.String()}).Info("dispatching host reached")
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	go c.monitor(conn, link, address)
	err := link.Read(func(f hostlink.Frame) { c.handleFrame(conn, f) })
	conn.losses.Inc()
	next := c.handleLinkDown(conn, link)
	log.WithError(err).WithFields(log.Fields{"address": address, "seat": conn.placer.String(), "next": next.String()}).Warn("dispatching host lost")
}

// handleLinkUp starts using a new connection. The standby is only sent a Hello that requests no slots, unless it
// decides at present.
func (c *Client) handleLinkUp(conn *placerConn, link *hostlink.Link, address string) {
	c.mu.Lock()
	defer c.unlockAndEnqueue()
	conn.link, conn.linkAddress, conn.lastContact, conn.silent, conn.registered = link, address, c.clock.Now(), false, false
	if conn.placer == PlacerDispatcher {
		c.returnToDispatcher(conn)
		return
	}
	conn.send(hostlink.Frame{Hello: &hostlink.Hello{Host: c.host, Zone: c.zone, ToStandby: true}})
	if c.placerFor(dispatch.Batch) == PlacerStandby {
		c.register(conn)
		c.resubmitAll(PlacerDispatcher)
		c.resubmitAll(PlacerLocal)
	}
}

// returnToDispatcher registers the held slots at the dispatcher, those granted by the standby too, moves the pending
// requests to it, and withdraws this host from the standby.
func (c *Client) returnToDispatcher(conn *placerConn) {
	conn.registered = false
	c.register(conn)
	if conn.link == nil {
		return
	}
	for _, placer := range []Placer{PlacerDispatcher, PlacerStandby, PlacerLocal} {
		c.resubmitAll(placer)
	}
	if c.standby.registered {
		c.standby.registered = false
		c.standby.send(hostlink.Frame{Hello: &hostlink.Hello{Host: c.host, Zone: c.zone, ToStandby: true}})
	}
}

// resubmitAll resubmits the requests that are pending at a placer.
func (c *Client) resubmitAll(placer Placer) {
	var all []*pendingRequest
	for _, p := range c.pending {
		if p.placer == placer {
			all = append(all, p)
		}
	}
	for _, p := range all {
		c.resubmit(p)
	}
}

// register sends a placer the slots held here. From then on, object updates are taken from that host.
func (c *Client) register(conn *placerConn) {
	if conn.registered || conn.link == nil {
		return
	}
	conn.registered = true
	c.updateSource = conn.placer
	hello := hostlink.Hello{
		Host: c.host, Zone: c.zone, RequestsSlots: true, ToStandby: conn.placer == PlacerStandby, RelayAddress: c.relayAddress,
		AcceptsCallers: c.relayAddress != "", Leaving: c.leaving, CutOff: c.cutOff, EntryHosts: c.entryHosts,
		AdmittedPerSecond: c.localRates.RecentRates(c.clock.Now()),
		CrashReports:      c.crashReports.asOf(c.clock.Now()), DrainNotices: c.drainNotices.All(),
		AdmittedElsewhere: c.admissions.ByOthers(c.clock.Now(), conn.reportedAt, int(conn.placer)), Streams: c.streams.Recent(c.clock.Now()),
		Limits: c.limits.report(c.clock.Now(), conn.linkAddress),
	}
	for _, h := range c.held {
		hello.Held = append(hello.Held, h.asOf(c.clock.Now()))
	}
	conn.reportedAt = c.clock.Now()
	conn.send(hostlink.Frame{Hello: &hello})
}

// handleLinkDown moves the pending requests of a lost connection to the next placer, which it returns.
func (c *Client) handleLinkDown(conn *placerConn, link *hostlink.Link) (next Placer) {
	c.mu.Lock()
	defer c.unlockAndEnqueue()
	if conn.link != link {
		return c.placerFor(dispatch.Online)
	}
	conn.link, conn.silent, conn.registered = nil, false, false
	if c.updateSource == conn.placer {
		c.feed.Reset()
	}
	c.prepareFallback()
	c.resubmitAll(conn.placer)
	return c.placerFor(dispatch.Online)
}

// monitor pings the host, and closes the connection if the host is silent or no longer has its role.
func (c *Client) monitor(conn *placerConn, link *hostlink.Link, address string) {
	t := time.NewTicker(conn.pingInterval)
	defer t.Stop()
	for {
		select {
		case <-link.Closed():
			return
		case <-t.C:
		}
		c.mu.Lock()
		silent := c.clock.Now().Sub(conn.lastContact)
		c.mu.Unlock()
		if silent > conn.maxSilence || conn.address() != address || link.Send(hostlink.Frame{Ping: true}) != nil {
			link.Close()
			return
		}
	}
}

func (c *Client) handleFrame(conn *placerConn, f hostlink.Frame) {
	c.passKnowledge(f)
	c.mu.Lock()
	defer c.unlockAndEnqueue()
	conn.lastContact = c.clock.Now()
	c.endSilence(conn)
	c.setHosts(f)
	if len(f.Relays) > 0 {
		c.relays = f.Relays
	}
	c.handleReply(conn, f)
	fromSource := conn.placer == c.updateSource
	switch {
	case f.Update != nil:
		if fromSource || f.Update.Full && !conn.registered {
			c.feed.Apply(*f.Update)
		}
	case len(f.Limits) > 0:
		if fromSource && conn.registered {
			c.applyLimits(f.Limits)
		}
	case f.CrashReports != nil:
		if fromSource && conn.registered {
			c.applyCrashReports(f.CrashReports.Reports)
		}
	case f.Ages != nil:
		if fromSource {
			c.feed.Confirm(f.Ages)
		}
	}
}

// endSilence returns to a placer that replies again. The caller holds mu.
func (c *Client) endSilence(conn *placerConn) {
	if !conn.silent {
		return
	}
	conn.silent = false
	switch {
	case conn.placer == PlacerDispatcher:
		c.returnToDispatcher(conn)
	case !c.dispatcher.usable():
		conn.registered = false // it doesn't know what this host has decided locally
		c.register(conn)
		c.resubmitAll(PlacerStandby) // a host that registers again has no requests there
		c.resubmitAll(PlacerLocal)
	}
}

// passKnowledge passes on what this host keeps for others or outside this package.
func (c *Client) passKnowledge(f hostlink.Frame) {
	if len(f.DrainNotices) > 0 {
		c.drainNotices.AddFromPlacer(f.DrainNotices)
	}
	if len(f.Limits) > 0 {
		c.limitsReceived(f.Limits)
	}
	if len(f.Streams) > 0 || f.Versions != nil {
		c.originsReceived(f.Streams, f.Versions)
	}
}

// setHosts applies the number of hosts and this host's place among them, if the frame holds them. The caller holds mu.
func (c *Client) setHosts(f hostlink.Frame) {
	if f.Hosts == 0 {
		return
	}
	c.hostCount, c.entryHosts = f.Hosts, f.EntryHosts
	c.localEvents = append(c.localEvents, dispatch.IndependentHosts{Count: f.Hosts, EntryHosts: f.EntryHosts, Rank: f.HostRank})
}

// handleReply handles what a placer sends about a slot request. The caller holds mu.
func (c *Client) handleReply(conn *placerConn, f hostlink.Frame) {
	switch {
	case f.Grant != nil:
		g := f.Grant
		c.handleGrant(g.Ticket, reply{
			server: g.Server, waited: g.Waited, inputs: g.Inputs, placer: conn.placer, trial: g.Trial, resumption: g.Resumption,
			versionUncertain: g.VersionUncertain, limit: limitOf(g.Limit),
		})
	case f.Refusal != nil:
		c.handleRefusal(f.Refusal.Ticket, RefusedError{
			Reason: f.Refusal.Reason, RetryAfter: f.Refusal.RetryAfter, Inputs: f.Refusal.Inputs, Placer: conn.placer,
			Parts: f.Refusal.Parts, Crashes: f.Refusal.Crashes, Resumption: f.Refusal.Resumption,
		})
	case f.Queued != 0:
		if p, ok := c.pending[f.Queued]; ok {
			p.stopTimer()
		}
	case f.Yield != 0:
		c.handleYield(f.Yield)
	}
}
