package slots

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/crash"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/origin"
	"verbenaledge.example/verbenad/internal/hostlink"
	"verbenaledge.example/verbenad/internal/objectfeed"
)

var (
	grants        = metrics.NewCounter("verbenad_dispatcher_grants_total")
	grantWait     = metrics.NewHistogram("verbenad_dispatcher_wait_seconds")
	refusals      = metrics.NewCounter("verbenad_dispatcher_refusals_total")
	rejectedHosts = metrics.NewCounter("verbenad_dispatcher_turned_away_total")
	yieldRequests = metrics.NewCounter("verbenad_dispatcher_yields_total")
)

// Dispatcher decides on the slot requests of all connected hosts.
type Dispatcher struct {
	runner    *Runner
	publisher *objectfeed.Publisher
	// role returns this host's present role, ownerMap the map of owners, which is sent to hosts that are rejected.
	role         func() DispatchRole
	ownerMap     func() (hostlink.Update, bool)
	drainNotices DrainNotices
	saveCrashes  func([]crash.Report)
	saveVersions func(origin.History)
	// standby returns the dispatcher's standby, empty if there is none.
	standby func() ids.HostID

	// connectionOrder is held while a connection's beginning or end is recorded and sent to the scheduler, so that the
	// end of a host's former connection isn't taken for that of its new one.
	connectionOrder sync.Mutex
	clock           clock.Clock
	mu              sync.Mutex
	members         map[ids.HostID]*member
	lastStandby     ids.HostID
	crashReports    crashReports
	// limits are those that hosts were sent. ranks are the places of the hosts that accept callers, relayHosts the hosts that
	// relay connections; both are nil if they changed.
	limits     *knownLimits
	ranks      map[ids.HostID]int
	relayHosts relayHosts
}

// member is a connected host.
type member struct {
	link *hostlink.Link
	// standby is set if the host connects here because it can't reach the dispatcher.
	standby bool
	// relayAddress is where the host relays connections; empty if it doesn't.
	relayAddress   string
	acceptsCallers bool
	// leaving is set when the host will soon accept no callers, cutOff while it reaches no backend server directly.
	leaving, cutOff bool
	zone            ids.ZoneID
	// sentRelays are the addresses of relays last sent to it.
	sentRelays []string
	// sentHosts is the number of hosts last sent to it, sentEntryHosts how many of them accept callers.
	sentHosts, sentEntryHosts int
	// sentRank is the host's place among those that accept callers, as last sent to it.
	sentRank int
	// hasOrigins is set once the host, as the standby, has been sent where streams began.
	hasOrigins bool
	// missedChecks counts the checks since the last frame.
	missedChecks int
	// silent is set when the connection is closed because nothing was received.
	silent bool
}

// NewDispatcher returns a dispatcher without hosts. role returns this host's present role, ownerMap the map of
// owners, which names the dispatching host.
func NewDispatcher(
	c clock.Clock, publisher *objectfeed.Publisher, role func() DispatchRole, ownerMap func() (hostlink.Update, bool), opts ...Option,
) *Dispatcher {
	o := applyOptions(opts)
	d := &Dispatcher{
		clock: c, drainNotices: o.drainNotices, saveCrashes: o.saveCrashes, standby: o.standby,
		publisher: publisher, role: role, ownerMap: ownerMap,
		saveVersions: o.saveVersions, members: make(map[ids.HostID]*member), limits: newKnownLimits(),
	}
	d.runner = NewRunner(c, "", d.execute, o.listState, dispatch.WithDisabledMechanisms(o.disabled...))
	return d
}

// AddCrashReports adds crash reports that were known before this host started.
func (d *Dispatcher) AddCrashReports(list []crash.Report) {
	d.runner.Enqueue(dispatch.CrashReportsReceived{Reports: list})
}

// Run decides on slot requests until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	go d.closeSilentLinks(ctx)
	d.runner.Run(ctx)
}

const (
	// roleWait is how long this host may take to learn its role after a connecting host has learned it.
	roleWait = 100 * time.Millisecond
	// rolePollInterval is the time between checks of the role.
	rolePollInterval = 10 * time.Millisecond
)

// rejectIfWrongRole closes a connection for which this host doesn't have the role, after sending the map of owners.
// It reports whether it did.
func (d *Dispatcher) rejectIfWrongRole(l *hostlink.Link, h hostlink.Hello) bool {
	for waited := time.Duration(0); !d.role().accepts(h.ToStandby); waited += rolePollInterval {
		if waited < roleWait {
			time.Sleep(rolePollInterval)
			continue
		}
		log.WithFields(log.Fields{"peer": h.Host, "standby": h.ToStandby}).Info("host rejected: this host does not have the requested role")
		rejectedHosts.Inc()
		if update, ok := d.ownerMap(); ok {
			_ = l.Send(hostlink.Frame{Update: &update}) // the reader of a closed link handles the disconnect
		}
		time.AfterFunc(roleWait, l.Close)
		return true
	}
	return false
}

// HandleConnect accepts or rejects a host that begins to request slots on a link.
func (d *Dispatcher) HandleConnect(l *hostlink.Link, h hostlink.Hello) {
	if d.rejectIfWrongRole(l, h) {
		return
	}
	d.connectionOrder.Lock()
	defer d.connectionOrder.Unlock()
	d.mu.Lock()
	old := d.members[h.Host]
	d.members[h.Host] = &member{
		link: l, standby: h.ToStandby, relayAddress: h.RelayAddress, acceptsCallers: h.AcceptsCallers, leaving: h.Leaving, cutOff: h.CutOff, zone: h.Zone,
	}
	d.ranks, d.relayHosts = nil, nil
	d.mu.Unlock()
	if old != nil && old.link != l {
		old.link.Close()
	}
	log.WithFields(log.Fields{"peer": h.Host, "held": len(h.Held), "entries": h.EntryHosts, "standby": h.ToStandby}).Info("host connected")
	if len(h.DrainNotices) > 0 {
		d.drainNotices.AddFromHost(h.DrainNotices)
	}
	if notices := d.drainNotices.All(); len(notices) > 0 {
		_ = l.Send(hostlink.Frame{DrainNotices: notices}) // the reader of a closed link handles the disconnect
	}
	d.runner.Enqueue(dispatch.HostConnected{
		Host: h.Host, Held: h.Held, AcceptsCallers: h.AcceptsCallers, Leaving: h.Leaving, EntryHosts: h.EntryHosts,
		AdmittedPerSecond: h.AdmittedPerSecond, AdmittedElsewhere: h.AdmittedElsewhere, Streams: h.Streams, Limits: h.Limits,
	})
	d.sendCrashReports(l)
	d.sendLimits(l)
	if len(h.CrashReports) > 0 {
		d.runner.Enqueue(dispatch.CrashReportsReceived{Reports: h.CrashReports})
	}
	d.publisher.Subscribe(l)
	d.sendStatus(h.Host)
}

// HandleDisconnect removes a host whose link has ended, or that no longer requests slots on it.
func (d *Dispatcher) HandleDisconnect(l *hostlink.Link, host ids.HostID) {
	d.publisher.Unsubscribe(l)
	d.connectionOrder.Lock()
	defer d.connectionOrder.Unlock()
	d.mu.Lock()
	m := d.members[host]
	current := m != nil && m.link == l
	if current {
		delete(d.members, host)
		d.ranks, d.relayHosts = nil, nil
	}
	d.mu.Unlock()
	if current {
		log.WithFields(log.Fields{"peer": host, "silent": m.silent, "leaving": m.leaving}).Info("host disconnected")
		d.runner.Enqueue(dispatch.HostDisconnected{Host: host, Silent: m.silent})
	}
}

// maxMissedChecks is how many checks in a row may find no new frame; by then the other host closes the connection too.
const maxMissedChecks = int(maxSilence / pingInterval)

// closeSilentLinks closes connections on which nothing is received. It counts checks rather than time: after a pause
// of this process, what hosts sent meanwhile is read before the next check.
func (d *Dispatcher) closeSilentLinks(ctx context.Context) {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		d.mu.Lock()
		for _, m := range d.members {
			m.missedChecks++
			if m.missedChecks > maxMissedChecks {
				m.silent = true
				m.link.Close()
			}
		}
		d.mu.Unlock()
	}
}

// recordContact records a frame received on a host's connection. current is false if the host has another connection or
// none.
func (d *Dispatcher) recordContact(l *hostlink.Link, host ids.HostID, leaving bool) (current bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[host]
	if m == nil || m.link != l {
		return false
	}
	m.missedChecks = 0
	if leaving && !m.leaving {
		m.leaving, d.ranks, d.relayHosts = true, nil, nil
	}
	return true
}

// DisconnectAll closes all connections. It is called when this host loses its role.
func (d *Dispatcher) DisconnectAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.members {
		m.link.Close()
	}
}

// HandleFrame handles a frame of a connected host.
func (d *Dispatcher) HandleFrame(l *hostlink.Link, host ids.HostID, f hostlink.Frame) {
	if !d.recordContact(l, host, f.Leaving) {
		return // the host was rejected, or has another connection by now
	}
	switch {
	case len(f.DrainNotices) > 0:
		d.drainNotices.AddFromHost(f.DrainNotices)
	case f.SlotRequest != nil:
		d.runner.Enqueue(dispatch.SlotRequested{Host: host, Request: *f.SlotRequest})
	case f.Outcome != nil:
		d.runner.Enqueue(dispatch.SendEnded{Host: host, Outcome: *f.Outcome})
	case f.Stall != nil:
		d.runner.Enqueue(dispatch.ServerStalled{Host: host, Report: *f.Stall})
	case len(f.Streams) > 0:
		d.runner.Enqueue(dispatch.StreamsBegan{Records: f.Streams})
	case f.Limit != nil:
		d.runner.Enqueue(dispatch.LimitStated{Host: host, Report: *f.Limit})
	case f.AnswerBegan != 0:
		d.runner.Enqueue(dispatch.AnswerBegan{Key: dispatch.Key{Host: host, Ticket: f.AnswerBegan}})
	case f.CutOff != nil:
		d.setCutOff(host, f.CutOff.CutOff)
	case f.Ping:
		d.sendStatus(host)
	case f.Leaving:
		d.runner.Enqueue(dispatch.HostLeaving{Host: host})
	}
}

// sendStatus sends a host, when it connects and after each ping, the ages of the objects that this host publishes. If the
// number of hosts or its relays have changed, it sends these too.
func (d *Dispatcher) sendStatus(host ids.HostID) {
	ages := d.publisher.Ages()
	d.mu.Lock()
	m, ok := d.members[host]
	if !ok {
		d.mu.Unlock()
		return
	}
	f := hostlink.Frame{Ping: true, Ages: ages}
	entryHosts, rank := d.entryHosts(), d.ranks[host]
	if !m.standby && (m.sentHosts != len(d.members) || m.sentEntryHosts != entryHosts || m.sentRank != rank) {
		m.sentHosts, m.sentEntryHosts, m.sentRank = len(d.members), entryHosts, rank
		f.Hosts, f.EntryHosts, f.HostRank = m.sentHosts, entryHosts, rank
	}
	if relays := d.relays(host, m.zone); !m.standby && !slices.Equal(relays, m.sentRelays) {
		m.sentRelays, f.Relays = relays, relays
	}
	d.mu.Unlock()
	_ = m.link.Send(f) // the reader of a closed link handles the disconnect
}

// entryHosts counts the connected hosts that accept callers, and ranks them.
func (d *Dispatcher) entryHosts() (n int) {
	if d.ranks == nil {
		var names []ids.HostID
		for name, m := range d.members {
			if m.acceptsCallers && !m.leaving {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		d.ranks = make(map[ids.HostID]int, len(names))
		for n, name := range names {
			d.ranks[name] = n + 1
		}
	}
	return len(d.ranks)
}

// execute carries out a scheduler command. It doesn't block: a host that doesn't read loses its connection.
func (d *Dispatcher) execute(cmd dispatch.Command) {
	countShortRoom(countedByDispatcher, cmd)
	switch cmd := cmd.(type) {
	case dispatch.Grant:
		grants.Inc()
		grantWait.Update(cmd.Waited.Seconds())
		if cmd.Trial {
			trials.Inc()
		}
		d.send(cmd.Key.Host, hostlink.Frame{Grant: &hostlink.Grant{
			Ticket: cmd.Key.Ticket, Server: cmd.Server, Waited: cmd.Waited, Inputs: cmd.Inputs, Trial: cmd.Trial, Resumption: cmd.Resumption,
			VersionUncertain: cmd.VersionUncertain, Limit: asPointer(cmd.Limit),
		}})
	case dispatch.Refuse:
		refusals.Inc()
		d.send(cmd.Key.Host, hostlink.Frame{Refusal: &hostlink.Refusal{
			Ticket: cmd.Key.Ticket, Reason: cmd.Reason, RetryAfter: cmd.RetryAfter, Inputs: cmd.Inputs, Parts: cmd.Parts, Crashes: cmd.Crashes,
			Resumption: cmd.Resumption,
		}})
	case dispatch.Wait:
		d.send(cmd.Key.Host, hostlink.Frame{Queued: cmd.Key.Ticket})
	case dispatch.Yield:
		yieldRequests.Inc()
		d.send(cmd.Key.Host, hostlink.Frame{Yield: cmd.Key.Ticket})
	case dispatch.BrokenSendCounted:
		logBrokenSend(cmd)
	case dispatch.CrashReported:
		logCrash(cmd)
	case dispatch.CrashRefuted:
		logRefutedCrash(cmd)
	case dispatch.CrashReportsChanged:
		d.broadcastCrashReports(cmd.Reports)
	case dispatch.LimitsChanged:
		d.broadcastLimits(cmd.Limits)
	case dispatch.StreamsRecorded:
		d.sendToStandby(cmd.Records)
	case dispatch.VersionsChanged:
		d.saveVersions(cmd.History)
	case dispatch.OriginsCollected:
		d.sendOrigins(cmd.Host, cmd.Records, cmd.History)
	}
}

func (d *Dispatcher) send(host ids.HostID, f hostlink.Frame) {
	d.mu.Lock()
	m := d.members[host]
	d.mu.Unlock()
	if m == nil {
		return // the host disconnected; its slots are freed with it
	}
	_ = m.link.Send(f) // the reader of a closed link handles the disconnect
}
