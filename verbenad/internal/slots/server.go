package slots

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/hostlink"
	"verbenaledge.example/verbenad/internal/objectfeed"
)

var (
	grants      = metrics.NewCounter("verbenad_dispatcher_grants_total")
	grantWait   = metrics.NewHistogram("verbenad_dispatcher_wait_seconds")
	refusals    = metrics.NewCounter("verbenad_dispatcher_refusals_total")
	turnedAway  = metrics.NewCounter("verbenad_dispatcher_turned_away_total")
	yieldsAsked = metrics.NewCounter("verbenad_dispatcher_yields_total")
)

// Server dispatches for all hosts that connect.
type Dispatcher struct {
	runner *Runner
	news   *objectfeed.Publisher
	// role tells what this host is at this moment; owners is the map of owners for hosts that ask another one in vain.
	role   func() DispatchRole
	owners func() (hostlink.Update, bool)
	drains DrainNotices

	// order is held while a connection's beginning or end is noted and decided on, so that the end of a host's
	// former connection isn't taken for that of its new one.
	order sync.Mutex
	mu    sync.Mutex
	links map[ids.HostID]*member
}

// member is a host that is connected.
type member struct {
	link *hostlink.Link
	// standby tells that the host asks here because it can't reach the dispatching one.
	standby bool
	// relay is where the host passes connections on, or nothing.
	relay string
	entry bool
	// leaving tells that the host will soon take no callers.
	leaving bool
	// told is of how many hosts it was told, and how many of them take callers.
	told, toldEntries int
	// misses counts looks since something was heard.
	misses int
	// silent is set when the connection was given up.
	silent bool
}

// NewServer returns a dispatcher without hosts. role tells what this host is at this moment, owners who dispatches.
func NewDispatcher(c clock.Clock, news *objectfeed.Publisher, role func() DispatchRole, owners func() (hostlink.Update, bool), list ...Option) *Dispatcher {
	o := apply(list)
	s := &Dispatcher{drains: o.drains, news: news, role: role, owners: owners, links: make(map[ids.HostID]*member)}
	s.runner = NewRunner(c, "", s.command, dispatch.Without(o.without...))
	return s
}

// Run decides until the context ends.
func (s *Dispatcher) Run(ctx context.Context) {
	go s.reap(ctx)
	s.runner.Run(ctx)
}

// SetServers tells the newest servers.
func (s *Dispatcher) SetServers(m map[ids.BackendID]directory.Server) {
	s.runner.Do(dispatch.ServersChanged{Servers: m})
}

// SetRates tells the newest rates.
func (s *Dispatcher) SetRates(r map[ids.WorkspaceID]dispatch.Rate) {
	s.runner.Do(dispatch.RatesChanged{Rates: r})
}

// SetStandby tells whether this host places requests only for hosts that can't reach the dispatching one, and
// how many hosts that one has that take callers.
func (s *Dispatcher) SetStandby(on bool, entries int) {
	s.runner.Do(dispatch.StandbyChanged{On: on, EntryHosts: entries})
}

// Taken tells whether any host asks here.
func (s *Dispatcher) HasHosts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.links) > 0
}

// SetLeaseUncertain tells whether another host may dispatch for those that this one has lost.
func (s *Dispatcher) SetLeaseUncertain(uncertain bool) {
	s.runner.Do(dispatch.LeaseUncertain{Uncertain: uncertain})
}

const (
	// roleWait is how long a host that joins may be ahead of this one in hearing who dispatches.
	roleWait = 100 * time.Millisecond
	// roleEvery is the time between looks.
	roleEvery = 10 * time.Millisecond
)

// turnAway ends a connection to a host that doesn't dispatch, after telling who does.
func (s *Dispatcher) turnAway(l *hostlink.Link, h hostlink.Hello) bool {
	for spent := time.Duration(0); !s.role().takes(h.Standby); spent += roleEvery {
		if spent < roleWait {
			time.Sleep(roleEvery)
			continue
		}
		log.WithFields(log.Fields{"peer": h.Host, "standby": h.Standby}).Info("host turned away: this one doesn't dispatch")
		turnedAway.Inc()
		if n, ok := s.owners(); ok {
			_ = l.Send(hostlink.Frame{News: &n}) // a closed connection ends its reader
		}
		time.AfterFunc(roleWait, l.Close)
		return true
	}
	return false
}

// Join takes a host's connection.
func (s *Dispatcher) HandleConnect(l *hostlink.Link, h hostlink.Hello) {
	if s.turnAway(l, h) {
		return
	}
	s.order.Lock()
	defer s.order.Unlock()
	s.mu.Lock()
	old := s.links[h.Host]
	s.links[h.Host] = &member{link: l, standby: h.Standby, relay: h.Address, entry: h.Entry, leaving: h.Leaving}
	s.mu.Unlock()
	if old != nil && old.link != l {
		old.link.Close()
	}
	log.WithFields(log.Fields{"peer": h.Host, "held": len(h.Held), "entries": h.Entries, "standby": h.Standby}).Info("host joined")
	if len(h.Drains) > 0 {
		s.drains.FromHost(h.Drains)
	}
	if known := s.drains.All(); len(known) > 0 {
		_ = l.Send(hostlink.Frame{Drains: known}) // a closed connection ends its reader
	}
	s.runner.Do(dispatch.HostConnected{
		Host: h.Host, Held: h.Held, AcceptsCallers: h.Entry, Leaving: h.Leaving, EntryHosts: h.Entries, AdmittedPerSecond: h.Used, AdmittedElsewhere: h.Elsewhere,
	})
	s.news.Add(l)
	s.tell(h.Host)
}

// Part ends a host's connection.
func (s *Dispatcher) HandleDisconnect(l *hostlink.Link, host ids.HostID) {
	s.news.Remove(l)
	s.order.Lock()
	defer s.order.Unlock()
	s.mu.Lock()
	m := s.links[host]
	current := m != nil && m.link == l
	if current {
		delete(s.links, host)
	}
	s.mu.Unlock()
	if current {
		log.WithFields(log.Fields{"peer": host, "silent": m.silent, "leaving": m.leaving}).Info("host disconnected")
		s.runner.Do(dispatch.HostDisconnected{Host: host, Silent: m.silent})
	}
}

// maxMisses is how many signs of life in a row may be missing: then the host has given up as well.
const maxMisses = int(silence / pingEvery)

// reap gives up connections on which nothing is heard. It counts looks rather than time: after a pause of
// this process itself what hosts have sent is read before the next look.
func (s *Dispatcher) reap(ctx context.Context) {
	t := time.NewTicker(pingEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.mu.Lock()
		for _, m := range s.links {
			m.misses++
			if m.misses > maxMisses {
				m.silent = true
				m.link.Close()
			}
		}
		s.mu.Unlock()
	}
}

// hear notes a sign of life on a host's connection. current is false if it isn't the host's.
func (s *Dispatcher) hear(l *hostlink.Link, host ids.HostID, leaving bool) (current bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.links[host]
	if m == nil || m.link != l {
		return false
	}
	m.misses = 0
	m.leaving = m.leaving || leaving
	return true
}

// PartAll ends all connections: this host dispatches no longer.
func (s *Dispatcher) DisconnectAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.links {
		m.link.Close()
	}
}

// Handle takes a message of a host.
func (s *Dispatcher) HandleFrame(l *hostlink.Link, host ids.HostID, f hostlink.Frame) {
	if !s.hear(l, host, f.Leaving) {
		return // the host was turned away, or has another connection by now
	}
	switch {
	case len(f.Drains) > 0:
		s.drains.FromHost(f.Drains)
	case f.Ask != nil:
		s.runner.Do(dispatch.SlotRequested{Host: host, Request: *f.Ask})
	case f.Outcome != nil:
		s.runner.Do(dispatch.SendEnded{Host: host, Outcome: *f.Outcome})
	case f.Stall != nil:
		s.runner.Do(dispatch.ServerStalled{Host: host, Report: *f.Stall})
	case f.Ping:
		s.tell(host)
	case f.Leaving:
		s.runner.Do(dispatch.HostLeaving{Host: host})
	}
}

// maxRelays is how many hosts a host is told of that may pass its connections on.
const maxRelays = 4

// tell answers a sign of life with the ages of what this host passes on, and with the hosts that are
// there if their number has changed.
func (s *Dispatcher) tell(host ids.HostID) {
	ages := s.news.Ages()
	s.mu.Lock()
	m, ok := s.links[host]
	if !ok {
		s.mu.Unlock()
		return
	}
	f := hostlink.Frame{Ping: true, Ages: ages}
	if entries := s.entries(); !m.standby && (m.told != len(s.links) || m.toldEntries != entries) {
		m.told, m.toldEntries = len(s.links), entries
		f.Hosts, f.Entries, f.Relays = m.told, entries, s.relays(host)
	}
	s.mu.Unlock()
	_ = m.link.Send(f) // a closed connection ends its reader
}

// entries counts the hosts that take callers.
func (s *Dispatcher) entries() (n int) {
	for _, m := range s.links {
		if m.entry && !m.leaving {
			n++
		}
	}
	return n
}

// relays picks hosts that may pass a host's connections on, in no order.
func (s *Dispatcher) relays(but ids.HostID) (list []string) {
	for h, m := range s.links {
		if h != but && m.relay != "" {
			list = append(list, m.relay)
		}
		if len(list) == maxRelays {
			break
		}
	}
	return list
}

// command carries out a decision. It doesn't block: a host that doesn't read loses its connection.
func (s *Dispatcher) command(cmd dispatch.Command) {
	switch cmd := cmd.(type) {
	case dispatch.Grant:
		grants.Inc()
		grantWait.Update(cmd.Waited.Seconds())
		s.send(cmd.Key.Host, hostlink.Frame{Grant: &hostlink.Grant{Ticket: cmd.Key.Ticket, Server: cmd.Server, Waited: cmd.Waited, Inputs: cmd.Inputs}})
	case dispatch.Refuse:
		refusals.Inc()
		s.send(cmd.Key.Host, hostlink.Frame{Refusal: &hostlink.Refusal{Ticket: cmd.Key.Ticket, Reason: cmd.Reason, Later: cmd.RetryAfter, Inputs: cmd.Inputs}})
	case dispatch.Wait:
		s.send(cmd.Key.Host, hostlink.Frame{Wait: cmd.Key.Ticket})
	case dispatch.Yield:
		yieldsAsked.Inc()
		s.send(cmd.Key.Host, hostlink.Frame{Yield: cmd.Key.Ticket})
	}
}

func (s *Dispatcher) send(host ids.HostID, f hostlink.Frame) {
	s.mu.Lock()
	m := s.links[host]
	s.mu.Unlock()
	if m == nil {
		return // the host disconnected; its slots are freed with it
	}
	_ = m.link.Send(f) // a closed connection ends its reader
}
