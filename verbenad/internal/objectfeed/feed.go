package objectfeed

import (
	"context"
	"sync"
	"time"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// maxAge is how old another host's knowledge may be to be used in place of the store's: its watch
// waits for a second, and it tells its age several times a second.
const maxAge = 1800 * time.Millisecond

// Feed is what another host passes on.
type Feed struct {
	clock clock.Clock

	mu          sync.Mutex
	snapshots   map[objects.Kind]snapshot
	confirmedAt map[objects.Kind]time.Time
	changed     chan struct{}
}

// NewFeed returns a feed without a source.
func NewFeed(c clock.Clock) *Feed {
	return &Feed{
		clock: c, snapshots: make(map[objects.Kind]snapshot), confirmedAt: make(map[objects.Kind]time.Time), changed: make(chan struct{}),
	}
}

// Take applies news. News that don't follow on what is known make the kind unknown until it comes whole.
func (f *Feed) Apply(n hostlink.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, ok := f.snapshots[n.Kind]
	if !n.Full && (!ok || old.revision != n.FromRevision) {
		delete(f.snapshots, n.Kind)
		return
	}
	next := snapshot{objects: make(map[string]objects.Object, len(old.objects)+len(n.Objects)), revision: n.Revision}
	if !n.Full {
		for name, o := range old.objects {
			next.objects[name] = o
		}
	}
	for _, o := range n.Objects {
		next.objects[o.Name] = o
	}
	for _, name := range n.Removed {
		delete(next.objects, name)
	}
	f.snapshots[n.Kind] = next
	f.notifyWaiters()
}

// Heard takes the ages of what the other host knows.
func (f *Feed) Confirm(ages map[objects.Kind]time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for k, a := range ages {
		f.confirmedAt[k] = now.Add(-a)
	}
}

// Down forgets all: the other host can't be reached.
func (f *Feed) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.snapshots)
	clear(f.confirmedAt)
	f.notifyWaiters()
}

func (f *Feed) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Wait waits for a state of a kind that is newer than a revision. fresh is false if the feed can't
// take the store's place now; changed is false if nothing newer came in time.
func (f *Feed) Wait(ctx context.Context, kind objects.Kind, after objects.Revision, wait time.Duration) (
	all map[string]objects.Object, at objects.Revision, changed, fresh bool,
) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		f.mu.Lock()
		s, known := f.snapshots[kind]
		age := f.clock.Now().Sub(f.confirmedAt[kind])
		signal := f.changed
		f.mu.Unlock()
		if !known || age > maxAge {
			return nil, 0, false, false
		}
		if s.revision > after {
			return s.objects, s.revision, true, true
		}
		select {
		case <-signal:
		case <-t.C:
			return nil, 0, false, true
		case <-ctx.Done():
			return nil, 0, false, true
		}
	}
}
