package slots

import (
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// handleNoReply moves a request that got no reply in time to the next placer.
func (c *Client) handleNoReply(p *pendingRequest, t dispatch.Ticket) {
	c.mu.Lock()
	defer c.unlockAndEnqueue()
	if c.pending[t] != p {
		return
	}
	conn := c.conn(p.placer)
	if !conn.silent {
		conn.silent = true
		c.prepareFallback()
		log.WithFields(log.Fields{
			"seat": conn.placer.String(), "silent_ms": c.clock.Now().Sub(conn.lastContact).Milliseconds(), "next": c.placerFor(dispatch.Online).String(),
		}).Warn("dispatching host is silent")
	}
	if link := conn.link; link != nil {
		time.AfterFunc(silentLinkTimeout, func() { c.closeIfSilent(conn, link) })
	}
	c.resubmit(p)
}

// endPlacerWait moves a request that waited in vain for the dispatcher to the next placer.
func (c *Client) endPlacerWait(p *pendingRequest, t dispatch.Ticket) {
	c.mu.Lock()
	defer c.unlockAndEnqueue()
	if c.pending[t] == p {
		c.resubmit(p)
	}
}

// closeIfSilent closes a connection that is still silent, so that another path to the host is tried.
func (c *Client) closeIfSilent(conn *placerConn, link *hostlink.Link) {
	c.mu.Lock()
	silent := conn.silent && conn.link == link
	c.mu.Unlock()
	if silent {
		link.Close()
	}
}

// prepareFallback prepares the next placer once one is lost: the standby is sent the slots that this host holds, or
// the local scheduler gets this host's present part of the rates. Its token buckets are reset: what they gained while
// another placer counted requests isn't available.
func (c *Client) prepareFallback() {
	switch c.placerFor(dispatch.Online) {
	case PlacerStandby:
		c.register(c.standby)
	case PlacerLocal:
		c.localRates.BeginLocal(c.clock.Now())
		e := c.localLimits()
		e.ResetTokens = true
		c.localEvents = append(c.localEvents, e)
	case PlacerDispatcher:
	}
}

// recordOverRate records that a workspace was refused for its rate. While this host decides locally, such a workspace
// is admitted at no higher rate than before.
func (c *Client) recordOverRate(w ids.WorkspaceID, placer Placer) {
	if c.localRates.RecordOverRate(c.clock.Now(), w) && placer == PlacerLocal {
		c.localEvents = append(c.localEvents, c.localLimits())
	}
}

// executeLocal carries out a command of the local scheduler. It runs on the scheduler's goroutine, which must not
// block on its own queue, so another goroutine queues the events that follow.
func (c *Client) executeLocal(cmd dispatch.Command) {
	countShortRoom(countedByHost, cmd)
	c.mu.Lock()
	switch cmd := cmd.(type) {
	case dispatch.Grant:
		c.handleGrant(cmd.Key.Ticket, reply{
			server: cmd.Server, waited: cmd.Waited, inputs: cmd.Inputs, placer: PlacerLocal, trial: cmd.Trial, resumption: cmd.Resumption,
			versionUncertain: cmd.VersionUncertain, limit: cmd.Limit,
		})
	case dispatch.Refuse:
		c.handleRefusal(cmd.Key.Ticket, RefusedError{
			Reason: cmd.Reason, RetryAfter: cmd.RetryAfter, Inputs: cmd.Inputs, Placer: PlacerLocal, Parts: cmd.Parts, Crashes: cmd.Crashes,
			Resumption: cmd.Resumption,
		})
	case dispatch.Yield:
		c.handleYield(cmd.Key.Ticket)
	case dispatch.BrokenSendCounted:
		logBrokenSend(cmd)
	case dispatch.CrashReported:
		logCrash(cmd)
	case dispatch.CrashRefuted:
		logRefutedCrash(cmd)
	case dispatch.CrashReportsChanged:
		c.crashReports = crashReports{cmd.Reports, c.clock.Now()}
	}
	events := c.localEvents
	c.localEvents = nil
	c.mu.Unlock()
	if len(events) > 0 {
		go func() {
			for _, e := range events {
				c.local.Enqueue(e)
			}
		}()
	}
}
