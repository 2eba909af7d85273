package host

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

var drainNotices = metrics.NewCounter("verbenad_server_drain_notices_total")

// drains joins what servers say of themselves in their answers to what the store lists, for all that decide in
// this process, and passes it on to other hosts.
type drains struct {
	clock clock.Clock
	// use hands the list on to those that decide.
	use func(map[ids.BackendID]directory.Server)
	// up tells the hosts that this one asks, down those that ask this one.
	up, down func([]directory.DrainNotice)

	// order is held while a list is made and handed on, so that an older one doesn't follow a newer one.
	order  sync.Mutex
	listed map[ids.BackendID]directory.Server

	mu    sync.Mutex
	known *directory.DrainNotices
}

func newDrains(c clock.Clock) *drains {
	none := func([]directory.DrainNotice) {}
	return &drains{clock: c, known: directory.NewDrainNotices(), up: none, down: none, use: func(map[ids.BackendID]directory.Server) {}}
}

// list takes the store's list.
func (d *drains) list(servers map[ids.BackendID]directory.Server) {
	d.order.Lock()
	defer d.order.Unlock()
	d.listed = servers
	d.handOn()
}

func (d *drains) handOn() {
	if d.listed == nil {
		return
	}
	d.mu.Lock()
	marked := d.known.MarkDraining(d.clock.Now(), d.listed)
	d.mu.Unlock()
	d.use(marked)
}

// answered takes an answer of a server that says that it stops soon.
func (d *drains) answered(s directory.Server) {
	list := []directory.DrainNotice{{Server: s.ID, Incarnation: s.Incarnation}}
	if list = d.take(list, "answer"); len(list) > 0 {
		d.up(list)
		d.down(list)
	}
}

// FromHost takes what a host that asks this one knows.
func (d *drains) FromHost(list []directory.DrainNotice) {
	if list = d.take(list, "host"); len(list) > 0 {
		d.up(list)
		d.down(list)
	}
}

// FromDispatcher takes what a host that this one asks passes on.
func (d *drains) FromDispatcher(list []directory.DrainNotice) {
	if list = d.take(list, "dispatcher"); len(list) > 0 {
		d.down(list)
	}
}

// take returns the notices that say something new, once they are in force here.
func (d *drains) take(list []directory.DrainNotice, source string) (added []directory.DrainNotice) {
	d.mu.Lock()
	for _, n := range list {
		if d.known.Add(d.clock.Now(), n) {
			added = append(added, n)
		}
	}
	d.mu.Unlock()
	if len(added) == 0 {
		return nil
	}
	drainNotices.Add(len(added))
	for _, n := range added {
		log.WithFields(log.Fields{"server": n.Server, "incarnation": n.Incarnation, "from": source}).Info("server says that it stops")
	}
	d.order.Lock()
	defer d.order.Unlock()
	d.handOn()
	return added
}

// All returns the notices that hold.
func (d *drains) All() []directory.DrainNotice {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.All()
}

// Holds tells whether a server said that it stops.
func (d *drains) Holds(s directory.Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Holds(s)
}
