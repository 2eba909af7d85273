package dispatch

import (
	"time"
)

const (
	// soonest and latest bound the time after which a refused caller is told to come back.
	soonest = 100 * time.Millisecond
	latest  = 1500 * time.Millisecond
	// comeBackShare is the share of its remaining time for which a caller stays away.
	comeBackShare = 0.3
	// secondAttempt tells a caller who came back by the share of the route's time that it has left.
	secondAttempt = 0.97
	// noServerPause is when to come back to a service without servers; a server restarts within seconds.
	noServerPause = 500 * time.Millisecond
)

// ask takes a new request for a slot: it starts, waits or is refused.
func (m *Scheduler) ask(now time.Time, e SlotRequested) {
	p := m.pool(e.Request.Service)
	w := &waiter{key: Key{Host: e.Host, Ticket: e.Request.Ticket}, ask: e.Request, since: now, leave: now.Add(e.Request.Remaining), p: p}
	w.due = now.Add(e.Request.Objective)
	if !p.others(e.Request.Exclude) {
		w.ask.Exclude = nil // a server that failed once is better than none
	}
	if e.Request.Class == Batch {
		p.waiting.add(w)
		m.waits[w.key] = w
		m.serve(now, p)
		return
	}
	w.due = w.due.Add(-p.firstTime())
	if !m.off[CrashSuspects] && m.suspects.crashing(e.Request.Fingerprint) {
		m.out = append(m.out, Refuse{Key: w.key, Reason: Crashing, RetryAfter: clamp(latest, e.Request.Remaining), Inputs: p.inputs(p.pick(now, w.key.Host, e.Request))})
		return
	}
	if !m.meter(now, w) {
		return
	}
	if p.alive() == 0 {
		m.refuse(now, w, NoServer, noServerPause)
		return
	}
	if placed, _ := m.place(now, w); placed {
		return
	}
	if !m.off[EarlyRefusal] {
		if later, cannotStartInTime := m.cannotStartInTime(now, p, w); cannotStartInTime {
			m.refuse(now, w, Overload, later)
			return
		}
	}
	p.online.add(w)
	m.waits[w.key] = w
	m.out = append(m.out, Wait{Key: w.key})
}

// meter counts the request against its workspace's rate.
func (m *Scheduler) meter(now time.Time, w *waiter) bool {
	if m.absence.due(now) {
		m.absence.settle(now)
		m.share(now)
	}
	b, ok := m.buckets[w.ask.Workspace]
	if ok && w.ask.Retry {
		b.owe(now)
		m.spent.Add(now, spentHere, w.ask.Workspace, 1)
	}
	if !ok || !w.ask.Metered {
		return true
	}
	if ok, wait := b.take(now); !ok {
		m.out = append(m.out, Refuse{Key: w.key, Reason: OverRate, RetryAfter: clamp(wait, w.ask.Remaining), Inputs: w.p.inputs(w.p.pick(now, w.key.Host, w.ask))})
		return false
	}
	m.spent.Add(now, spentHere, w.ask.Workspace, 1)
	return true
}

// cannotStartInTime tells whether no start in time is likely, and when to come back. A caller who came back
// once is kept as long as an answer is likely before it leaves.
func (m *Scheduler) cannotStartInTime(now time.Time, p *pool, w *waiter) (later time.Duration, cannotStartInTime bool) {
	slots := p.slots(now)
	if slots == 0 {
		return clamp(noServerPause, w.ask.Remaining), w.ask.RouteTimeout > 0 && w.ask.Remaining > time.Duration(secondAttempt*float64(w.ask.RouteTimeout))
	}
	ahead := 1
	for _, o := range p.online {
		if before(o, w) && !now.After(o.due) {
			ahead++
		}
	}
	wait := p.turn(ahead, slots)
	limit := w.due.Sub(now)
	if w.returned() {
		limit = max(limit, w.ask.Remaining-p.holdTime()-p.firstTime())
	}
	if wait <= limit {
		return 0, false
	}
	if !m.off[CountReturning] {
		wait = p.turn(len(p.online)+p.away.count(now)+1, slots)
	}
	later = clamp(wait, w.ask.Remaining)
	p.away.add(now, later)
	return later, true
}

// turn is when the last of so many is served.
func (p *pool) turn(ahead, slots int) time.Duration {
	return p.holdTime() * time.Duration(ahead) / time.Duration(slots)
}

// returned tells a caller who was sent away before: it has less time than a first attempt.
func (w *waiter) returned() bool {
	return float64(w.ask.Remaining) < secondAttempt*float64(w.ask.RouteTimeout)
}

// clamp bounds when a caller is told to come back to what it honours.
func clamp(d, patience time.Duration) time.Duration {
	most := max(soonest, min(latest, time.Duration(comeBackShare*float64(patience))))
	return min(max(d, soonest), most)
}

func (m *Scheduler) refuse(now time.Time, w *waiter, reason Reason, later time.Duration) {
	m.giveBack(w.ask)
	m.out = append(m.out, Refuse{Key: w.key, Reason: reason, RetryAfter: later, Inputs: w.p.inputs(w.p.pick(now, w.key.Host, w.ask))})
}

// place starts an online request at once: on a free slot, or on one that a batch item leaves for it. free
// counts the slots that others may still take.
func (m *Scheduler) place(now time.Time, w *waiter) (placed bool, free int) {
	v := w.p.pick(now, w.key.Host, w.ask)
	s := v.best
	if s == nil || s.poor(now) {
		// Batch items go on elsewhere when a server fails them; for a caller's request that may be too late.
		if r := w.p.victim(now, w.key.Host, w.ask, s != nil); r != nil {
			r.yielding = true
			r.server.yielding++
			m.out = append(m.out, Yield{Key: r.key})
			s = r.server
		}
	}
	if s == nil {
		s = v.last
	}
	if s == nil {
		return false, v.free
	}
	in := w.p.inputs(v)
	m.start(now, w, s)
	if w.ask.Metered {
		m.absence.add(now, w.key.Host, w.ask.Workspace)
	}
	m.out = append(m.out, Grant{Key: w.key, Server: s.Server, Waited: now.Sub(w.since), Inputs: in})
	return true, v.free
}

func (m *Scheduler) start(now time.Time, w *waiter, s *server) {
	r := &run{key: w.key, ask: w.ask, server: s, start: now, due: w.due, leave: w.leave, late: w.late}
	m.runs[w.key] = r
	s.used++
	p := m.pool(w.ask.Service)
	if w.ask.Class != Batch {
		p.running++
		return
	}
	if p.batch == nil {
		p.batch = make(map[Key]*run)
	}
	p.batch[w.key] = r
}

func (m *Scheduler) drop(w *waiter) {
	delete(m.waits, w.key)
	if w.ask.Class == Batch {
		w.p.waiting.remove(w)
	} else {
		w.p.online.remove(w)
	}
}

// serve gives free slots to what waits: callers first, batch when no caller waits.
func (m *Scheduler) serve(now time.Time, p *pool) {
	m.expire(now, p)
	for len(p.online) > 0 {
		if !m.serveNext(now, p) {
			return
		}
	}
	p.planBatch(now)
	for len(p.waiting) > 0 {
		w := p.waiting[0]
		v := p.pick(now, w.key.Host, w.ask)
		p.plan.observe(now, max(0, v.slots-p.running-p.reserve()), v.slots)
		s := v.best
		if s == nil {
			s = v.last
		}
		if s == nil || v.free <= p.reserve() {
			return
		}
		in := p.inputs(v)
		m.drop(w)
		m.start(now, w, s)
		m.out = append(m.out, Grant{Key: w.key, Server: s.Server, Waited: now.Sub(w.since), Inputs: in})
	}
}

// serveNext starts the first that waits, or if the free slots are on servers that it can't use, the next
// one that can.
func (m *Scheduler) serveNext(now time.Time, p *pool) bool {
	first := p.online[0]
	if !m.off[LateLast] {
		first = p.online.next(now)
	}
	placed, free := m.place(now, first)
	if placed {
		m.drop(first)
		return true
	}
	if free == 0 {
		return false
	}
	for _, w := range p.online.ordered(now) {
		if placed, _ := m.place(now, w); placed {
			m.drop(w)
			return true
		}
	}
	return false
}

// expire refuses what can't be answered any more before its caller leaves: what has no time left, and
// what is late already and has too many ahead of it. It is told at once; waiting longer would only keep
// its caller from knowing.
func (m *Scheduler) expire(now time.Time, p *pool) {
	least := p.firstTime()
	slots := time.Duration(p.slots(now))
	ahead := p.online.inTime(now)
	for i := 0; i < len(p.online); {
		w := p.online[i]
		wait := time.Duration(0)
		if now.After(w.due) && slots > 0 && !m.off[LateRefusal] {
			ahead++
			wait = p.holdTime() * time.Duration(ahead) / slots
		}
		if now.Add(least + wait).Before(w.leave) {
			i++
			continue
		}
		if now.After(w.due) {
			ahead--
		}
		m.drop(w)
		m.refuse(now, w, TooLate, 0)
	}
}
