package dispatch

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Usage is the use of a service's servers at a point in time.
type Usage struct {
	// Slots and Used count the slots of servers that can take requests; Batch counts the slots that batch items hold.
	Slots, Used, Batch int
	// Waiting counts callers' requests that wait for a slot.
	Waiting int
	// Servers counts all servers that are neither gone nor draining, Ejected those of them that are ejected or stalled.
	Servers, Ejected int
}

// Usage returns the usage of each service.
func (sch *Scheduler) Usage(now time.Time) map[ids.ServiceName]Usage {
	all := make(map[ids.ServiceName]Usage, len(sch.pools))
	for name, p := range sch.pools {
		u := Usage{Batch: len(p.batchRuns), Waiting: len(p.onlineQueue)}
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
			u.Used += s.usedSlots
		}
		all[name] = u
	}
	return all
}
