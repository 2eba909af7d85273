package slots

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/hostlink"
	"verbenaledge.example/verbenad/internal/relay"
)

var (
	grants      = metrics.NewCounter("verbenad_dispatcher_grants_total")
	grantWait   = metrics.NewHistogram("verbenad_dispatcher_wait_seconds")
	refusals    = metrics.NewCounter("verbenad_dispatcher_refusals_total")
	yieldsAsked = metrics.NewCounter("verbenad_dispatcher_yields_total")
)

// Server dispatches for all hosts that connect.
type Server struct {
	runner *Runner
	news   *relay.Publisher

	mu    sync.Mutex
	links map[ids.HostID]*member
}

// member is a host that is connected.
type member struct {
	link *hostlink.Link
	// helper is where the host passes connections on, or nothing.
	helper string
	// told is of how many hosts it was told.
	told int
}

// NewServer returns a dispatcher without hosts.
func NewServer(c clock.Clock, news *relay.Publisher) *Server {
	s := &Server{news: news, links: make(map[ids.HostID]*member)}
	s.runner = NewRunner(c, "", s.command)
	return s
}

// Run decides until the context ends.
func (s *Server) Run(ctx context.Context) { s.runner.Run(ctx) }

// SetServers tells the newest servers.
func (s *Server) SetServers(m map[ids.BackendID]directory.Server) {
	s.runner.Do(dispatch.Servers{Servers: m})
}

// SetRates tells the newest rates.
func (s *Server) SetRates(r map[ids.WorkspaceID]dispatch.Rate) {
	s.runner.Do(dispatch.Rates{Rates: r})
}

// Join takes a host's connection.
func (s *Server) Join(l *hostlink.Link, h hostlink.Hello) {
	s.mu.Lock()
	old := s.links[h.Host]
	s.links[h.Host] = &member{link: l, helper: h.Address}
	s.mu.Unlock()
	if old != nil && old.link != l {
		old.link.Close()
	}
	log.WithFields(log.Fields{"peer": h.Host, "held": len(h.Held)}).Info("host joined")
	s.runner.Do(dispatch.Joined{Host: h.Host, Held: h.Held})
	s.news.Add(l)
	s.tell(h.Host)
}

// Part ends a host's connection.
func (s *Server) Part(l *hostlink.Link, host ids.HostID) {
	s.news.Remove(l)
	s.mu.Lock()
	m := s.links[host]
	current := m != nil && m.link == l
	if current {
		delete(s.links, host)
	}
	s.mu.Unlock()
	if current {
		log.WithField("peer", host).Info("host parted")
		s.runner.Do(dispatch.Parted{Host: host})
	}
}

// PartAll ends all connections: this host dispatches no longer.
func (s *Server) PartAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.links {
		m.link.Close()
	}
}

// Handle takes a message of a host.
func (s *Server) Handle(l *hostlink.Link, host ids.HostID, f hostlink.Frame) {
	switch {
	case f.Ask != nil:
		s.runner.Do(dispatch.Asked{Host: host, Ask: *f.Ask})
	case f.Outcome != nil:
		s.runner.Do(dispatch.Ended{Host: host, Outcome: *f.Outcome})
	case f.Ping:
		s.tell(host)
	}
}

// maxHelpers is how many hosts a host is told of that may pass its connections on.
const maxHelpers = 4

// tell answers a sign of life with the ages of what this host passes on, and with the hosts that are
// there if their number has changed.
func (s *Server) tell(host ids.HostID) {
	ages := s.news.Ages()
	s.mu.Lock()
	m, ok := s.links[host]
	if !ok {
		s.mu.Unlock()
		return
	}
	f := hostlink.Frame{Ping: true, Ages: ages}
	if m.told != len(s.links) {
		m.told = len(s.links)
		f.Hosts, f.Helpers = m.told, s.helpers(host)
	}
	s.mu.Unlock()
	_ = m.link.Send(f) // a closed connection ends its reader
}

// helpers picks hosts that may pass a host's connections on, in no order.
func (s *Server) helpers(but ids.HostID) (list []string) {
	for h, m := range s.links {
		if h != but && m.helper != "" {
			list = append(list, m.helper)
		}
		if len(list) == maxHelpers {
			break
		}
	}
	return list
}

// command carries out a decision. It doesn't block: a host that doesn't read loses its connection.
func (s *Server) command(cmd dispatch.Command) {
	switch cmd := cmd.(type) {
	case dispatch.Grant:
		grants.Inc()
		grantWait.Update(cmd.Waited.Seconds())
		s.send(cmd.Key.Host, hostlink.Frame{Grant: &hostlink.Grant{Ticket: cmd.Key.Ticket, Server: cmd.Server, Waited: cmd.Waited, Inputs: cmd.Inputs}})
	case dispatch.Refuse:
		refusals.Inc()
		s.send(cmd.Key.Host, hostlink.Frame{Refusal: &hostlink.Refusal{Ticket: cmd.Key.Ticket, Reason: cmd.Reason, Later: cmd.Later, Inputs: cmd.Inputs}})
	case dispatch.Wait:
		s.send(cmd.Key.Host, hostlink.Frame{Wait: cmd.Key.Ticket})
	case dispatch.Yield:
		yieldsAsked.Inc()
		s.send(cmd.Key.Host, hostlink.Frame{Yield: cmd.Key.Ticket})
	}
}

func (s *Server) send(host ids.HostID, f hostlink.Frame) {
	s.mu.Lock()
	m := s.links[host]
	s.mu.Unlock()
	if m == nil {
		return // the host parted; its slots are freed with it
	}
	_ = m.link.Send(f) // a closed connection ends its reader
}
