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

// onlineReportInterval is how often a host repeats its count of online requests.
const onlineReportInterval = time.Second

// managedServersCheckInterval is how often a host checks which servers it manages. A change of the shard map, the host
// list or the rules triggers a check at once.
const managedServersCheckInterval = 500 * time.Millisecond

// managedServer is a backend server whose batch slots this host decides.
type managedServer struct {
	server  backend.Server
	manager *slots.Manager
	slots   int
}

// onlineReport counts this host's online requests at a backend server and holds what it has reported to the server's
// manager.
type onlineReport struct {
	running  int
	reported int
	seq      uint64
	sentAt   time.Time
}

func managerShardName(b ids.BackendID) string {
	return "backend/" + string(b)
}

// tickSlots updates which servers this host manages, sets their slots, and sends due online reports.
func (c *Core) tickSlots() {
	if c.recheckManagedServers || c.now.Sub(c.managedServersCheckedAt) >= managedServersCheckInterval {
		c.recheckManagedServers, c.managedServersCheckedAt = false, c.now
		c.updateManagedServers()
	}
	for _, b := range sortedKeys(c.managedServers) {
		c.setSlots(c.managedServers[b])
	}
	for _, b := range sortedKeys(c.onlineReports) {
		r := c.onlineReports[b]
		if r.running != r.reported || (r.running > 0 && c.now.Sub(r.sentAt) >= onlineReportInterval) {
			c.reportOnline(b, r)
		}
		if r.running == 0 && r.reported == 0 {
			delete(c.onlineReports, b)
		}
	}
}

func (c *Core) updateManagedServers() {
	mine := map[ids.BackendID]backend.Server{}
	for _, s := range c.servers() {
		if service, ok := c.rules.Services[s.Service]; !ok || service.Kind != rules.KindModel {
			continue
		}
		if _, ok := c.ownedShardFor(managerShardName(s.ID)); ok {
			mine[s.ID] = s
		}
	}
	for _, b := range sortedKeys(c.managedServers) {
		if _, keep := mine[b]; !keep {
			c.emit(SetSlots{Server: c.managedServers[b].server, FinishRunning: true})
			delete(c.managedServers, b)
		}
	}
	for _, b := range sortedKeys(mine) {
		if c.managedServers[b] == nil {
			c.managedServers[b] = &managedServer{server: mine[b], manager: slots.NewManager(c.config.Slots), slots: -1}
		}
	}
}

func (c *Core) setSlots(m *managedServer) {
	n := m.manager.Slots(c.now)
	if c.draining {
		n = 0
	}
	if n == m.slots {
		return
	}
	m.slots = n
	c.emit(SetSlots{Server: m.server, Slots: n, Managed: true, FinishRunning: c.draining})
}

// countOnline changes this host's count of online requests at a backend server. It reports an increase to the
// server's manager at once, a decrease at the next tick.
func (c *Core) countOnline(b ids.BackendID, change int) {
	r := c.onlineReports[b]
	if r == nil {
		r = &onlineReport{}
		c.onlineReports[b] = r
	}
	r.running = max(0, r.running+change)
	if change > 0 {
		c.reportOnline(b, r)
	}
}

func (c *Core) reportOnline(b ids.BackendID, r *onlineReport) {
	r.seq++
	r.reported, r.sentAt = r.running, c.now
	owner, known := c.ownerOf(managerShardName(b))
	if !known {
		return
	}
	m := &peer.OnlineReport{From: c.config.Host, Backend: b, Seq: r.seq, Running: r.running}
	if owner == c.config.Host {
		c.routes.Step(c.now, route.OnlineReported{Backend: b, Online: c.onlineReported(m)})
		return
	}
	c.call(owner, m, nil)
}

// onlineReported records a host's count of online requests at a managed server and returns the total of all
// hosts.
func (c *Core) onlineReported(m *peer.OnlineReport) (online int) {
	managed := c.managedServers[m.Backend]
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
