package dispatch

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// stallPause is how long a server that has stalled gets nothing new after the last report of it; hosts repeat
	// reports while a server says nothing.
	stallPause = time.Second
	// stallCost puts a server behind the others that has stalled and has not answered since.
	stallCost = 1.0
)

// Stalled tells that nothing has come from the server of a run for a while. The run goes on: a server may be slow.
type ServerStalled struct {
	Host   ids.HostID
	Report StallReport
}

// StallReport is a host's report of a server that says nothing.
type StallReport struct {
	Ticket Ticket `cbor:"1,keyasint"`
	// Silent is how long nothing has come; zero tells that something has come again.
	SilentFor time.Duration `cbor:"2,keyasint,omitempty"`
}

func (ServerStalled) event() {}

// stall keeps new requests from a server of which nothing is seen: until its runs end, which may take seconds, each
// further request would share their fate.
func (m *Scheduler) stall(now time.Time, e ServerStalled) {
	if m.off[Stalls] {
		return
	}
	r, ok := m.runs[Key{Host: e.Host, Ticket: e.Report.Ticket}]
	if !ok {
		return
	}
	if e.Report.SilentFor == 0 {
		r.server.alive(now)
		m.pump(now)
		return
	}
	p := m.pool(r.ask.Service)
	if now.Sub(r.server.aliveAt) < e.Report.SilentFor || !p.mayEject(now, r.server) {
		return // it answers others, or the cause is not the server
	}
	r.server.stalledUntil, r.server.unproven = now.Add(stallPause), true
}

// alive notes a sign of life.
func (s *server) alive(now time.Time) {
	s.aliveAt, s.stalledUntil, s.unproven = now, time.Time{}, false
}
