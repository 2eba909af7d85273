package dispatch

import (
	"time"

	"verbenaledge.example/verbena/memory"
)

const (
	// reserveAfterShare is the share of the time until a start in time after which a caller that lacks room gets a server reserved.
	// The rest is for the server to become free enough.
	reserveAfterShare = 0.25
	// reserveItemAfter is the same for a batch item: items have time, and a reserved server idles in part.
	reserveItemAfter = time.Second
)

// roomReservation keeps a server for a request that lacked room for long: small requests would always take the memory that becomes
// free. A service has at most one.
type roomReservation struct {
	waiter *waiter
	server *server
}

// reserveRoom reserves a server for the oldest request that has lacked room for its time, and drops a reservation whose server
// can't be used any more.
func (p *pool) reserveRoom(now time.Time) {
	if r := p.reserved; r.waiter != nil {
		if p.memoryTokens > 0 && r.server.usable(now) && r.waiter.request.mayRunOn(now, r.server) {
			return
		}
		p.dropReservation(r.waiter)
	}
	if p.memoryTokens == 0 {
		return
	}
	var oldest *waiter
	for _, q := range []queue{p.onlineQueue, p.batchQueue} {
		for _, w := range q {
			if w.lacksRoom && now.Sub(w.since) >= w.reserveAfter() && (oldest == nil || w.since.Before(oldest.since)) {
				oldest = w
			}
		}
	}
	if oldest == nil {
		return
	}
	if s, _ := p.firstWithRoom(now, oldest.key, oldest.request); s != nil {
		p.reserved, s.reservedFor = roomReservation{oldest, s}, oldest
	}
}

// reserveAfter is how long the request lacks room before a server is reserved for it.
func (w *waiter) reserveAfter() time.Duration {
	if w.request.Class == Batch {
		return reserveItemAfter
	}
	return max(0, time.Duration(reserveAfterShare*float64(w.due.Sub(w.since))))
}

// dropReservation ends the reservation of a request, if it has one.
func (p *pool) dropReservation(w *waiter) {
	if p.reserved.waiter != w {
		return
	}
	p.reserved.server.reservedFor = nil
	p.reserved = roomReservation{}
}

// keptFrom reports whether the server is reserved for another request.
func (s *server) keptFrom(k Key) bool { return s.reservedFor != nil && s.reservedFor.key != k }

// keptFromClass is keptFrom without the servers that the class may take: callers go before items.
func (s *server) keptFromClass(k Key, class Class) bool {
	return s.keptFrom(k) && (class == Batch || s.reservedFor.request.Class != Batch)
}

// offersRoom reports whether the request fits and the server's room isn't kept for another.
func (p *pool) offersRoom(s *server, k Key, r *SlotRequest) bool {
	if r.Class == Batch && p.callersLackRoom && s.yieldingSlots > 0 {
		return false
	}
	return !s.keptFromClass(k, r.Class) && p.hasRoom(s, &r.Footprint)
}

// reservedForItem marks servers that a caller's request uses only if it fits on no other suitable one, but rather than a slot that an
// item yields.
const reservedForItem = unsuitable + 1

func (s *server) suitabilityIfReserved(k Key, suits suitability) suitability {
	if suits == suitable && s.keptFrom(k) {
		return reservedForItem
	}
	return suits
}

// firstWithRoom returns the server that has room for the request first if it gets no other, and when: each gives back what it holds
// once in the usual time of a request.
func (p *pool) firstWithRoom(now time.Time, k Key, r SlotRequest) (first *server, wait time.Duration) {
	yielding := p.yieldingTokens()
	for _, s := range p.servers {
		if !s.usable(now) || !r.mayRunOn(now, s) {
			continue
		}
		d := p.returnTime(s, p.lackingTokens(s, &r.Footprint, yielding[s]))
		if s.keptFromClass(k, r.Class) {
			d = p.roomBehindReserved(s, r, yielding[s])
		}
		if first == nil || d < wait {
			first, wait = s, d
		}
	}
	return first, wait
}

// roomBehindReserved estimates when a reserved server has room for a further request. What both need beyond all that it holds comes
// free with the request that it is reserved for.
func (p *pool) roomBehindReserved(s *server, r SlotRequest, yielding memory.Tokens) time.Duration {
	lacking := p.lackingTokens(s, &s.reservedFor.request.Footprint, yielding) + r.Footprint.Size
	d := p.returnTime(s, lacking)
	if lacking > s.held.Tokens()-yielding {
		d += p.holdTime()
	}
	return d
}

// returnTime estimates when a server has given back an amount of its memory.
func (p *pool) returnTime(s *server, lacking memory.Tokens) time.Duration {
	if lacking <= 0 {
		return 0
	}
	return time.Duration(float64(p.holdTime()) * min(1, float64(lacking)/float64(max(1, s.held.Tokens()))))
}

// roomWait estimates when a new request has room. Memory that others give back counts from the time at which a server is reserved for
// the request: until then newcomers may take it.
func (p *pool) roomWait(now time.Time, w *waiter) time.Duration {
	if p.memoryTokens == 0 || w.request.Footprint.Size == 0 {
		return 0
	}
	s, wait := p.firstWithRoom(now, w.key, w.request)
	if wait == 0 {
		return 0
	}
	begin := w.reserveAfter()
	if s.keptFromClass(w.key, w.request.Class) {
		return max(begin, wait)
	}
	if r := p.reserved; r.waiter != nil && r.waiter != w {
		begin = max(begin, p.returnTime(r.server, p.lackingTokens(r.server, &r.waiter.request.Footprint, 0)))
	}
	return begin + wait
}

// serveReserved starts the caller's request that a server is reserved for before all others, once it has room.
func (sc *Scheduler) serveReserved(now time.Time, p *pool) {
	w := p.reserved.waiter
	if w == nil || w.request.Class == Batch || sc.isSuspect(now, w) {
		return
	}
	if placed, _ := sc.place(now, w); placed {
		sc.removeWaiting(w)
	}
}
