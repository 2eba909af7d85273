package dispatch

import (
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// retryAfterShare is the longest wait that a caller honours, as a share of its remaining time.
	retryAfterShare = 0.3
	// firstAttemptShare distinguishes first attempts from retries after a refusal: a retry has less than this share of
	// the route's timeout left.
	firstAttemptShare = 0.97
	// noServerRetryAfter is the retry time for a service without servers; a server restarts within seconds.
	noServerRetryAfter = 500 * time.Millisecond
)

// handleRequest starts a new slot request, lets it wait or refuses it.
func (sch *Scheduler) handleRequest(now time.Time, e SlotRequested) {
	p := sch.pool(e.Request.Service)
	w := &waiter{key: Key{Host: e.Host, Ticket: e.Request.Ticket}, request: e.Request, since: now, deadline: now.Add(e.Request.Remaining), pool: p}
	w.due = now.Add(e.Request.Objective)
	if !p.hasOther(e.Request.Exclude) {
		w.request.Exclude = nil // a server that failed once is better than none
	}
	if e.Request.Class == Batch {
		p.batchQueue.add(w)
		sch.waiting[w.key] = w
		sch.servePool(now, p)
		return
	}
	w.due = w.due.Add(-p.firstByteTime())
	if !sch.disabled[CrashSuspects] && sch.suspects.isCrashing(e.Request.Fingerprint) {
		sch.commands = append(sch.commands, Refuse{
			Key: w.key, Reason: Crashing, RetryAfter: clampRetryAfter(maxRetryAfter, e.Request.Remaining),
			Inputs: p.inputs(p.selectServer(now, w.key.Host, e.Request)),
		})
		return
	}
	if !sch.takeToken(now, w) {
		return
	}
	if p.presentServers() == 0 {
		sch.refuse(now, w, NoServer, noServerRetryAfter)
		return
	}
	if placed, _ := sch.place(now, w); placed {
		return
	}
	if !sch.disabled[EarlyRefusal] {
		if retryAfter, cannotStartInTime := sch.cannotStartInTime(now, p, w); cannotStartInTime {
			sch.refuse(now, w, Overload, retryAfter)
			return
		}
	}
	p.onlineQueue.add(w)
	sch.waiting[w.key] = w
	sch.commands = append(sch.commands, Wait{Key: w.key})
}

// takeToken counts the request against its workspace's rate and refuses it if the rate is exceeded.
func (sch *Scheduler) takeToken(now time.Time, w *waiter) bool {
	if sch.reservations.expiryDue(now) {
		sch.reservations.removeExpired(now)
		sch.applyReservations(now)
	}
	b, ok := sch.buckets[w.request.Workspace]
	if ok && w.request.Retry {
		b.takeOnCredit(now)
		sch.admissions.Add(now, admittedHere, w.request.Workspace, 1)
	}
	if !ok || !w.request.Metered {
		return true
	}
	if ok, wait := b.take(now); !ok {
		sch.commands = append(sch.commands, Refuse{
			Key: w.key, Reason: OverRate, RetryAfter: clampRetryAfter(wait, w.request.Remaining),
			Inputs: w.pool.inputs(w.pool.selectServer(now, w.key.Host, w.request)),
		})
		return false
	}
	sch.admissions.Add(now, admittedHere, w.request.Workspace, 1)
	return true
}

// cannotStartInTime reports whether a start in time is unlikely, and when to retry. A caller that was refused before is
// kept as long as an answer is likely before its time ends.
func (sch *Scheduler) cannotStartInTime(now time.Time, p *pool, w *waiter) (retryAfter time.Duration, cannotStartInTime bool) {
	slots := p.usableSlots(now)
	if slots == 0 {
		return clampRetryAfter(noServerRetryAfter, w.request.Remaining),
			w.request.RouteTimeout > 0 && w.request.Remaining > time.Duration(firstAttemptShare*float64(w.request.RouteTimeout))
	}
	ahead := 1
	for _, o := range p.onlineQueue {
		if waitsBefore(o, w) && !now.After(o.due) {
			ahead++
		}
	}
	wait := p.queueTime(ahead, slots)
	limit := w.due.Sub(now)
	if w.isReturning() {
		limit = max(limit, w.request.Remaining-p.holdTime()-p.firstByteTime())
	}
	if wait <= limit {
		return 0, false
	}
	if !sch.disabled[CountReturning] {
		wait = p.queueTime(len(p.onlineQueue)+p.returning.count(now)+1, slots)
	}
	retryAfter = clampRetryAfter(wait, w.request.Remaining)
	p.returning.add(now, retryAfter)
	return retryAfter, true
}

// queueTime estimates when the last of the given number of requests gets a slot.
func (p *pool) queueTime(ahead, slots int) time.Duration {
	return p.holdTime() * time.Duration(ahead) / time.Duration(slots)
}

// isReturning reports whether the caller was refused before: it has less time left than a first attempt.
func (w *waiter) isReturning() bool {
	return float64(w.request.Remaining) < firstAttemptShare*float64(w.request.RouteTimeout)
}

// clampRetryAfter limits a retry time to what the caller honours.
func clampRetryAfter(d, remaining time.Duration) time.Duration {
	upper := max(minRetryAfter, min(maxRetryAfter, time.Duration(retryAfterShare*float64(remaining))))
	return min(max(d, minRetryAfter), upper)
}

func (sch *Scheduler) refuse(now time.Time, w *waiter, reason Reason, retryAfter time.Duration) {
	sch.refundToken(w.request)
	sch.commands = append(sch.commands, Refuse{
		Key: w.key, Reason: reason, RetryAfter: retryAfter, Inputs: w.pool.inputs(w.pool.selectServer(now, w.key.Host, w.request)),
	})
}

// place starts an online request at once, on a free slot or on one that a batch item yields. If it can't be placed, free
// is the number of slots that are free, for other requests only.
func (sch *Scheduler) place(now time.Time, w *waiter) (placed bool, free int) {
	sel := w.pool.selectServer(now, w.key.Host, w.request)
	s := sel.best
	if s == nil || s.failing(now) {
		// A batch item resumes elsewhere when its server fails; a caller's request may have no time for that.
		if r := w.pool.itemToYield(now, w.key.Host, w.request, s != nil); r != nil {
			r.yielding = true
			r.server.yieldingSlots++
			sch.commands = append(sch.commands, Yield{Key: r.key})
			s = r.server
		}
	}
	if s == nil {
		s = sel.lastResort
	}
	if s == nil {
		return false, sel.free
	}
	in := w.pool.inputs(sel)
	sch.startRun(now, w, s)
	if w.request.Metered {
		sch.reservations.countAdmitted(now, w.key.Host, w.request.Workspace)
	}
	sch.commands = append(sch.commands, Grant{Key: w.key, Server: s.Server, Waited: now.Sub(w.since), Inputs: in})
	return true, sel.free
}

func (sch *Scheduler) startRun(now time.Time, w *waiter, s *server) {
	r := &run{key: w.key, request: w.request, server: s, start: now, due: w.due, deadline: w.deadline, deferred: w.deferred}
	sch.runs[w.key] = r
	s.usedSlots++
	p := sch.pool(w.request.Service)
	if w.request.Class != Batch {
		p.onlineRuns++
		return
	}
	if p.batchRuns == nil {
		p.batchRuns = make(map[Key]*run)
	}
	p.batchRuns[w.key] = r
}

func (sch *Scheduler) removeWaiting(w *waiter) {
	delete(sch.waiting, w.key)
	if w.request.Class == Batch {
		w.pool.batchQueue.remove(w)
	} else {
		w.pool.onlineQueue.remove(w)
	}
}

// servePool gives free slots to waiting requests: to callers' first, and to batch items when no caller waits.
func (sch *Scheduler) servePool(now time.Time, p *pool) {
	sch.refuseExpired(now, p)
	for len(p.onlineQueue) > 0 {
		if !sch.serveNext(now, p) {
			return
		}
	}
	p.planBatch(now)
	for len(p.batchQueue) > 0 {
		w := p.batchQueue[0]
		sel := p.selectServer(now, w.key.Host, w.request)
		p.plan.observe(now, max(0, sel.slots-p.onlineRuns-p.batchReserve()), sel.slots)
		s := sel.best
		if s == nil {
			s = sel.lastResort
		}
		if s == nil || sel.free <= p.batchReserve() {
			return
		}
		in := p.inputs(sel)
		sch.removeWaiting(w)
		sch.startRun(now, w, s)
		sch.commands = append(sch.commands, Grant{Key: w.key, Server: s.Server, Waited: now.Sub(w.since), Inputs: in})
	}
}

// serveNext starts the first waiting request, or the next one that can use a free slot if the first can't use those
// servers. It reports whether one was started.
func (sch *Scheduler) serveNext(now time.Time, p *pool) bool {
	first := p.onlineQueue[0]
	if !sch.disabled[LateLast] {
		first = p.onlineQueue.firstInTime(now)
	}
	placed, free := sch.place(now, first)
	if placed {
		sch.removeWaiting(first)
		return true
	}
	if free == 0 {
		return false
	}
	for _, w := range p.onlineQueue.inTimeFirst(now) {
		if placed, _ := sch.place(now, w); placed {
			sch.removeWaiting(w)
			return true
		}
	}
	return false
}

// refuseExpired refuses requests that can't be answered before their deadline: those without time left, and late ones
// with too many ahead of them. They are refused at once, since a longer wait would only delay the refusal.
func (sch *Scheduler) refuseExpired(now time.Time, p *pool) {
	firstByte := p.firstByteTime()
	slots := time.Duration(p.usableSlots(now))
	ahead := p.onlineQueue.countInTime(now)
	for i := 0; i < len(p.onlineQueue); {
		w := p.onlineQueue[i]
		wait := time.Duration(0)
		if now.After(w.due) && slots > 0 && !sch.disabled[LateRefusal] {
			ahead++
			wait = p.holdTime() * time.Duration(ahead) / slots
		}
		if now.Add(firstByte + wait).Before(w.deadline) {
			i++
			continue
		}
		if now.After(w.due) {
			ahead--
		}
		sch.removeWaiting(w)
		sch.refuse(now, w, TooLate, 0)
	}
}
