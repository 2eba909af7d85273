package backend

import (
	"sync/atomic"
	"time"
)

// stallTimer cancels a call when the server has sent nothing for the timeout.
type stallTimer struct {
	timeout time.Duration
	timer   *time.Timer
	expired atomic.Bool
}

func newStallTimer(timeout time.Duration, cancel func()) *stallTimer {
	t := &stallTimer{timeout: timeout}
	t.timer = time.AfterFunc(timeout, func() {
		t.expired.Store(true)
		cancel()
	})
	return t
}

func (t *stallTimer) reset() {
	if t.timer.Stop() {
		t.timer.Reset(t.timeout)
	}
}

func (t *stallTimer) stop() {
	t.timer.Stop()
}

func (t *stallTimer) stalled() bool {
	return t.expired.Load()
}
