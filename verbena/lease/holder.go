// Package lease decides when a host holds its lease and when another host's has ended.
package lease

import (
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
	released bool
}

// NewHolder returns a holder without a lease.
func NewHolder(t Timing) *Holder {
	return &Holder{timing: t}
}

// Step applies one event and returns the commands that follow from it.
func (h *Holder) Step(now time.Time, e Event) (cmds []Command) {
	switch e := e.(type) {
	case Tick:
		return h.tick(now)
	case Written:
		return h.written(e)
	case WriteFailed:
		return h.writeFailed(e)
	case Release:
		return h.release()
	}
	return nil
}

// Valid tells whether the holder may act at this moment.
func (h *Holder) Valid(now time.Time) bool {
	return h.term != 0 && !h.released && now.Before(h.deadline.Add(-h.timing.Margin))
}

// Term returns the term of the lease held, 0 when none is.
func (h *Holder) Term() ids.Term {
	return h.term
}

// Deadline returns the end of the lease as the holder counts it.
func (h *Holder) Deadline() time.Time {
	return h.deadline
}

func (h *Holder) tick(now time.Time) []Command {
	if h.released || h.inFlight {
		return nil
	}
	if h.term == 0 {
		h.inFlight = true
		return []Command{Create{Term: ids.Term(now.UnixMicro()), Sent: now}}
	}
	if now.Sub(h.sent) < h.timing.Renew {
		return nil
	}
	h.inFlight = true
	return []Command{Renew{Term: h.term, Expected: h.version, Sent: now}}
}

func (h *Holder) written(e Written) []Command {
	h.inFlight = false
	first := h.term == 0
	if !first && e.Term != h.term {
		return nil
	}
	h.term = e.Term
	h.version = e.Version
	h.sent = e.Sent
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
	h.term, h.version, h.deadline = 0, 0, time.Time{}
	return []Command{Lost{Term: term}}
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
