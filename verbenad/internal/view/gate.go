package view

import (
	"context"
	"sync"
	"time"

	"verbenaledge.example/verbena/clock"
)

const (
	// minPause and maxPause bound the pause between calls for all kinds together while the store doesn't answer.
	// Each call is billed, even if it is refused. Changes may be delayed by maxPause.
	minPause = 60 * time.Millisecond
	maxPause = time.Second
)

// Gate spaces the store calls of a process while the store doesn't answer.
type Gate struct {
	clock clock.Clock

	mu    sync.Mutex
	pause time.Duration
	next  time.Time
}

// NewGate returns an open gate.
func NewGate(c clock.Clock) *Gate {
	return &Gate{clock: c}
}

// Enter waits for this caller's turn. It returns false if the context ended before.
func (g *Gate) Enter(ctx context.Context) bool {
	for ctx.Err() == nil {
		g.mu.Lock()
		now := g.clock.Now()
		if g.pause == 0 || !now.Before(g.next) {
			g.next = now.Add(g.pause)
			g.mu.Unlock()
			return true
		}
		wait := g.next.Sub(now)
		g.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
	return false
}

// Succeeded records that the store answered: calls no longer wait.
func (g *Gate) Succeeded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause = 0
}

// Failed records a failed call: the next callers wait, after each failure in a row twice as long.
func (g *Gate) Failed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause = min(maxPause, max(minPause, 2*g.pause))
	g.next = g.clock.Now().Add(g.pause)
}
