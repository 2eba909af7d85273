package dispatch

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Usage is what a service's servers do at a moment.
type Usage struct {
	// Slots and Used count those of servers that can take requests; Batch are those of Used that items hold.
	Slots, Used, Batch int
	// Waiting counts callers' requests without a slot.
	Waiting int
	// Servers are all that are there, Ejected those of them that are left alone.
	Servers, Ejected int
}

// Usage returns the usage of each service.
func (m *Scheduler) Usage(now time.Time) map[ids.ServiceName]Usage {
	all := make(map[ids.ServiceName]Usage, len(m.pools))
	for name, p := range m.pools {
		u := Usage{Batch: len(p.batch), Waiting: len(p.online)}
		for _, s := range p.servers {
			if s.gone || s.Draining {
				continue
			}
			u.Servers++
			if !s.usable(now) {
				u.Ejected++
				continue
			}
			u.Slots += s.Slots
			u.Used += s.used
		}
		all[name] = u
	}
	return all
}
