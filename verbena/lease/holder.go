// Package lease decides when a host holds its lease and when another host's lease has ended.
package lease

import (
	"maps"
	"slices"
	"time"

	"verbenaledge.example/verbena/ids"
)

// Timing holds the durations that holders and monitors must agree on.
type Timing struct {
	Duration time.Duration
	// Margin is how long before the lease's end a holder stops acting.
	Margin time.Duration
	// Renew is the interval between renewals.
	Renew time.Duration
}

// Holder is the state of a host's own lease. All times are on the host's monotonic clock. A lease may name guards: hosts
// that may break it once it isn't renewed. Promises of all of them not to do so extend the lease.
type Holder struct {
	timing  Timing
	term    ids.Term
	version ids.Version
	// sentAt is when the last successful write was sent.
	sentAt   time.Time
	deadline time.Time
	inFlight bool
	// lastEnded is the last term that has ended; a late answer to its renewal is ignored.
	lastEnded ids.Term
	released  bool
	// guards are the hosts that the platform's copy of the lease may name as guards: those of the last
	// successful write and of all writes since that got no answer.
	guards map[ids.HostID]bool
	// promises holds the time until which each guard has promised not to break the lease.
	promises map[ids.HostID]time.Time
}

// NewHolder returns a holder without a lease.
func NewHolder(t Timing) *Holder {
	return &Holder{timing: t, guards: map[ids.HostID]bool{}, promises: map[ids.HostID]time.Time{}}
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
		h.addPromise(now, e)
	case GiveUp:
		return h.giveUp()
	case Release:
		return h.release()
	}
	return nil
}

// Valid reports whether the holder may act now.
func (h *Holder) Valid(now time.Time) bool {
	return h.term != 0 && !h.released && now.Before(h.ActUntil())
}

// ActUntil returns when the holder must stop acting: a margin before the lease's end, or before the end of the
// earliest of its guards' promises if that is later.
func (h *Holder) ActUntil() time.Time {
	end := h.deadline
	if p := h.earliestPromiseEnd(); p.After(end) {
		end = p
	}
	return end.Add(-h.timing.Margin)
}

// Guards returns, in order, the hosts whose promises extend the lease.
func (h *Holder) Guards() []ids.HostID {
	return slices.Sorted(maps.Keys(h.guards))
}

// Overdue reports whether the platform has stored no renewal for longer than renewals take in normal operation.
func (h *Holder) Overdue(now time.Time) bool {
	return h.term != 0 && !h.released && now.Sub(h.sentAt) > 2*h.timing.Renew
}

// earliestPromiseEnd returns when the first of the guards' promises ends, or zero if any guard has given none.
func (h *Holder) earliestPromiseEnd() (end time.Time) {
	for g := range h.guards {
		p := h.promises[g]
		if end.IsZero() || p.Before(end) {
			end = p
		}
		if p.IsZero() {
			return time.Time{}
		}
	}
	return end
}

// addPromise records a guard's promise. A promise doesn't revive a lease that has expired: the guard may have
// broken it meanwhile and forgotten that.
func (h *Holder) addPromise(now time.Time, e Promised) {
	if h.Valid(now) && e.Term == h.term && e.Until.After(h.promises[e.Guard]) {
		h.promises[e.Guard] = e.Until
	}
}

// Term returns the term of the lease held, 0 if there is none.
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
	if now.Sub(h.sentAt) < h.timing.Renew {
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
	if e.Term <= h.lastEnded || (!first && e.Term != h.term) {
		return nil
	}
	h.term = e.Term
	h.version = e.Version
	h.sentAt = e.Sent
	clear(h.guards)
	for _, g := range e.Guards {
		h.guards[g] = true
	}
	// The platform may have stored the lease at any time after it was sent.
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
	h.endTerm()
	return []Command{Lost{Term: term}}
}

// giveUp ends the term. A renewal in flight fails because the lease is deleted, or its answer is ignored.
func (h *Holder) giveUp() []Command {
	if h.term == 0 {
		return nil
	}
	cmd := Remove{Term: h.term, Expected: h.version}
	h.endTerm()
	return []Command{cmd}
}

func (h *Holder) endTerm() {
	h.lastEnded = h.term
	h.term, h.version, h.deadline = 0, 0, time.Time{}
	clear(h.guards)
	clear(h.promises)
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
