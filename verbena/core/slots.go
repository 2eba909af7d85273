package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/route"
	"verbenaledge.example/verbena/rules"
	"verbenaledge.example/verbena/slots"
)

// noticeEvery is how often a host repeats its count of online requests.
const noticeEvery = time.Second

// manageEvery is how often a host looks whether it manages other servers than
// before, unless the map, the list or the rules have changed.
const manageEvery = 500 * time.Millisecond

// managed is a backend server whose batch slots this host decides.
type managed struct {
	server  backend.Server
	manager *slots.Manager
	given   int
}

// noticing is what this host has told a backend server's manager.
type noticing struct {
	running int
	told    int
	seq     uint64
	at      time.Time
}

func managerName(b ids.BackendID) string {
	return "backend/" + string(b)
}

// tickSlots takes over and lets go of backend servers, and sets their slots.
func (c *Core) tickSlots() {
	if c.remanage || c.now.Sub(c.managedAt) >= manageEvery {
		c.remanage, c.managedAt = false, c.now
		c.manageServers()
	}
	for _, b := range sortedKeys(c.managers) {
		c.setSlots(c.managers[b])
	}
	for _, b := range sortedKeys(c.notices) {
		n := c.notices[b]
		if n.running != n.told || (n.running > 0 && c.now.Sub(n.at) >= noticeEvery) {
			c.tellManager(b, n)
		}
		if n.running == 0 && n.told == 0 {
			delete(c.notices, b)
		}
	}
}

func (c *Core) manageServers() {
	mine := map[ids.BackendID]backend.Server{}
	for _, s := range c.servers() {
		if service, ok := c.rules.Services[s.Service]; !ok || service.Kind != rules.KindModel {
			continue
		}
		if _, ok := c.holds(managerName(s.ID)); ok {
			mine[s.ID] = s
		}
	}
	for _, b := range sortedKeys(c.managers) {
		if _, keep := mine[b]; !keep {
			c.emit(SetSlots{Server: c.managers[b].server, FinishRunning: true})
			delete(c.managers, b)
		}
	}
	for _, b := range sortedKeys(mine) {
		if c.managers[b] == nil {
			c.managers[b] = &managed{server: mine[b], manager: slots.NewManager(c.config.Slots), given: -1}
		}
	}
}

func (c *Core) setSlots(m *managed) {
	n := m.manager.Slots(c.now)
	if c.draining {
		n = 0
	}
	if n == m.given {
		return
	}
	m.given = n
	c.emit(SetSlots{Server: m.server, Slots: n, Managed: true, FinishRunning: c.draining})
}

// noticeOnline counts this host's online requests at a backend server. More are
// told to the server's manager at once, fewer at the next tick.
func (c *Core) noticeOnline(b ids.BackendID, change int) {
	n := c.notices[b]
	if n == nil {
		n = &noticing{}
		c.notices[b] = n
	}
	n.running = max(0, n.running+change)
	if change > 0 {
		c.tellManager(b, n)
	}
}

func (c *Core) tellManager(b ids.BackendID, n *noticing) {
	n.seq++
	n.told, n.at = n.running, c.now
	owner, known := c.ownerOf(managerName(b))
	if !known {
		return
	}
	m := &peer.OnlineReport{From: c.config.Host, Backend: b, Seq: n.seq, Running: n.running}
	if owner == c.config.Host {
		c.routes.Step(c.now, route.OnlineReported{Backend: b, Online: c.heardNotice(m)})
		return
	}
	c.call(owner, m, nil)
}

// heardNotice takes a host's count of online requests at a managed server, and
// returns that of all hosts.
func (c *Core) heardNotice(m *peer.OnlineReport) (online int) {
	managed := c.managers[m.Backend]
	if managed == nil {
		return 0
	}
	managed.manager.ReportOnline(c.now, m.From, m.Seq, m.Running)
	c.setSlots(managed)
	return managed.manager.Online(c.now)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
