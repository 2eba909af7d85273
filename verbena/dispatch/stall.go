package dispatch

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// stallPause is how long a stalled server gets no new requests after the last report; hosts repeat their reports
	// while a server sends nothing.
	stallPause = time.Second
	// probationTime is how long a server that stalled gets one request at a time, unless it answers. Requests end sooner, one way or
	// the other.
	probationTime = time.Minute
	// stallCost ranks a server that has not answered since it stalled behind the others.
	stallCost = 1.0
)

// ServerStalled is an event: the server of a run has sent nothing for a while, or sends again. The run continues
// meanwhile, since the server may only be slow.
type ServerStalled struct {
	Host   ids.HostID
	Report StallReport
}

// StallReport is a host's report of a server that sends nothing, or sends again.
type StallReport struct {
	Ticket Ticket `cbor:"1,keyasint"`
	// SilentFor is how long the server has sent nothing; zero means that it sends again.
	SilentFor time.Duration `cbor:"2,keyasint,omitempty"`
}

func (ServerStalled) event() {}

// recordStall keeps new requests from a stalled server: until its runs end, which may take seconds, new ones would stall
// with them.
func (sc *Scheduler) recordStall(now time.Time, e ServerStalled) {
	if sc.disabled[Stalls] {
		return
	}
	r, ok := sc.runs[Key{Host: e.Host, Ticket: e.Report.Ticket}]
	if !ok {
		return
	}
	if e.Report.SilentFor == 0 {
		r.server.markAlive(now)
		sc.servePools(now)
		return
	}
	p := sc.pool(r.request.Service)
	if now.Sub(r.server.aliveAt) < e.Report.SilentFor || !p.mayEject(now, r.server) {
		return // the server answers others, or so many have stalled that the cause is elsewhere
	}
	r.server.stalledUntil, r.server.probationUntil = now.Add(stallPause), now.Add(probationTime)
}

// onProbation reports whether the server has not answered since it stalled.
func (s *server) onProbation(now time.Time) bool { return now.Before(s.probationUntil) }

// markAlive records that the server has sent something.
func (s *server) markAlive(now time.Time) {
	s.aliveAt, s.stalledUntil, s.probationUntil = now, time.Time{}, time.Time{}
}
