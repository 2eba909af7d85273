package backend

import (
	"sync/atomic"
	"time"
)

// guard cancels a call that has sent nothing for too long.
type guard struct {
	limit time.Duration
	timer *time.Timer
	fired atomic.Bool
}

func newGuard(limit time.Duration, cancel func()) *guard {
	g := &guard{limit: limit}
	g.timer = time.AfterFunc(limit, func() {
		g.fired.Store(true)
		cancel()
	})
	return g
}

func (g *guard) alive() {
	if g.timer.Stop() {
		g.timer.Reset(g.limit)
	}
}

func (g *guard) stop() {
	g.timer.Stop()
}

func (g *guard) stalled() bool {
	return g.fired.Load()
}
