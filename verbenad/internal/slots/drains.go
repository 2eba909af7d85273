package slots

import (
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// Drains are the servers that said in an answer that they stop soon.
type DrainNotices interface {
	All() []directory.DrainNotice
	Holds(s directory.Server) bool
	// FromHost takes what a host that asks here has seen, FromDispatcher what the host that is asked passes on.
	FromHost(list []directory.DrainNotice)
	FromDispatcher(list []directory.DrainNotice)
}

// noDrains is a host that is told of none.
type noDrains struct{}

func (noDrains) All() []directory.DrainNotice           { return nil }
func (noDrains) Holds(directory.Server) bool            { return false }
func (noDrains) FromHost([]directory.DrainNotice)       {}
func (noDrains) FromDispatcher([]directory.DrainNotice) {}

// ReportDrains tells the host that dispatches, and a standby that is asked, of servers that said that they stop.
func (c *Client) ReportDrainNotices(list []directory.DrainNotice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ch := range []*channel{c.dispatcher, c.standby} {
		if ch.joined {
			ch.send(hostlink.Frame{Drains: list})
		}
	}
}

// PassDrains tells all hosts that ask here of servers that said that they stop.
func (s *Dispatcher) BroadcastDrainNotices(list []directory.DrainNotice) {
	s.mu.Lock()
	members := make([]*member, 0, len(s.links))
	for _, m := range s.links {
		members = append(members, m)
	}
	s.mu.Unlock()
	for _, m := range members {
		_ = m.link.Send(hostlink.Frame{Drains: list}) // a closed connection ends its reader
	}
}
