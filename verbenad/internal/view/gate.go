package view

import (
	"context"
	"errors"
	"sync"
	"time"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/objects"
)

const (
	// minPause and maxPause bound the pause between calls for all kinds together while the store doesn't answer.
	// Each call is billed, even if it is refused. Changes may be delayed by maxPause.
	minPause = 60 * time.Millisecond
	maxPause = time.Second
)

// Gate spaces the store calls of a process while the store doesn't answer. Once it answers one of them, none waits any longer: neither
// for its turn, nor for the answer to a call that was sent before.
type Gate struct {
	clock clock.Clock

	mu    sync.Mutex
	pause time.Duration
	next  time.Time
	// failingSince is when the first of the failures in a row was, zero if the last call was answered.
	failingSince time.Time
	// unanswered is set if one of these calls got no answer at all, so that others may wait for theirs in vain.
	unanswered bool
	// answered is closed by the first answer after a failure.
	answered chan struct{}
	sent     map[*Turn]bool
	turns    uint64
}

// Turn is one call that has passed the gate. Its caller must end it with Succeeded, Failed or Withdrawn.
type Turn struct {
	// Context ends with the turn, or once the store has answered a later call after others got no answer: this one's is lost.
	Context context.Context
	gate    *Gate
	number  uint64
	begun   time.Time
	cancel  context.CancelFunc
	// lostSince is when calls began to fail if the answer is lost, zero before.
	lostSince time.Time
}

// NewGate returns an open gate.
func NewGate(c clock.Clock) *Gate {
	return &Gate{clock: c, answered: make(chan struct{}), sent: make(map[*Turn]bool)}
}

// Enter waits for this caller's turn. It returns false if the context ended before.
func (g *Gate) Enter(ctx context.Context) (turn *Turn, ok bool) {
	for ctx.Err() == nil {
		g.mu.Lock()
		now := g.clock.Now()
		if g.pause == 0 || !now.Before(g.next) {
			g.next = now.Add(g.pause)
			turn = g.begin(ctx, now)
			g.mu.Unlock()
			return turn, true
		}
		wait, answered := g.next.Sub(now), g.answered
		g.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-answered:
		}
		t.Stop()
	}
	return nil, false
}

// begin starts a turn. The caller holds mu.
func (g *Gate) begin(ctx context.Context, now time.Time) *Turn {
	g.turns++
	t := &Turn{gate: g, number: g.turns, begun: now}
	t.Context, t.cancel = context.WithCancel(ctx)
	g.sent[t] = true
	return t
}

// Failing reports whether the last call failed.
func (g *Gate) Failing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pause > 0
}

// Succeeded records that the store answered: calls no longer wait.
func (t *Turn) Succeeded() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	t.end()
	if g.pause == 0 {
		return
	}
	for o := range g.sent {
		if g.unanswered && o.number < t.number {
			o.lostSince = g.failingSince
			o.end()
		}
	}
	g.pause, g.failingSince, g.unanswered = 0, time.Time{}, false
	close(g.answered)
	g.answered = make(chan struct{})
}

// Failed records a failed call: the next callers wait, after each failure in a row twice as long. The pause counts from the begin of a
// call: one that waited for an answer in vain has taken longer than the pause.
func (t *Turn) Failed(err error) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	t.end()
	now := g.clock.Now()
	if g.pause == 0 {
		g.failingSince = now
	}
	g.unanswered = g.unanswered || !errors.Is(err, objects.ErrRefused)
	g.pause = min(maxPause, max(minPause, 2*g.pause))
	if next := t.begun.Add(g.pause); next.After(g.next) {
		g.next = next
	}
}

// Withdrawn ends a turn whose caller needs no answer any more.
func (t *Turn) Withdrawn() {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.end()
}

// Lost reports whether the call's answer is lost, and since when calls failed then.
func (t *Turn) Lost() (since time.Time, lost bool) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return t.lostSince, !t.lostSince.IsZero()
}

// end removes the turn. The caller holds the gate's mu.
func (t *Turn) end() {
	t.cancel()
	delete(t.gate.sent, t)
}
