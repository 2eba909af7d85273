package dispatch

import (
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
)

// limitMemory is how long the limit of a server is kept that is no longer listed: an entry that lapsed while the store was
// away comes back.
const limitMemory = time.Minute

// maxReportedSends bounds the recent sends to a server that a host reports.
const maxReportedSends = 1 << 20

// LimitReport is a host's report of what an answer says of its server's limit.
type LimitReport struct {
	// Ticket is that of the slot that the answer's request holds, 0 for an answer to an earlier request.
	Ticket    Ticket          `cbor:"1,keyasint"`
	Server    ids.BackendID   `cbor:"2,keyasint"`
	Statement limit.Statement `cbor:"3,keyasint"`
}

// LimitStated is an event: an answer says something of its server's limit.
type LimitStated struct {
	Host   ids.HostID
	Report LimitReport
	// HeldSince is since when the host has held the slot, if another scheduler granted it; zero if unknown.
	HeldSince time.Time
}

// ServerLimit is the limit of a server, as hosts exchange it.
type ServerLimit struct {
	Server ids.BackendID `cbor:"1,keyasint"`
	// Statement is Unstated if a limit that was sent before has ended.
	Statement limit.Statement `cbor:"2,keyasint"`
	// Age is how long ago the limit became known.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Sent is how many requests the host has sent to the server recently that the receiver hasn't granted.
	Sent int `cbor:"4,keyasint,omitempty"`
}

// LimitsReceived carries limits that the dispatcher has sent its hosts.
type LimitsReceived struct{ Limits []ServerLimit }

func (LimitStated) event()    {}
func (LimitsReceived) event() {}

// departedLimit is the limit of a server that is no longer listed.
type departedLimit struct {
	limit limit.Regulator
	until time.Time
}

// stepLimits applies an event on limits. It reports whether the event is one.
func (sc *Scheduler) stepLimits(now time.Time, e Event) bool {
	switch e := e.(type) {
	case LimitStated:
		sc.recordLimit(now, e)
	case LimitsReceived:
		for _, l := range e.Limits {
			sc.changeLimit(now, l.Server, func(r *limit.Regulator) bool { return r.Set(now, l.Statement) })
		}
	default:
		return false
	}
	sc.servePools(now)
	return true
}

// recordLimit applies what an answer says. Its place among other answers is known if this scheduler granted its slot.
func (sc *Scheduler) recordLimit(now time.Time, e LimitStated) {
	granted := e.HeldSince
	if r, ok := sc.runs[Key{Host: e.Host, Ticket: e.Report.Ticket}]; ok && r.server.ID == e.Report.Server && !r.takenOver {
		granted = r.start
	}
	sc.changeLimit(now, e.Report.Server, func(r *limit.Regulator) bool { return r.Observe(now, granted, e.Report.Statement) })
}

// adoptLimits applies the limits that a host knew when it connected.
func (sc *Scheduler) adoptLimits(now time.Time, limits []ServerLimit) {
	for _, l := range limits {
		sc.changeLimit(now, l.Server, func(r *limit.Regulator) bool {
			r.AddRecent(now, min(max(0, l.Sent), maxReportedSends))
			return r.Adopt(now, l.Statement, l.Age)
		})
	}
}

// changeLimit applies a change to a server's limit, also to that of a server that isn't listed at present.
func (sc *Scheduler) changeLimit(now time.Time, id ids.BackendID, change func(*limit.Regulator) bool) {
	if sc.disabled[NamedLimits] {
		return
	}
	s, ok := sc.servers[id]
	if !ok {
		d, ok := sc.departedLimits[id]
		if !ok {
			d.limit = limit.NewRegulator(now, 1)
		}
		if change(&d.limit) {
			sc.keepDepartedLimit(now, id, d.limit)
		}
		return
	}
	if !change(&s.limit) {
		return
	}
	s.limit.SetShare(now, sc.limitShareOf(s))
	sc.unpublishedLimits.add(s.ID)
}

// keepDepartedLimit keeps the limit of a server that isn't listed.
func (sc *Scheduler) keepDepartedLimit(now time.Time, id ids.BackendID, r limit.Regulator) {
	for o, d := range sc.departedLimits {
		if now.After(d.until) {
			delete(sc.departedLimits, o)
			delete(sc.unpublishedLimits.published, o)
		}
	}
	if r.Statement().Kind != limit.Named {
		delete(sc.departedLimits, id)
		return
	}
	sc.departedLimits[id] = departedLimit{limit: r, until: now.Add(limitMemory)}
}

// restoreLimit gives a server that is listed again the limit that it had.
func (sc *Scheduler) restoreLimit(now time.Time, s *server) {
	s.limit = limit.NewRegulator(now, 1)
	if d, ok := sc.departedLimits[s.ID]; ok && !now.After(d.until) {
		s.limit = d.limit
	}
	delete(sc.departedLimits, s.ID)
	s.limit.SetShare(now, sc.limitShareOf(s))
}

// limitShareOf returns the part of a server's limit that this scheduler may use.
func (sc *Scheduler) limitShareOf(s *server) float64 {
	if sc.local() {
		return sc.hosts.ShareOf(s.ID, s.limit.Statement().PerSecond)
	}
	return sc.reservations.connectedShare()
}

// applyLimitShares sets the parts of the limits that this scheduler may use.
func (sc *Scheduler) applyLimitShares(now time.Time) {
	for _, s := range sc.servers {
		s.limit.SetShare(now, sc.limitShareOf(s))
		s.cold.SetShare(now, sc.coldShareOf(s.ID, s.Service), sc.local())
	}
}

// countHeldBack counts a request that gets no slot although a limit leaves slots free.
func (p *pool) countHeldBack(sel selection) {
	if sel.heldBack > 0 {
		p.heldBack++
	}
}

// pauseLimits keeps requests from servers with limits until what other schedulers may have sent to them has had its time.
func (sc *Scheduler) pauseLimits(now time.Time) {
	for _, s := range sc.servers {
		s.limit.Pause(now)
	}
}

// isLimited reports whether the server names a limit.
func (s *server) isLimited() bool { return s.limit.IsLimited() }

// effectiveSlots returns how many slots of the server requests can use that hold one for the given time each: a limit, or the
// rate that a cold server tolerates, may allow fewer requests than there are slots for.
func (s *server) effectiveSlots(now time.Time, hold time.Duration, class Class) float64 {
	slots := float64(s.Slots)
	if s.cold.IsBounded() && s.cold.IsCold(now) {
		slots = min(slots, s.cold.Rate()*hold.Seconds())
	}
	switch {
	case !s.isLimited():
		return slots
	case class == Batch:
		return min(slots, s.limit.Rate()*hold.Seconds())
	}
	return min(slots, s.limit.MaxRate()*hold.Seconds())
}
