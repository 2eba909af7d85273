package objectfeed

import (
	"context"
	"sync"
	"time"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// MaxAge is how old another host's objects may be to be used in place of the store's. That host's watch of the store
// returns after a second at the latest, and it sends the ages several times a second.
const MaxAge = 1800 * time.Millisecond

// Feed holds the store's objects as received from another host.
type Feed struct {
	clock clock.Clock

	mu          sync.Mutex
	snapshots   map[objects.Kind]snapshot
	confirmedAt map[objects.Kind]time.Time
	changed     chan struct{}
}

// NewFeed returns an empty feed.
func NewFeed(c clock.Clock) *Feed {
	return &Feed{
		clock: c, snapshots: make(map[objects.Kind]snapshot), confirmedAt: make(map[objects.Kind]time.Time), changed: make(chan struct{}),
	}
}

// Apply applies an update. If the update doesn't start at the known revision, the kind becomes unknown until a full
// update comes.
func (f *Feed) Apply(update hostlink.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, ok := f.snapshots[update.Kind]
	if !update.Full && (!ok || old.revision != update.FromRevision) {
		delete(f.snapshots, update.Kind)
		return
	}
	next := snapshot{objects: make(map[string]objects.Object, len(old.objects)+len(update.Objects)), revision: update.Revision}
	if !update.Full {
		for name, o := range old.objects {
			next.objects[name] = o
		}
	}
	for _, o := range update.Objects {
		next.objects[o.Name] = o
	}
	for _, name := range update.Removed {
		delete(next.objects, name)
	}
	f.snapshots[update.Kind] = next
	f.notifyWaiters()
}

// Confirm records how long ago the store confirmed the other host's objects, by kind.
func (f *Feed) Confirm(ages map[objects.Kind]time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for k, a := range ages {
		f.confirmedAt[k] = now.Add(-a)
	}
}

// ConfirmedAt returns when the store last confirmed the objects of a kind, zero if that isn't known.
func (f *Feed) ConfirmedAt(kind objects.Kind) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt[kind]
}

// Reset drops all objects. It is called when the other host can't be reached.
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

// Wait waits for objects of a kind that are newer than a revision. fresh is false if the feed can't replace the store
// now; changed is false if nothing newer came in time.
func (f *Feed) Wait(ctx context.Context, kind objects.Kind, after objects.Revision, wait time.Duration) (
	all map[string]objects.Object, revision objects.Revision, changed, fresh bool,
) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		f.mu.Lock()
		snapshot, known := f.snapshots[kind]
		age := f.clock.Now().Sub(f.confirmedAt[kind])
		signal := f.changed
		f.mu.Unlock()
		if !known || age > MaxAge {
			return nil, 0, false, false
		}
		if snapshot.revision > after {
			return snapshot.objects, snapshot.revision, true, true
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
