package placing

import (
	"slices"
	"time"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
)

// maxAttempts is how often a caller sends its request at most.
const maxAttempts = 5

func sortHosts(list []ids.HostID) { slices.Sort(list) }

// arrive starts a caller's request.
func (s *simulation) arrive(a Arrival) {
	s.result.Requests++
	r := &request{arrival: a, deadline: a.At + s.config.CallerTimeout}
	s.sendAttempt(r)
	s.timeline.schedule(s.config.CallerTimeout, func() { s.resolve(r, false) })
}

// resolve records the time at which a caller knows whether it gets an answer.
func (s *simulation) resolve(r *request, answered bool) {
	if r.resolved {
		return
	}
	r.resolved = true
	elapsed := s.timeline.now - r.arrival.At
	s.result.TimesToOutcome = append(s.result.TimesToOutcome, elapsed)
	if !answered {
		s.result.TimesToFailure = append(s.result.TimesToFailure, elapsed)
		s.cancelRequest(r)
		return
	}
	s.result.Answered++
	if elapsed <= s.config.Objective {
		s.result.InTime++
	}
}

// cancelRequest cancels the running and waiting attempts of a caller that has disconnected.
func (s *simulation) cancelRequest(r *request) {
	for _, a := range s.attemptsByTicket() {
		if a.request == r {
			s.endAttempt(a, dispatch.Outcome{Result: dispatch.Cancelled})
		}
	}
}

// attemptsByTicket returns the attempts that run or wait, in the order of their tickets.
func (s *simulation) attemptsByTicket() (list []*attempt) {
	for _, a := range s.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(x, y *attempt) int { return int(x.key.Ticket) - int(y.key.Ticket) })
	return list
}

// sendAttempt sends a caller's request once. If it is refused, handleRefusal may schedule the next attempt.
func (s *simulation) sendAttempt(r *request) {
	if r.resolved {
		return
	}
	remaining := r.deadline - s.timeline.now
	objective := s.config.Objective - (s.timeline.now - r.arrival.At)
	if s.config.NoEarlyRefusal {
		objective = remaining
	}
	s.requestSlot(&attempt{request: r, events: r.arrival.Events, key: s.newKey(hostID(r.arrival.Host))}, dispatch.SlotRequest{
		Objective: objective, Remaining: remaining, FirstAttemptTime: s.config.CallerTimeout, StreamEvents: r.arrival.Events,
	})
}

func (s *simulation) newKey(h ids.HostID) dispatch.Key {
	s.lastTicket++
	return dispatch.Key{Host: h, Ticket: s.lastTicket}
}

func (s *simulation) requestSlot(a *attempt, r dispatch.SlotRequest) {
	r.Ticket, r.Service = a.key.Ticket, service
	a.slotRequest = r
	s.attempts[a.key] = a
	s.deliver(a.key.Host, dispatch.SlotRequested{Host: a.key.Host, Request: r})
}

// addItem requests a slot for a batch item. Another item follows when it is done, refused or yields its slot.
func (s *simulation) addItem() {
	s.requestSlot(&attempt{events: s.config.ItemEvents, key: s.newKey(batchHost)}, dispatch.SlotRequest{
		Class: dispatch.Batch, Objective: time.Minute, Remaining: time.Hour, StreamEvents: s.config.ItemEvents,
	})
}

// apply executes a scheduler's command.
func (s *simulation) apply(c dispatch.Command) {
	switch c := c.(type) {
	case dispatch.Grant:
		s.handleGrant(c)
	case dispatch.Refuse:
		s.handleRefusal(c)
	case dispatch.Yield:
		if a, ok := s.attempts[c.Key]; ok {
			s.yieldItem(a)
		}
	case dispatch.Wait: // the attempt keeps waiting
	}
}

func (s *simulation) handleGrant(c dispatch.Grant) {
	a, ok := s.attempts[c.Key]
	if !ok {
		// The attempt has been cancelled in the meantime; its end is on the way to the scheduler, which then frees the slot.
		return
	}
	a.server = c.Server.ID
	s.usedSlots[a.key.Host][a.server]++
	start := s.timeline.now
	a.run = &run{
		events:  a.events,
		onStart: func(time.Duration) { s.handleStart(a) },
		onEnd: func(at time.Duration) {
			s.result.ItemsDone += s.itemCount(a)
			s.endAttempt(a, dispatch.Outcome{Result: dispatch.Served, StreamEvents: a.events, Elapsed: at - start, TimeToFirstByte: firstEventTime})
			if a.request == nil {
				s.addItem()
			}
		},
	}
	if s.sendFails(a) {
		a.run.onStart = func(time.Duration) {} // the send fails before its first event
		s.timeline.schedule(firstEventTime, func() { s.failSend(a) })
	}
	s.servers[a.server].accept(&s.timeline, a.run)
}

// sendFails decides at random whether a send fails.
func (s *simulation) sendFails(a *attempt) bool {
	cfg := s.config
	if !s.servers[a.server].failing || a.request == nil || cfg.AffectedBelow > 0 && a.request.arrival.Host >= cfg.AffectedBelow {
		return false
	}
	return s.random.Float64() < cfg.FailureRate
}

// failSend ends a send with a failure, after which the host retries the request at another server.
func (s *simulation) failSend(a *attempt) {
	if s.attempts[a.key] != a {
		return // the caller has disconnected
	}
	s.result.FailedSends++
	s.endAttempt(a, dispatch.Outcome{Result: dispatch.Broken})
	r, next := a.request, a.slotRequest
	elapsed := s.timeline.now - r.arrival.At
	next.Objective, next.Remaining, next.Retry = s.config.Objective-elapsed, s.config.CallerTimeout-elapsed, true
	next.Exclude = append(next.Exclude[:len(next.Exclude):len(next.Exclude)], a.server)
	s.requestSlot(&attempt{request: r, events: a.events, key: s.newKey(a.key.Host)}, next)
}

func (s *simulation) handleStart(a *attempt) {
	if a.request != nil {
		s.resolve(a.request, true)
	}
}

func (s *simulation) itemCount(a *attempt) int {
	if a.request == nil {
		return 1
	}
	return 0
}

func (s *simulation) handleRefusal(c dispatch.Refuse) {
	a, ok := s.attempts[c.Key]
	if !ok {
		return
	}
	delete(s.attempts, c.Key)
	r := a.request
	if r == nil {
		s.addItem()
		return
	}
	r.attempts++
	if c.RetryAfter <= 0 || r.attempts >= maxAttempts || s.timeline.now+c.RetryAfter >= r.deadline {
		s.resolve(r, false)
		return
	}
	s.timeline.schedule(c.RetryAfter, func() { s.sendAttempt(r) })
}

// endAttempt removes an attempt from its server and reports the outcome to its scheduler.
func (s *simulation) endAttempt(a *attempt, o dispatch.Outcome) {
	delete(s.attempts, a.key)
	if a.run != nil {
		s.usedSlots[a.key.Host][a.server]--
		s.servers[a.server].cancel(&s.timeline, a.run)
	}
	o.Ticket = a.key.Ticket
	s.deliver(a.key.Host, dispatch.SendEnded{Host: a.key.Host, Outcome: o})
}
