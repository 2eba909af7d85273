package entry

import (
	"sync"
	"time"

	"verbenaledge.example/verbena/shutdown"
)

// durations are the durations of requests, from the first send on.
type durations struct {
	mu     sync.Mutex
	recent *shutdown.Durations
}

func newDurations() *durations { return &durations{recent: shutdown.NewDurations()} }

func (d *durations) observe(now time.Time, e shutdown.Ended) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recent.Observe(now, e)
}

func (d *durations) latestStart(now time.Time, r shutdown.Request, left time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recent.LatestStart(now, r, left)
}
