package dispatch

import (
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
	"verbenaledge.example/verbena/pace"
)

// Usage counts a service's slots, waiting requests and servers at a point in time.
type Usage struct {
	// Slots and Used count the slots of servers that can take requests; Batch counts the slots that batch items hold.
	Slots, Used, Batch int
	// Waiting counts callers' requests that wait for a slot.
	Waiting int
	// Servers counts all servers that are neither delisted nor draining nor evacuated, Ejected those of them that are ejected or stalled.
	Servers, Ejected int
	// Limited counts the servers that name a limit, LimitPerSecond is the sum of their limits.
	Limited        int
	LimitPerSecond limit.RequestsPerSecond
	// Cold counts the servers that are known to be cold and whose service has a bound.
	Cold int
	// LimitedGrants counts all slots granted on servers with a limit so far, HeldBack the requests that waited or were
	// refused while a limit left slots free.
	LimitedGrants, HeldBack int
	// Paces are the paces of the servers' machines, as far as they are known. HeldMemory are the shares of their memory that requests
	// hold.
	Paces      []pace.Percent
	HeldMemory []float64
	// RoomShort is set if callers' requests of several workspaces wanted more slots than were free within usageWindow.
	// BeyondShare counts the workspaces beyond their share then, MostUsing is one that uses the most, if any.
	RoomShort   bool
	BeyondShare int
	MostUsing   ids.WorkspaceID
	// PartTokens counts the tokens of the shared parts of the prompts that were placed so far.
	PartTokens PartTokens
}

// usageWindow is the time for which a shortage of room is reported: the interval of reports, and some more.
const usageWindow = 2 * time.Second

// Usage returns the usage of each service.
func (sc *Scheduler) Usage(now time.Time) map[ids.ServiceName]Usage {
	all := make(map[ids.ServiceName]Usage, len(sc.pools))
	for name, p := range sc.pools {
		u := Usage{Batch: len(p.batchRuns), Waiting: len(p.onlineQueue), LimitedGrants: p.limitedGrants, HeldBack: p.heldBack, PartTokens: p.prompts.placed}
		if s := &p.callerShares; s.inForce && now.Sub(s.decidedAt) < usageWindow {
			u.RoomShort, u.BeyondShare, u.MostUsing = true, len(s.beyond), s.mostUsing(now)
		}
		for _, s := range p.servers {
			if !s.present() {
				continue
			}
			u.Servers++
			if s.isLimited() {
				u.Limited++
				u.LimitPerSecond += s.limit.Statement().PerSecond
			}
			if s.cold.IsBounded() && s.cold.IsCold(now) {
				u.Cold++
			}
			if !s.usable(now) {
				u.Ejected++
				continue
			}
			u.addMachine(now, p, s)
			u.Slots += s.Slots
			u.Used += s.usedSlots
		}
		all[name] = u
	}
	return all
}

func (u *Usage) addMachine(now time.Time, p *pool, s *server) {
	if s.pace != nil && now.Sub(s.pace.estimate.ReadAt()) < pace.MaxAge {
		u.Paces = append(u.Paces, s.pace.estimate.At(now))
	}
	if p.memoryTokens > 0 {
		u.HeldMemory = append(u.HeldMemory, float64(s.held.Tokens())/float64(p.memoryTokens))
	}
}
