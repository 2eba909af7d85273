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
	"verbenaledge.example/verbena/origin"
	"verbenaledge.example/verbenad/internal/hostlink"
	"verbenaledge.example/verbenad/internal/objectfeed"
)

const (
	// pingInterval is the time between pings to the dispatcher.
	pingInterval = 400 * time.Millisecond
	// standbyPingInterval is the same for the standby, which gets requests only while the dispatcher can't be reached.
	standbyPingInterval = 1200 * time.Millisecond
	// maxSilentPings is for how many ping intervals a placer may be silent.
	maxSilentPings = 3
	// maxSilence is how long the dispatcher may be silent.
	maxSilence = maxSilentPings * pingInterval
	// firstReplyTimeout is how long the first reply to a slot request may take: some round trips between availability zones.
	firstReplyTimeout = 50 * time.Millisecond
	// silentLinkTimeout is how long a connection is kept after a slot request on it got no reply in time: a lost
	// packet is retransmitted within it.
	silentLinkTimeout = 300 * time.Millisecond
	// placerWait is how long a slot request waits for the dispatcher while this host knows no servers, or not where the
	// request's stream began. A host that starts, or whose connections were reset, connects within a fraction of it.
	placerWait = 300 * time.Millisecond
	// addressPollInterval is the time between checks for a placer's address while it isn't known.
	addressPollInterval = 10 * time.Millisecond
	// redialPause is the pause between attempts to connect to a placer.
	redialPause = 100 * time.Millisecond
	// defaultHostCount is the number of hosts that share slots and rates, until the dispatcher sends the actual number.
	defaultHostCount = 8
)

var localRequests = metrics.NewCounter("verbenad_slot_asks_total{by=\"host\"}")

// Client requests slots from the dispatcher, from its standby while the dispatcher doesn't reply, or from this
// host's local scheduler while neither does.
type Client struct {
	host ids.HostID
	zone ids.ZoneID
	// relayAddress is where this host relays connections between other hosts; empty on a host that accepts no callers.
	relayAddress string
	clock        clock.Clock
	local        *Runner
	feed         *objectfeed.Feed

	mu         sync.Mutex
	dispatcher *placerConn
	standby    *placerConn
	// updateSource is the placer whose updates of the store's objects are applied.
	updateSource Placer
	localRates   *dispatch.LocalRates
	admissions   dispatch.AdmissionCounts
	lastTicket   dispatch.Ticket
	pending      map[dispatch.Ticket]*pendingRequest
	held         map[dispatch.Ticket]*heldSlot
	hostCount    int
	// entryHosts is how many hosts accept callers, as last received from the dispatcher.
	entryHosts int
	// leaving is set when this host will soon accept no callers.
	leaving bool
	// cutOff is set while this host reaches no backend server directly.
	cutOff bool
	// serversKnown is set once this host knows servers and can decide locally.
	serversKnown bool
	relays       []string
	drainNotices DrainNotices
	// isEvacuated reports whether nothing new may be sent to the servers of a zone.
	isEvacuated func(ids.ZoneID) bool
	// listed are the servers in the store's list, as this host knows it.
	listed   *listedServers
	limits   *knownLimits
	limitLog *limitLog
	// limitsReceived gets the limits that a dispatcher sends its hosts.
	limitsReceived func([]dispatch.ServerLimit)
	firstBytes     firstByteTimes
	rates          map[ids.WorkspaceID]dispatch.Rate
	crashReports   crashReports
	// streams says where the streams began that this host passed on.
	streams *origin.Records
	// listState returns how current the list of servers is.
	listState func() directory.ListState
	// originsReceived gets what a dispatcher sends its standby.
	originsReceived func([]origin.Record, *origin.History)
	// localEvents are for the local scheduler; they are queued there once mu is unlocked.
	localEvents []dispatch.Event
}

// NewClient returns a client. dispatcher and standby return where those hosts are reached, or "" while that isn't
// known. relayAddress is empty on a host that accepts no callers.
func NewClient(
	host ids.HostID, zone ids.ZoneID, relayAddress string, c clock.Clock, feed *objectfeed.Feed, dispatcher, standby func() string, opts ...Option,
) *Client {
	o := applyOptions(opts)
	client := &Client{
		streams: origin.NewRecords(), listState: o.listState, originsReceived: o.originsReceived,
		listed: newListedServers(), drainNotices: o.drainNotices, isEvacuated: o.isEvacuated,
		limits: newKnownLimits(), limitLog: newLimitLog(), limitsReceived: o.limitsReceived,
		relayAddress: relayAddress, host: host, zone: zone, clock: c, feed: feed,
		hostCount: defaultHostCount, localRates: dispatch.NewLocalRates(),
		dispatcher: newPlacerConn(PlacerDispatcher, dispatcher, pingInterval), standby: newPlacerConn(PlacerStandby, standby, standbyPingInterval),
		pending: make(map[dispatch.Ticket]*pendingRequest), held: make(map[dispatch.Ticket]*heldSlot),
	}
	client.local = NewRunner(c, string(host), client.executeLocal, o.listState, dispatch.WithDisabledMechanisms(o.disabled...))
	return client
}

// SetServers sets the servers to use while this host decides locally.
func (c *Client) SetServers(servers map[ids.BackendID]directory.Server) {
	c.mu.Lock()
	defer c.unlockAndEnqueue()
	c.serversKnown = c.serversKnown || len(servers) > 0
	c.listed.set(c.clock.Now(), servers)
	c.limits.removeDeparted(c.clock.Now(), servers)
	c.streams.ObserveServers(c.clock.Now(), servers, 0)
	c.localEvents = append(c.localEvents, dispatch.ServersChanged{Servers: servers})
}

// SetRates sets the workspaces' rates. This host keeps to its part of them while it decides locally.
func (c *Client) SetRates(rates map[ids.WorkspaceID]dispatch.Rate) {
	c.mu.Lock()
	defer c.unlockAndEnqueue()
	c.rates = rates
	c.localEvents = append(c.localEvents, c.localLimits())
}

// SetServices sets the traits of the services, which count while this host decides locally.
func (c *Client) SetServices(traits map[ids.ServiceName]dispatch.ServiceTraits) {
	c.mu.Lock()
	defer c.unlockAndEnqueue()
	c.localEvents = append(c.localEvents, dispatch.ServicesChanged{Services: traits})
}

// localLimits returns this host's part of the rates.
func (c *Client) localLimits() dispatch.RatesChanged {
	return dispatch.RatesChanged{Rates: c.localRates.Limits(c.clock.Now(), c.rates, c.hostCount)}
}

// unlockAndEnqueue unlocks mu and queues the events collected under it for the local scheduler.
func (c *Client) unlockAndEnqueue() {
	events := c.localEvents
	c.localEvents = nil
	c.mu.Unlock()
	for _, e := range events {
		c.local.Enqueue(e)
	}
}

// Acquire waits for a slot. It returns a *RefusedError if the request is refused.
func (c *Client) Acquire(ctx context.Context, request dispatch.SlotRequest) (slot *Slot, err error) {
	request.Zone = c.zone
	p := &pendingRequest{request: request, sentAt: c.clock.Now(), replies: make(chan reply, 1)}
	c.mu.Lock()
	c.addOwnOrigin(&p.request)
	c.submit(p)
	c.unlockAndEnqueue()
	select {
	case r := <-p.replies:
		return r.slot()
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.unlockAndEnqueue()
	select {
	case r := <-p.replies:
		if r.refused == nil {
			c.release(r.ticket, dispatch.Outcome{Result: dispatch.Cancelled})
		}
	default:
		c.cancel(p)
	}
	return nil, ctx.Err()
}

// placerFor returns who decides on a new request. Batch requests are never decided locally: they wait for a placer
// that sees which slots the callers of all hosts need.
func (c *Client) placerFor(class dispatch.Class) Placer {
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

// submit sends a request to its present placer. Each submission gets a new ticket, so that a late reply of the
// former placer isn't taken for the present one's.
func (c *Client) submit(p *pendingRequest) {
	c.lastTicket++
	p.request.Ticket, p.placer = c.lastTicket, c.placerFor(p.request.Class)
	if p.placer == PlacerLocal && !p.waitedForPlacer && (!c.serversKnown || p.needsRecords()) {
		p.placer = PlacerDispatcher
	}
	c.pending[p.request.Ticket] = p
	if p.placer == PlacerLocal {
		localRequests.Inc()
		c.localEvents = append(c.localEvents, dispatch.SlotRequested{Host: c.host, Request: p.request})
		return
	}
	conn := c.conn(p.placer)
	if conn.link == nil {
		if p.request.Class == dispatch.Online {
			p.waitedForPlacer = true
			t := p.request.Ticket
			p.timer = time.AfterFunc(placerWait, func() { c.endPlacerWait(p, t) })
		}
		return
	}
	c.register(conn)
	conn.requests.Inc()
	request := p.request
	conn.send(hostlink.Frame{SlotRequest: &request})
	if request.Class == dispatch.Online {
		p.timer = time.AfterFunc(firstReplyTimeout, func() { c.handleNoReply(p, request.Ticket) })
	}
}

// cancel withdraws a request from its placer.
func (c *Client) cancel(p *pendingRequest) {
	p.stopTimer()
	delete(c.pending, p.request.Ticket)
	c.reportOutcome(p.placer, dispatch.Outcome{Ticket: p.request.Ticket, Result: dispatch.Cancelled})
}

// resubmit cancels a request and submits it again.
func (c *Client) resubmit(p *pendingRequest) {
	c.cancel(p)
	p.subtractElapsed(c.clock.Now())
	c.submit(p)
}

func (c *Client) conn(placer Placer) *placerConn {
	if placer == PlacerStandby {
		return c.standby
	}
	return c.dispatcher
}

// reportOutcome reports the end of a request to one placer.
func (c *Client) reportOutcome(placer Placer, o dispatch.Outcome) {
	if placer == PlacerLocal {
		c.localEvents = append(c.localEvents, dispatch.SendEnded{Host: c.host, Outcome: o})
		return
	}
	c.conn(placer).send(hostlink.Frame{Outcome: &o})
}

// AnnounceLeaving notifies the placers that this host will soon accept no callers.
func (c *Client) AnnounceLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	for _, conn := range []*placerConn{c.dispatcher, c.standby} {
		if conn.registered {
			conn.send(hostlink.Frame{Leaving: true})
		}
	}
}

// SetCutOff notifies the placers whether this host reaches no backend server directly. Such a host doesn't relay.
func (c *Client) SetCutOff(cutOff bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutOff = cutOff
	for _, conn := range []*placerConn{c.dispatcher, c.standby} {
		if conn.registered {
			conn.send(hostlink.Frame{CutOff: &hostlink.CutOff{CutOff: cutOff}})
		}
	}
}

// Relays returns the addresses of hosts that may relay connections.
func (c *Client) Relays() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relays
}

// EntryHosts returns how many hosts accept callers, as last received from the dispatcher.
func (c *Client) EntryHosts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entryHosts
}
