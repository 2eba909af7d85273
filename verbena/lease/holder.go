// Package lease decides when a host holds its lease and when another host's has ended.
package lease

import (
	"maps"
	"slices"
	"time"

	"verbenaledge.example/verbena/ids"
)

// Timing sets the lengths that holder and monitors must agree on.
type Timing struct {
	Duration time.Duration
	// Margin is how long before the end a holder stops acting.
	Margin time.Duration
	Renew  time.Duration
}

// Holder is a host's own lease. Times are read on the monotonic clock.
type Holder struct {
	timing   Timing
	term     ids.Term
	version  ids.Version
	sent     time.Time
	deadline time.Time
	inFlight bool
	// ended is the last term that has ended; a late answer to its renewal is ignored.
	ended    ids.Term
	released bool
	// guards are the hosts that the platform's copy of the lease may name: those of
	// the last write that succeeded and of all that got no answer since.
	guards map[ids.HostID]bool
	// promised is until when each guard has promised not to break the lease.
	promised map[ids.HostID]time.Time
}

// NewHolder returns a holder without a lease.
func NewHolder(t Timing) *Holder {
	return &Holder{timing: t, guards: map[ids.HostID]bool{}, promised: map[ids.HostID]time.Time{}}
}

// Step applies one event and returns the commands that follow from it.
func (h *Holder) Step(now time.Time, e Event) (cmds []Command) {
	switch e := e.(type) {
	case Tick:
		return h.tick(now, e)
	case Written:
		return h.written(e)
	case WriteFailed:
		return h.writeFailed(e)
	case Promised:
		h.promise(now, e)
	case GiveUp:
		return h.giveUp()
	case Release:
		return h.release()
	}
	return nil
}

// Valid tells whether the holder may act at this moment.
func (h *Holder) Valid(now time.Time) bool {
	return h.term != 0 && !h.released && now.Before(h.ActUntil())
}

// ActUntil returns when the holder must stop: a margin before the lease's end, or
// before the first of its guards' promises ends if that is later.
func (h *Holder) ActUntil() time.Time {
	end := h.deadline
	if p := h.promisesEnd(); p.After(end) {
		end = p
	}
	return end.Add(-h.timing.Margin)
}

// Guards returns the hosts whose promises lengthen the lease, in order.
func (h *Holder) Guards() []ids.HostID {
	return slices.Sorted(maps.Keys(h.guards))
}

// Overdue tells whether the platform hasn't stored the lease for longer than a
// renewal takes in quiet running.
func (h *Holder) Overdue(now time.Time) bool {
	return h.term != 0 && !h.released && now.Sub(h.sent) > 2*h.timing.Renew
}

// promisesEnd is when the first promise ends; without one of each guard there is none.
func (h *Holder) promisesEnd() (end time.Time) {
	for g := range h.guards {
		p := h.promised[g]
		if end.IsZero() || p.Before(end) {
			end = p
		}
		if p.IsZero() {
			return time.Time{}
		}
	}
	return end
}

// promise takes a guard's promise. A lease that has lapsed isn't revived by one:
// guards may have broken it meanwhile and not know it any more.
func (h *Holder) promise(now time.Time, e Promised) {
	if h.Valid(now) && e.Term == h.term && e.Until.After(h.promised[e.Guard]) {
		h.promised[e.Guard] = e.Until
	}
}

// Term returns the term of the lease held, 0 when none is.
func (h *Holder) Term() ids.Term {
	return h.term
}

func (h *Holder) tick(now time.Time, e Tick) []Command {
	if h.released || h.inFlight {
		return nil
	}
	if h.term == 0 {
		h.inFlight = true
		return []Command{Create{Term: ids.Term(now.UnixMicro()), Sent: now, Guards: e.Guards}}
	}
	if now.Sub(h.sent) < h.timing.Renew {
		return nil
	}
	h.inFlight = true
	for _, g := range e.Guards {
		h.guards[g] = true
	}
	return []Command{Renew{Term: h.term, Expected: h.version, Sent: now, Guards: e.Guards}}
}

func (h *Holder) written(e Written) []Command {
	h.inFlight = false
	first := h.term == 0
	if e.Term <= h.ended || (!first && e.Term != h.term) {
		return nil
	}
	h.term = e.Term
	h.version = e.Version
	h.sent = e.Sent
	clear(h.guards)
	for _, g := range e.Guards {
		h.guards[g] = true
	}
	// The platform may have stored it at any time since it was sent.
	h.deadline = e.Sent.Add(h.timing.Duration)
	if first {
		return []Command{Acquired{Term: e.Term}}
	}
	return nil
}

func (h *Holder) writeFailed(e WriteFailed) []Command {
	h.inFlight = false
	if !e.Lost || e.Term != h.term || h.term == 0 {
		return nil
	}
	term := h.term
	h.end()
	return []Command{Lost{Term: term}}
}

// giveUp ends the term. A renewal that is on its way finds no lease, or is ignored.
func (h *Holder) giveUp() []Command {
	if h.term == 0 {
		return nil
	}
	cmd := Remove{Term: h.term, Expected: h.version}
	h.end()
	return []Command{cmd}
}

func (h *Holder) end() {
	h.ended = h.term
	h.term, h.version, h.deadline = 0, 0, time.Time{}
	clear(h.guards)
	clear(h.promised)
}

func (h *Holder) release() []Command {
	if h.released {
		return nil
	}
	h.released = true
	if h.term == 0 {
		return nil
	}
	return []Command{Remove{Term: h.term, Expected: h.version}}
}
