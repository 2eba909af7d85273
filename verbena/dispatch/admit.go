package dispatch

import (
	"slices"
	"time"

	"verbenaledge.example/verbena/crash"
	"verbenaledge.example/verbena/limit"
	"verbenaledge.example/verbena/origin"
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
func (sc *Scheduler) handleRequest(now time.Time, e SlotRequested) {
	p := sc.pool(e.Request.Service)
	e.Request.Footprint = e.Request.footprint()
	w := &waiter{key: Key{Host: e.Host, Ticket: e.Request.Ticket}, request: e.Request, since: now, deadline: now.Add(e.Request.Remaining), pool: p}
	w.due = now.Add(e.Request.Objective)
	if e.Request.Resumption != nil {
		if !sc.resolveOrigin(now, w) {
			return
		}
		p = w.pool
	}
	if sc.refuseTooLarge(now, w) {
		return
	}
	if !p.hasOther(now, w.request.anyVersionIfBatch()) {
		w.request.Exclude = nil // a server that failed once is better than none
	}
	if e.Request.Class == Batch {
		w.standing = p.batchShares.standing(w.request.Workspace, sc.rates)
		p.batchQueue.add(w)
		sc.waiting[w.key] = w
		sc.servePool(now, p)
		return
	}
	w.due = w.due.Add(-p.firstByteTime())
	if sc.refuseIfBlocked(now, w) || !sc.takeToken(now, w) {
		return
	}
	if p.presentServers() == 0 {
		sc.refuse(now, w, NoServer, noServerRetryAfter)
		return
	}
	placed, sel := sc.place(now, w)
	if placed {
		return
	}
	p.countHeldBack(sel)
	sc.updateCallerShares(now, p, w)
	if !sc.disabled[EarlyRefusal] {
		if retryAfter, reason, cannotStartInTime := sc.cannotStartInTime(now, p, w); cannotStartInTime {
			sc.refuse(now, w, reason, retryAfter)
			return
		}
	}
	p.onlineQueue.add(w)
	sc.waiting[w.key] = w
	sc.commands = append(sc.commands, Wait{Key: w.key})
	sc.refuseDisplaced(now, p)
}

// cannotStartInTime reports whether a start in time is unlikely, and after what time to retry. A caller that was refused
// before may wait as long as an answer is likely before its time ends.
func (sc *Scheduler) cannotStartInTime(now time.Time, p *pool, w *waiter) (retryAfter time.Duration, reason Reason, cannotStartInTime bool) {
	c := p.callerShares.capacityFor(w, p.capacityFor(now, w.request))
	if c.effective == 0 {
		return clampRetryAfter(noServerRetryAfter, w.request.Remaining), c.refusalReason(c.slots > 0),
			w.request.FirstAttemptTime > 0 && w.request.Remaining > time.Duration(firstAttemptShare*float64(w.request.FirstAttemptTime))
	}
	position := 1
	for _, o := range p.onlineQueue {
		if waitsBefore(o, w) && !now.After(o.due) && !o.lacksRoom && w.mayWaitBehind(o) {
			position++
		}
	}
	if w.lacksRoom {
		position-- // a slot is free
	}
	room := p.roomWait(now, w)
	wait := max(room, c.queueTime(position))
	limit := p.longestWait(now, w)
	if wait <= limit {
		return 0, 0, false
	}
	reason = c.refusalReason(max(room, c.queueTimeWithoutLimits(position)) <= limit)
	return sc.retryAfter(now, p, c, w, wait, room), reason, true
}

// isReturning reports whether the caller was refused before: it has less time left than a first attempt.
func (w *waiter) isReturning() bool {
	return float64(w.request.Remaining) < firstAttemptShare*float64(w.request.FirstAttemptTime)
}

func (sc *Scheduler) refuse(now time.Time, w *waiter, reason Reason, retryAfter time.Duration) {
	sc.refundToken(w.request)
	in := w.pool.inputs(w.pool.selectServer(now, w.key.Host, w.request))
	in.Share = w.standing
	sc.commands = append(sc.commands, Refuse{Key: w.key, Reason: reason, RetryAfter: retryAfter, Inputs: in, Resumption: w.resumption})
}

// place starts an online request at once, on a free slot or on one that a batch item yields. If it can't be placed, only
// other requests can use the free slots of the selection.
func (sc *Scheduler) place(now time.Time, w *waiter) (placed bool, sel selection) {
	if w.awaitsList() {
		return false, sel
	}
	v := sc.judge(now, w)
	req := v.excludeUnsafe(w.pool, w.request)
	sel = w.pool.selectServer(now, w.key.Host, req)
	if v.best.Verdict != crash.Clear {
		return sc.placeSuspect(now, w), sel
	}
	s := sel.best
	if s == nil || s.failing(now) {
		// Failing servers are left to batch items, which resume elsewhere when their server fails. A caller's request may
		// have no time for that.
		sc.updateBatchShares(now, w.pool, true)
		if r := w.pool.itemToYield(now, w.key.Host, req, s != nil); r != nil {
			r.yielding = true
			r.server.yieldingSlots++
			sc.commands = append(sc.commands, Yield{Key: r.key})
			s = r.server
		}
	}
	if s == nil {
		s = sel.lastResort
	}
	if s == nil {
		sc.makeRoom(now, w, req, sel)
		return false, sel
	}
	in := w.pool.inputs(sel)
	sc.startRun(now, w, s)
	if w.request.Metered {
		sc.reservations.countAdmitted(now, w.key.Host, w.request.Workspace)
	}
	sc.commands = append(sc.commands, sc.grant(now, w, s, in))
	return true, sel
}

// grant returns the command that gives a request a slot.
func (sc *Scheduler) grant(now time.Time, w *waiter, s *server, in Inputs) Grant {
	in.Share = w.standing
	known := s.limit.Statement()
	s.limit.Take(now)
	s.cold.Take(now)
	s.pace.countGrant(now)
	s.received.add(now)
	if known.Kind == limit.Named {
		w.pool.limitedGrants++
	}
	return Grant{
		Limit: known, Key: w.key, Server: s.Server, Waited: now.Sub(w.since), Inputs: in, Resumption: w.resumption, VersionUncertain: sc.versionUncertain(now, s),
	}
}

func (sc *Scheduler) startRun(now time.Time, w *waiter, s *server) *run {
	r := &run{key: w.key, request: w.request, server: s, start: now, due: w.due, deadline: w.deadline, deferred: w.deferred, standing: w.standing}
	sc.runs[w.key] = r
	s.usedSlots++
	s.lastGrant = now
	p := sc.pool(w.request.Service)
	p.holdMemory(r)
	p.sharesOf(w.request.Class).account.Begin(now, w.request.Workspace)
	sc.beginPrompt(now, p, r)
	if w.request.Class != Batch {
		p.onlineRuns++
		return r
	}
	if p.batchRuns == nil {
		p.batchRuns = make(map[Key]*run)
	}
	p.batchRuns[w.key] = r
	return r
}

func (sc *Scheduler) removeWaiting(w *waiter) {
	delete(sc.waiting, w.key)
	w.pool.dropReservation(w)
	if w.request.Class == Batch {
		w.pool.batchQueue.remove(w)
	} else {
		w.pool.onlineQueue.remove(w)
	}
}

// servePool gives free slots to waiting requests: to callers' first, and to batch items when no caller waits that could use them.
func (sc *Scheduler) servePool(now time.Time, p *pool) {
	sc.refuseExpired(now, p)
	sc.refuseBlocked(now, p)
	sc.refuseUncertain(now, p)
	if len(p.onlineQueue) > 0 {
		sc.updateCallerShares(now, p, nil)
	}
	p.reserveRoom(now)
	sc.serveReserved(now, p)
	search := roomSearch{class: Online}
	for len(p.onlineQueue) > 0 {
		if !sc.serveNext(now, p, &search) {
			break
		}
	}
	sc.refuseDisplaced(now, p)
	if slices.ContainsFunc(p.onlineQueue, func(w *waiter) bool { return w.resumption == nil && !w.lacksRoom && !sc.isSuspect(now, w) }) {
		return // suspects wait for a trial, resumed streams for certain servers, large requests for memory: other slots are left to batch items
	}
	p.callersLackRoom = slices.ContainsFunc(p.onlineQueue, func(w *waiter) bool { return w.lacksRoom })
	p.planBatch(now)
	sc.updateBatchShares(now, p, false)
	search = roomSearch{class: Batch}
	for {
		w, s, in := p.nextItem(now, &search)
		if w == nil {
			return
		}
		sc.removeWaiting(w)
		sc.startRun(now, w, s)
		sc.commands = append(sc.commands, sc.grant(now, w, s, in))
	}
}

// serveNext starts the first waiting request, or, if the free slots are on servers that it can't use, the next one that
// can use them. It reports whether one was started.
func (sc *Scheduler) serveNext(now time.Time, p *pool, search *roomSearch) bool {
	if sc.resumeNext(now, p) {
		return true
	}
	waiting := p.onlineQueue.withoutResumed()
	if len(waiting) == 0 {
		return false
	}
	first := waiting[0]
	if !sc.disabled[LateLast] {
		first = waiting.firstInTime(now)
	}
	placed, anyFree := sc.tryPlace(now, first, search)
	if placed {
		sc.removeWaiting(first)
		return true
	}
	if !anyFree {
		return false
	}
	room := p.mostRoom(now)
	for _, w := range waiting.inTimeFirst(now) {
		if w == first {
			continue
		}
		if p.lacksRoomEverywhere(w.request, room) && !sc.isSuspect(now, w) {
			w.lacksRoom = true
			continue
		}
		if placed, _ := sc.tryPlace(now, w, search); placed {
			sc.removeWaiting(w)
			return true
		}
	}
	return false
}

// resumeNext starts the first waiting stream that is resumed on a slot that it can use. Resumed streams come first: they
// can't use other versions' servers as new ones can, and their callers have a part of the answer.
func (sc *Scheduler) resumeNext(now time.Time, p *pool) bool {
	var left map[origin.Origin][]*server // of the versions searched: what the first stream that waits for one couldn't use
	for _, w := range p.onlineQueue {
		if w.resumption == nil || w.awaitsList() {
			continue
		}
		o := w.request.Resumption.Origin
		if servers, searched := left[o]; searched && !w.mayUseAny(now, servers) {
			continue
		}
		placed, sel := sc.place(now, w)
		if placed {
			sc.removeWaiting(w)
			return true
		}
		if sel.free == 0 {
			return false
		}
		if _, searched := left[o]; searched {
			continue
		}
		if left == nil {
			left = make(map[origin.Origin][]*server)
		}
		left[o] = p.serversToResumeAt(now, o)
	}
	return false
}

// refuseExpired refuses requests that can't be answered before their deadline: those without time left, and late ones
// with too many ahead of them. They are refused at once, since a longer wait would only delay the refusal.
func (sc *Scheduler) refuseExpired(now time.Time, p *pool) {
	firstByte := p.firstByteTime()
	c := p.capacity(now)
	position := p.onlineQueue.countInTime(now)
	resumed := make(resumedPositions)
	for i := 0; i < len(p.onlineQueue); {
		w := p.onlineQueue[i]
		wait := time.Duration(0)
		late := now.After(w.due)
		if w.resumption != nil {
			late = false
			wait = resumed.wait(now, p, w)
		}
		if late && c.effective > 0 && !sc.disabled[LateRefusal] {
			position++
			wait = c.queueTime(position)
		}
		if now.Add(firstByte + wait).Before(w.deadline) {
			i++
			continue
		}
		if late {
			position--
		}
		resumed.leave(w)
		sc.removeWaiting(w)
		sc.refuse(now, w, TooLate, 0)
	}
}
