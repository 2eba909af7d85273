package dispatch

import (
	"time"

	"verbenaledge.example/verbena/memory"
)

// roomSearch spares the search of a server for requests that find no room, while slots and memory are given out and none come back. Without
// it, each waiting request of a service that is short of memory would cost a pass over all servers.
type roomSearch struct {
	class Class
	// known is set once the servers have been searched with the reservation reserved.
	known    bool
	reserved *waiter
	// largest is the largest free room of a usable server with a slot to give, yieldable that with the memory of the server's items.
	largest, yieldable memory.Tokens
	anyFree            bool
	// lacking is the size of the smallest request that found no room, 0 if there was none.
	lacking memory.Tokens
	// awaiting counts the requests for which items yield.
	awaiting int
}

// maxAwaiting bounds the requests for which items are asked to yield at one event: each costs a pass over all items.
const maxAwaiting = 8

func (rs *roomSearch) search(now time.Time, p *pool) {
	if rs.known && rs.reserved == p.reserved.waiter {
		return
	}
	*rs = roomSearch{class: rs.class, known: true, reserved: p.reserved.waiter, awaiting: rs.awaiting, largest: -1, yieldable: -1}
	items := make(map[*server]memory.Tokens)
	for _, r := range p.batchRuns {
		items[r.server] += r.request.Footprint.Own
	}
	for _, s := range p.servers {
		if !s.usable(now) || s.keptFromClass(Key{}, rs.class) {
			continue
		}
		free := s.freeSlots(now) > 0
		rs.anyFree = rs.anyFree || free
		held, hasItems := items[s]
		if !free && !hasItems {
			continue
		}
		room := p.memoryTokens - s.held.Tokens()
		rs.largest, rs.yieldable = max(rs.largest, room), max(rs.yieldable, room+held)
	}
}

// findsNoRoom reports whether no server has room for the request.
func (rs *roomSearch) findsNoRoom(now time.Time, w *waiter, r SlotRequest) bool {
	p := w.pool
	if p.memoryTokens == 0 || r.Footprint.Size == 0 || p.reserved.waiter == w {
		return false
	}
	rs.search(now, p)
	return r.Footprint.Own > rs.largest || rs.lacking > 0 && r.Footprint.Own >= rs.lacking
}

// mayYield reports whether items may make room for a request that no server has room for.
func (rs *roomSearch) mayYield(r SlotRequest) bool {
	return rs.awaiting < maxAwaiting && r.Footprint.Own <= rs.yieldable
}

// add records a request that found no server. If it could use only some of the servers, it says nothing about others.
func (rs *roomSearch) add(now time.Time, p *pool, sel selection, r SlotRequest) {
	if !sel.lacksRoom || sel.unsuitable || len(r.Exclude) > 0 || r.Resumption != nil {
		return
	}
	rs.search(now, p)
	if rs.lacking == 0 || r.Footprint.Size < rs.lacking {
		rs.lacking = r.Footprint.Size
	}
}

// tryPlace is place without the search of a server where none has room.
func (sc *Scheduler) tryPlace(now time.Time, w *waiter, rs *roomSearch) (placed, anyFree bool) {
	if sc.isSuspect(now, w) {
		placed, sel := sc.place(now, w)
		return placed, sel.free > 0
	}
	req := sc.judge(now, w).excludeUnsafe(w.pool, w.request)
	if !rs.findsNoRoom(now, w, req) {
		placed, sel := sc.place(now, w)
		if !placed {
			rs.add(now, w.pool, sel, req)
		}
		return placed, sel.free > 0
	}
	w.lacksRoom = rs.anyFree
	if rs.mayYield(req) && sc.makeRoom(now, w, req, selection{lacksRoom: rs.anyFree}) {
		rs.awaiting++
	}
	return false, rs.anyFree
}
