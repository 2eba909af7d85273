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
	links map[ids.HostID]*hostlink.Link
}

// NewServer returns a dispatcher without hosts.
func NewServer(c clock.Clock, news *relay.Publisher) *Server {
	s := &Server{news: news, links: make(map[ids.HostID]*hostlink.Link)}
	s.runner = NewRunner(c, s.command)
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
	s.links[h.Host] = l
	s.mu.Unlock()
	if old != nil && old != l {
		old.Close()
	}
	log.WithFields(log.Fields{"peer": h.Host, "held": len(h.Held)}).Info("host joined")
	s.runner.Do(dispatch.Joined{Host: h.Host, Held: h.Held})
	s.news.Add(l)
	s.tellAges(l)
	s.tellHosts()
}

// Part ends a host's connection.
func (s *Server) Part(l *hostlink.Link, host ids.HostID) {
	s.news.Remove(l)
	s.mu.Lock()
	current := s.links[host] == l
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
	for _, l := range s.links {
		l.Close()
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
		s.tellAges(l)
	}
}

// tellAges answers a sign of life with the ages of what this host passes on.
func (s *Server) tellAges(l *hostlink.Link) {
	_ = l.Send(hostlink.Frame{Ping: true, Ages: s.news.Ages()}) // a closed connection ends its reader
}

// tellHosts tells all hosts among how many they divide slots and rates when they decide alone.
func (s *Server) tellHosts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		_ = l.Send(hostlink.Frame{Hosts: len(s.links)}) // a closed connection ends its reader
	}
}

// command carries out a decision. It doesn't block: a host that doesn't read loses its connection.
func (s *Server) command(cmd dispatch.Command) {
	switch cmd := cmd.(type) {
	case dispatch.Grant:
		grants.Inc()
		grantWait.Update(cmd.Waited.Seconds())
		s.send(cmd.Key.Host, hostlink.Frame{Grant: &hostlink.Grant{Ticket: cmd.Key.Ticket, Server: cmd.Server, Waited: cmd.Waited}})
	case dispatch.Refuse:
		refusals.Inc()
		s.send(cmd.Key.Host, hostlink.Frame{Refusal: &hostlink.Refusal{Ticket: cmd.Key.Ticket, Reason: cmd.Reason, Later: cmd.Later}})
	case dispatch.Yield:
		yieldsAsked.Inc()
		s.send(cmd.Key.Host, hostlink.Frame{Yield: cmd.Key.Ticket})
	}
}

func (s *Server) send(host ids.HostID, f hostlink.Frame) {
	s.mu.Lock()
	l := s.links[host]
	s.mu.Unlock()
	if l == nil {
		return // the host parted; its slots are freed with it
	}
	_ = l.Send(f) // a closed connection ends its reader
}
