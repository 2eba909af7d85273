package slots

import (
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// unanswered moves an ask on which no word came to the next seat.
func (c *Client) unanswered(p *pending, t dispatch.Ticket) {
	c.mu.Lock()
	defer c.unlock()
	if c.pending[t] != p {
		return
	}
	ch := c.channel(p.seat)
	if !ch.silent {
		ch.silent = true
		c.fallBack()
		log.WithFields(log.Fields{
			"seat": ch.seat.String(), "silent_ms": c.clock.Now().Sub(ch.lastContact).Milliseconds(), "next": c.seat(dispatch.Online).String(),
		}).Warn("dispatching host is silent")
	}
	if link := ch.link; link != nil {
		time.AfterFunc(suspectTime, func() { c.closeIfSilent(ch, link) })
	}
	c.move(p)
}

// giveUpStart hands an ask that waited for the dispatching host in vain to this host's own machine.
func (c *Client) giveUpStart(p *pending, t dispatch.Ticket) {
	c.mu.Lock()
	defer c.unlock()
	if c.pending[t] == p {
		c.move(p)
	}
}

// closeIfSilent gives a silent connection up, so that another way to the host is tried.
func (c *Client) closeIfSilent(ch *channel, link *hostlink.Link) {
	c.mu.Lock()
	silent := ch.silent && ch.link == link
	c.mu.Unlock()
	if silent {
		link.Close()
	}
}

// fallBack prepares the seat that decides once one was lost: the standby hears what this host holds, or
// this host's own machine gets its part of the rates as of now. What its buckets have earned while another
// host counted is not there.
func (c *Client) fallBack() {
	switch c.seat(dispatch.Online) {
	case PlacerStandby:
		c.join(c.standby)
	case PlacerLocal:
		c.shares.BeginLocal(c.clock.Now())
		e := c.ownRates()
		e.ResetTokens = true
		c.events = append(c.events, e)
	case PlacerDispatcher:
	}
}

// refusedForRate notes a refusal for a rate. In local mode, a workspace that turns out to be at its rate gets no more than before.
func (c *Client) refusedForRate(w ids.WorkspaceID, s Placer) {
	if c.shares.NoteOverRate(c.clock.Now(), w) && s == PlacerLocal {
		c.events = append(c.events, c.ownRates())
	}
}

// localCommand carries out what this host's own machine decided. It runs on that machine's goroutine, which
// must not wait for itself.
func (c *Client) localCommand(cmd dispatch.Command) {
	c.mu.Lock()
	switch cmd := cmd.(type) {
	case dispatch.Grant:
		c.granted(cmd.Key.Ticket, reply{server: cmd.Server, waited: cmd.Waited, inputs: cmd.Inputs, seat: PlacerLocal})
	case dispatch.Refuse:
		c.refused(cmd.Key.Ticket, RefusedError{Reason: cmd.Reason, RetryAfter: cmd.RetryAfter, Inputs: cmd.Inputs, Placer: PlacerLocal})
	case dispatch.Yield:
		c.yield(cmd.Key.Ticket)
	}
	events := c.events
	c.events = nil
	c.mu.Unlock()
	if len(events) > 0 {
		go func() {
			for _, e := range events {
				c.local.Do(e)
			}
		}()
	}
}
