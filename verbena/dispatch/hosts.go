package dispatch

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// stepHosts applies an event on the hosts that request slots. It reports whether the event is one.
func (sc *Scheduler) stepHosts(now time.Time, e Event) bool {
	switch e := e.(type) {
	case HostConnected:
		sc.connectHost(now, e)
	case HostDisconnected:
		sc.disconnectHost(now, e)
	case HostLeaving:
		sc.reservations.setLeaving(e.Host)
	case LeaseUncertain:
		sc.reservations.setLeaseUncertain(now, e.Uncertain)
		sc.applyReservations(now)
	default:
		return false
	}
	return true
}

func (sc *Scheduler) connectHost(now time.Time, e HostConnected) {
	sc.hostConnectedAt = now
	sc.adoptLimits(now, e.Limits)
	sc.recordStreams(now, e.Streams)
	delete(sc.heldByDisconnected, e.Host)
	sc.releaseSlotsOf(now, e.Host)
	sc.withdrawWaitingOf(e.Host)
	for _, h := range e.Held {
		s, ok := sc.servers[h.Server]
		if !ok {
			continue
		}
		sc.startRun(now, &waiter{
			key: Key{Host: e.Host, Ticket: h.Request.Ticket}, request: h.Request, due: now.Add(h.Request.Objective), deadline: now.Add(h.Request.Remaining),
		}, s)
		r := sc.runs[Key{Host: e.Host, Ticket: h.Request.Ticket}]
		r.start, r.takenOver = now.Add(-h.HeldFor), true
		s.cold.Adopt(now, r.start)
		r.beganReadingEarlier(h.HeldFor)
	}
	if sc.reservations.connect(now, e) {
		sc.resetBuckets(now)
	}
	for w, n := range e.AdmittedElsewhere {
		if b, ok := sc.buckets[w]; ok {
			sc.admissions.Add(now, otherPlacers, w, n)
			b.limitTokens(now, sc.rates[w], sc.admissions.Total(now, w))
		}
	}
	sc.applyReservations(now)
	sc.servePools(now)
}

// resetBuckets limits every bucket to its initial tokens: those that accrued while another scheduler counted the requests
// may be spent already.
func (sc *Scheduler) resetBuckets(now time.Time) {
	for id, b := range sc.buckets {
		b.refill(now)
		b.tokens = min(b.tokens, sc.rates[id].initialTokens())
	}
}

func (sc *Scheduler) withdrawWaitingOf(host ids.HostID) {
	for k, w := range sc.waiting {
		if k.Host == host {
			sc.removeWaiting(w)
			sc.refundToken(w.request)
		}
	}
}

func (sc *Scheduler) disconnectHost(now time.Time, e HostDisconnected) {
	sc.withdrawWaitingOf(e.Host)
	sc.heldByDisconnected[e.Host] = now.Add(disconnectedHoldTime)
	sc.reservations.disconnect(now, e)
	sc.applyReservations(now)
}
