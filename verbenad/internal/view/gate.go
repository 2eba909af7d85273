package view

import (
	"context"
	"sync"
	"time"

	"verbenaledge.example/verbena/clock"
)

const (
	// firstPause and longestPause bound the pause between calls of all kinds together while the store
	// is away. Each call is priced, refused ones too; news may be late by the longest pause.
	firstPause   = 60 * time.Millisecond
	longestPause = time.Second
)

// Gate spaces the calls of a process while the store does not answer.
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

// Enter waits for this caller's turn. It is false if the context ended before.
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

// Passed opens the gate: the store answers.
func (g *Gate) Succeeded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause = 0
}

// Failed makes the next callers wait.
func (g *Gate) Failed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause = min(longestPause, max(firstPause, 2*g.pause))
	g.next = g.clock.Now().Add(g.pause)
}
