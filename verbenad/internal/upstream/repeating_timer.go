package upstream

import (
	"sync"
	"time"
)

// repeatingTimer calls a function at intervals until it is stopped.
type repeatingTimer struct {
	interval time.Duration
	call     func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func newRepeatingTimer(interval time.Duration, call func()) *repeatingTimer {
	t := &repeatingTimer{interval: interval, call: call}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(interval, t.fire)
	return t
}

func (t *repeatingTimer) fire() {
	t.call()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer.Reset(t.interval)
	}
}

func (t *repeatingTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
