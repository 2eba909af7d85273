package slots

import (
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// DrainNotices holds the servers that announced in a response that they stop soon.
type DrainNotices interface {
	All() []directory.DrainNotice
	IsDraining(s directory.Server) bool
	// AddFromHost adds notices from a host that requests slots here, AddFromPlacer those from a placer of this host.
	AddFromHost(list []directory.DrainNotice)
	AddFromPlacer(list []directory.DrainNotice)
}

// noDrainNotices holds no notices and ignores new ones.
type noDrainNotices struct{}

func (noDrainNotices) All() []directory.DrainNotice          { return nil }
func (noDrainNotices) IsDraining(directory.Server) bool      { return false }
func (noDrainNotices) AddFromHost([]directory.DrainNotice)   {}
func (noDrainNotices) AddFromPlacer([]directory.DrainNotice) {}

// ReportDrainNotices sends notices to the placers at which this host is registered.
func (c *Client) ReportDrainNotices(list []directory.DrainNotice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range []*placerConn{c.dispatcher, c.standby} {
		if conn.registered {
			conn.send(hostlink.Frame{DrainNotices: list})
		}
	}
}

// BroadcastDrainNotices sends notices to all connected hosts.
func (d *Dispatcher) BroadcastDrainNotices(list []directory.DrainNotice) {
	d.mu.Lock()
	members := make([]*member, 0, len(d.members))
	for _, m := range d.members {
		members = append(members, m)
	}
	d.mu.Unlock()
	for _, m := range members {
		_ = m.link.Send(hostlink.Frame{DrainNotices: list}) // the reader of a closed link handles the disconnect
	}
}
