package dispatch

import (
	"time"

	"verbenaledge.example/verbena/memory"
)

// footprint returns what the request holds in a server's memory.
func (r SlotRequest) footprint() memory.Footprint {
	return memory.Request{
		Prompt: memory.Tokens(r.PromptTokens), Output: memory.Tokens(r.OutputTokens), Parts: r.Parts, PartTokens: r.PartTokens,
	}.Footprint()
}

// memoryTokens returns the memory of a server of the service, 0 if it isn't known.
func (sc *Scheduler) memoryTokens(p *pool) memory.Tokens {
	if sc.disabled[MemoryRoom] {
		return 0
	}
	return memory.Tokens(sc.traits[p.service].MemoryTokens)
}

// setMemory applies the memory of the services' servers. It refuses the waiting requests that fit on none any more.
func (sc *Scheduler) setMemory(now time.Time) {
	for _, p := range sc.pools {
		p.memoryTokens = sc.memoryTokens(p)
		for _, q := range []*queue{&p.onlineQueue, &p.batchQueue} {
			for i := 0; i < len(*q); {
				w := (*q)[i]
				if !p.tooLarge(w.request) {
					i++
					continue
				}
				sc.removeWaiting(w)
				sc.refuse(now, w, TooLarge, 0)
			}
		}
	}
}

// tooLarge reports whether no server could ever hold the request.
func (p *pool) tooLarge(r SlotRequest) bool {
	return p.memoryTokens > 0 && r.Footprint.Size > p.memoryTokens
}

// refuseTooLarge refuses a new request that no server of its service could ever hold. It hasn't been counted against a rate.
func (sc *Scheduler) refuseTooLarge(now time.Time, w *waiter) bool {
	if !w.pool.tooLarge(w.request) {
		return false
	}
	sc.commands = append(sc.commands, Refuse{
		Key: w.key, Reason: TooLarge, Inputs: w.pool.inputs(w.pool.selectServer(now, w.key.Host, w.request)), Resumption: w.resumption,
	})
	return true
}

// hasRoom reports whether the request fits in the server's memory beside those that it holds, items that yield included: a server whose
// memory runs out stops its newest request and reads it again, or crashes. Requests without sizes always fit.
func (p *pool) hasRoom(s *server, f *memory.Footprint) bool {
	if p.memoryTokens == 0 || s.slotShare >= 1 && s.held.Tokens()+f.Size <= p.memoryTokens {
		return true // whatever it shares
	}
	return p.lackingTokens(s, f, 0) <= 0
}

// lackingTokens returns how many tokens the server has too few for the request once some are given back. Hosts that decide by
// themselves use their part of the memory, or hold one request.
func (p *pool) lackingTokens(s *server, f *memory.Footprint, givenBack memory.Tokens) memory.Tokens {
	if p.memoryTokens == 0 || f.Size == 0 {
		return 0
	}
	limit, held := p.memoryTokens, s.held.Tokens()-givenBack
	if s.slotShare < 1 && held > 0 {
		limit = memory.Tokens(s.slotShare * float64(limit))
	}
	return held + s.held.Need(*f) - limit
}

// slotsInMemory limits a server's slots to those that requests of the usual size can use at the same time.
func (p *pool) slotsInMemory(slots float64) float64 {
	if p.memoryTokens == 0 || p.meanTokens == 0 {
		return slots
	}
	return min(slots, max(1, float64(p.memoryTokens)/p.meanTokens))
}

// holdMemory counts the memory of a run that begins, giveBackMemory that of one that ends.
func (p *pool) holdMemory(r *run) {
	r.request.Footprint = r.request.footprint()
	if need := r.server.held.Need(r.request.Footprint); need > 0 {
		p.meanTokens = poolAverage(p.meanTokens, float64(need))
	}
	r.server.held.Add(r.request.Footprint)
	p.held.Add(r.request.Footprint)
}

func (p *pool) giveBackMemory(r *run) {
	r.server.held.Remove(r.request.Footprint)
	p.held.Remove(r.request.Footprint)
}

// findMeanRoom returns the memory that a usable server has left, on average. Hosts that decide by themselves take it that the others
// use their shares alike.
func (p *pool) findMeanRoom(now time.Time) memory.Tokens {
	if p.memoryTokens == 0 {
		return 0
	}
	sum, n := 0.0, 0
	for _, s := range p.servers {
		if s.usable(now) && s.slotShare > 0 {
			sum, n = sum+float64(s.held.Tokens())/s.slotShare, n+1
		}
	}
	return p.memoryTokens - memory.Tokens(sum/float64(max(1, n)))
}

// isShortOfMemory reports whether the usable servers have less memory left, on average, than the request needs where it shares
// nothing.
func (p *pool) isShortOfMemory(r SlotRequest) bool {
	return p.memoryTokens > 0 && p.meanRoom < r.Footprint.Size
}

// mostRoom returns the most memory that a server with a free slot for callers has left.
func (p *pool) mostRoom(now time.Time) (room memory.Tokens) {
	for _, s := range p.servers {
		if s.usable(now) && s.freeSlots(now) > 0 {
			room = max(room, p.memoryTokens-s.held.Tokens())
		}
	}
	return room
}

// lacksRoomEverywhere reports whether the request needs more than the most room that a server has, even if that server held
// all parts that any server holds. It spares the search of the servers for each of many waiting requests. It reports false while
// batch items run, since some may yield their memory.
func (p *pool) lacksRoomEverywhere(r SlotRequest, room memory.Tokens) bool {
	return p.memoryTokens > 0 && len(p.batchRuns) == 0 && r.Footprint.Size > 0 && p.held.Need(r.Footprint) > room
}
