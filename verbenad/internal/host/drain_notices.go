package host

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

var drainNoticesReceived = metrics.NewCounter("verbenad_server_drain_notices_total")

// drainNotices collects the notices of servers that will stop soon, which servers send with their responses. It marks
// these servers in the store's list, for all decisions in this process, and forwards new notices to other hosts.
type drainNotices struct {
	clock clock.Clock
	// apply passes the marked list to the dispatcher, or to the slot client of an entry host.
	apply func(map[ids.BackendID]directory.Server)
	// notifyDispatcher sends notices to the hosts that this one requests slots from, notifyHosts to those that request
	// slots here.
	notifyDispatcher, notifyHosts func([]directory.DrainNotice)

	// applyMu is held while a list is marked and applied, so that an older one isn't applied after a newer one.
	applyMu sync.Mutex
	servers map[ids.BackendID]directory.Server

	mu      sync.Mutex
	notices *directory.DrainNotices
}

func newDrainNotices(c clock.Clock) *drainNotices {
	none := func([]directory.DrainNotice) {}
	return &drainNotices{
		clock: c, notices: directory.NewDrainNotices(), notifyDispatcher: none, notifyHosts: none, apply: func(map[ids.BackendID]directory.Server) {},
	}
}

// setServers sets the store's list of servers.
func (d *drainNotices) setServers(servers map[ids.BackendID]directory.Server) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.servers = servers
	d.applyLocked()
}

// applyLocked marks the draining servers in the list and applies it. The caller holds applyMu.
func (d *drainNotices) applyLocked() {
	if d.servers == nil {
		return
	}
	d.mu.Lock()
	marked := d.notices.MarkDraining(d.clock.Now(), d.servers)
	d.mu.Unlock()
	d.apply(marked)
}

// fromServer adds the notice of a server that said in a response that it will stop soon.
func (d *drainNotices) fromServer(s directory.Server) {
	list := []directory.DrainNotice{{Server: s.ID, Incarnation: s.Incarnation}}
	if list = d.add(list, "answer"); len(list) > 0 {
		d.notifyDispatcher(list)
		d.notifyHosts(list)
	}
}

// AddFromHost adds the notices of a host that requests slots here.
func (d *drainNotices) AddFromHost(list []directory.DrainNotice) {
	if list = d.add(list, "host"); len(list) > 0 {
		d.notifyDispatcher(list)
		d.notifyHosts(list)
	}
}

// AddFromPlacer adds the notices of a host that this one requests slots from.
func (d *drainNotices) AddFromPlacer(list []directory.DrainNotice) {
	if list = d.add(list, "dispatcher"); len(list) > 0 {
		d.notifyHosts(list)
	}
}

// add applies the notices and returns those that are new.
func (d *drainNotices) add(list []directory.DrainNotice, source string) (added []directory.DrainNotice) {
	d.mu.Lock()
	for _, n := range list {
		if d.notices.Add(d.clock.Now(), n) {
			added = append(added, n)
		}
	}
	d.mu.Unlock()
	if len(added) == 0 {
		return nil
	}
	drainNoticesReceived.Add(len(added))
	for _, n := range added {
		log.WithFields(log.Fields{"server": n.Server, "incarnation": n.Incarnation, "from": source}).Info("server says that it stops")
	}
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.applyLocked()
	return added
}

// All returns the notices in force.
func (d *drainNotices) All() []directory.DrainNotice {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notices.All()
}

// IsDraining reports whether a notice of the server is in force.
func (d *drainNotices) IsDraining(s directory.Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notices.IsDraining(s)
}
