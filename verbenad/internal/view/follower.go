// Package view keeps a host's copy of the configuration, the backend servers and the owners of shared state current,
// from listings and watches of the store or from another host that reads the store.
package view

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/objects"
)

const (
	// watchTimeout is how long a watch waits for changes. Each watch is one billed call. A watch that the store lost in
	// an outage delays changes by up to this time.
	watchTimeout = 2 * time.Second
	// publisherWatchTimeout is the same on the host that publishes its objects to others. It is shorter because the
	// others' objects are as old as this host's.
	publisherWatchTimeout = time.Second
	// publisherWatchInterval is the minimum time between two watches on the host that publishes its objects.
	publisherWatchInterval = 30 * time.Millisecond
	// watchInterval is the same on a host that reads only for itself. Changes that come close together, as in a
	// release, then take one billed call.
	watchInterval = 400 * time.Millisecond
	// feedTimeout is how long one call waits for a change from another host before the age of its objects is checked
	// again.
	feedTimeout = 300 * time.Millisecond
	// returnPeriod is how long after an outage of the store entries that lapsed in it may take to be written again.
	returnPeriod = 2200 * time.Millisecond
	// minReturnWatchTimeout is the minimum timeout of a watch while entries are missing. Such a watch otherwise ends
	// with the returnPeriod.
	minReturnWatchTimeout = 50 * time.Millisecond
	// probeWatchTimeout is how long a watch waits for changes while the store doesn't answer.
	probeWatchTimeout = 50 * time.Millisecond
	// minOutage is how long calls must have failed before missing entries count as lapsed in the outage.
	minOutage = 1500 * time.Millisecond
)

// Follower follows the objects of one kind.
type Follower struct {
	kind   objects.Kind
	client objects.Client
	clock  clock.Clock
	// elapsed measures Age, by which other hosts go: the time during which this host was suspended counts, too.
	elapsed clock.Clock
	// onChange is called in the goroutine of Run with all objects after each change.
	onChange func(all map[string]objects.Object, at objects.Revision)
	gate     *Gate
	// feed holds another host's objects. They are used in place of the store's unless isPublisher returns true.
	feed        Feed
	isPublisher func() bool
	// The store is read once the feed has had no fresh state for firstFeedWait if there is no state yet, or else for
	// feedWait.
	firstFeedWait time.Duration
	feedWait      time.Duration
	lastFed       time.Time
	lastWatch     time.Time
	// ownWatch is how long a watch waits while this host reads only for itself.
	ownWatch time.Duration
	// keepLapsed keeps entries that are missing after an outage for returnPeriod.
	keepLapsed bool

	answeredAt   atomic.Pointer[time.Time]
	confirmed    confirmation
	all          map[string]objects.Object
	revision     objects.Revision
	listed       bool
	failingSince time.Time
	recoveredAt  time.Time
	missing      map[string]bool
}

// Option changes how a Follower follows its kind.
type Option func(*Follower)

// KeepThroughOutage keeps entries that lapsed in an outage of the store until they have had time to be written again.
func KeepThroughOutage() Option {
	return func(f *Follower) { f.keepLapsed = true }
}

// WithOwnWatch sets how long a watch waits while this host reads only for itself: longer watches are fewer billed calls.
func WithOwnWatch(timeout time.Duration) Option {
	return func(f *Follower) { f.ownWatch = timeout }
}

// Feed provides the objects that another host publishes.
type Feed interface {
	// Wait waits for a state that is newer than a revision. fresh is false if the feed can't replace the store now.
	Wait(ctx context.Context, kind objects.Kind, after objects.Revision, wait time.Duration) (
		all map[string]objects.Object, revision objects.Revision, changed, fresh bool)
	// ConfirmedAt returns when the store last confirmed the objects of a kind, zero if that isn't known.
	ConfirmedAt(kind objects.Kind) time.Time
}

// WithFeed uses another host's objects, except while isPublisher returns true: then this host reads the store and
// publishes its own. If the feed has no fresh state, the store is read: after firstFeedWait if there is no state yet,
// after feedWait later.
func WithFeed(feed Feed, isPublisher func() bool, firstFeedWait, feedWait time.Duration) Option {
	return func(f *Follower) {
		f.feed, f.isPublisher, f.firstFeedWait, f.feedWait = feed, isPublisher, firstFeedWait, feedWait
	}
}

// NewFollower returns a follower of a kind.
func NewFollower(
	kind objects.Kind, client objects.Client, c clock.Clock, gate *Gate,
	onChange func(all map[string]objects.Object, at objects.Revision), options ...Option,
) *Follower {
	f := &Follower{
		kind: kind, client: client, clock: c, elapsed: clock.Boot{}, gate: gate, onChange: onChange,
		all: make(map[string]objects.Object), missing: make(map[string]bool), ownWatch: watchTimeout,
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Age returns how long ago the store last answered. It is negative before the first answer.
func (f *Follower) Age() time.Duration {
	at := f.answeredAt.Load()
	if at == nil {
		return -1
	}
	return f.elapsed.Now().Sub(*at)
}

// ListState returns how current the objects are, as confirmed by the store or by another host for it.
func (f *Follower) ListState() directory.ListState { return f.confirmed.state(f.clock.Now()) }

// Run follows the kind until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.lastFed = f.clock.Now()
	for ctx.Err() == nil {
		if f.takeFromFeed(ctx) {
			f.lastFed = f.clock.Now()
			continue
		}
		if f.awaitsFeed() {
			clock.Sleep(ctx, feedTimeout/10)
			continue
		}
		turn, ok := f.gate.Enter(ctx)
		if !ok {
			return
		}
		feedNewer, err := f.readUnlessFeedNewer(turn.Context)
		if ctx.Err() != nil {
			turn.Withdrawn()
			return
		}
		f.endTurn(turn, feedNewer, err)
	}
}

// endTurn records the end of a call to the store.
func (f *Follower) endTurn(turn *Turn, feedNewer bool, err error) {
	lostSince, lost := turn.Lost()
	switch {
	case err == nil:
		turn.Succeeded()
		f.recordAnswer()
	case errors.Is(err, objects.ErrCompacted):
		turn.Succeeded()
		f.listed = false
	case feedNewer:
		turn.Withdrawn()
	case lost:
		f.recordFailureSince(lostSince, err)
	default:
		turn.Failed(err)
		f.recordFailureSince(f.clock.Now(), err)
	}
}

// awaitsFeed reports whether there is still time for the feed to deliver a state before the store has to be read.
func (f *Follower) awaitsFeed() bool {
	if f.feed == nil || f.isPublisher() {
		return false
	}
	wait := f.feedWait
	if !f.listed && f.revision == 0 {
		wait = f.firstFeedWait
	}
	return f.clock.Now().Sub(f.lastFed) < wait
}

// readUnlessFeedNewer reads the store, but stops as soon as the feed has a newer state: a watch that the store lost
// would delay it.
func (f *Follower) readUnlessFeedNewer(ctx context.Context) (feedNewer bool, err error) {
	if f.feed == nil || f.isPublisher() {
		return false, f.readStore(ctx)
	}
	reading, stop := context.WithCancel(ctx)
	defer stop()
	revision := f.revision
	var newer atomic.Bool
	go func() {
		for reading.Err() == nil {
			if _, _, changed, fresh := f.feed.Wait(reading, f.kind, revision, feedTimeout); changed && fresh {
				newer.Store(true)
				stop()
				return
			}
			clock.Sleep(reading, feedTimeout/3)
		}
	}()
	err = f.readStore(reading)
	return err != nil && newer.Load(), err
}

// takeFromFeed waits for the feed and applies a newer state. It returns false if the feed can't replace the store now.
func (f *Follower) takeFromFeed(ctx context.Context) bool {
	if f.feed == nil || f.isPublisher() {
		return false
	}
	confirmedAt := f.feed.ConfirmedAt(f.kind) // before the state is taken, which is at least as new
	all, revision, changed, fresh := f.feed.Wait(ctx, f.kind, f.revision, feedTimeout)
	if !fresh {
		return false
	}
	f.confirmed.add(confirmedAt)
	if changed {
		f.all = make(map[string]objects.Object, len(all))
		for n, o := range all {
			f.all[n] = o
		}
		clear(f.missing)
		f.revision, f.listed = revision, true
		f.onChange(f.all, f.revision)
	}
	return true
}

func (f *Follower) recordAnswer() {
	now := f.clock.Now()
	f.confirmed.add(now)
	answeredAt := f.elapsed.Now()
	f.answeredAt.Store(&answeredAt)
	if f.failingSince.IsZero() {
		return
	}
	log.WithFields(log.Fields{"kind": f.kind, "away_ms": now.Sub(f.failingSince).Milliseconds()}).Info("store answers again")
	if now.Sub(f.failingSince) > minOutage {
		f.recoveredAt = now
	}
	f.failingSince = time.Time{}
}

func (f *Follower) recordFailureSince(since time.Time, err error) {
	if !f.failingSince.IsZero() {
		return
	}
	f.failingSince = since
	log.WithError(err).WithField("kind", f.kind).Warn("store does not answer")
}

func (f *Follower) readStore(ctx context.Context) error {
	if !f.listed {
		l, err := f.client.List(ctx, f.kind, false)
		if err != nil {
			return err
		}
		f.recordAnswer()
		f.applyListing(l)
		return nil
	}
	timeout, interval := f.ownWatch, watchInterval
	if f.isPublisher != nil && f.isPublisher() {
		timeout, interval = publisherWatchTimeout, publisherWatchInterval
	}
	clock.Sleep(ctx, interval-f.clock.Now().Sub(f.lastWatch))
	f.lastWatch = f.clock.Now()
	if f.gate.Failing() {
		timeout = probeWatchTimeout // the answer shows that the store is back, and the next watch waits
	}
	if len(f.missing) > 0 {
		timeout = max(minReturnWatchTimeout, returnPeriod-f.clock.Now().Sub(f.recoveredAt))
	}
	c, err := f.client.Watch(ctx, f.kind, f.revision, timeout)
	if err != nil {
		return err
	}
	f.recordAnswer()
	f.applyChanges(c)
	return nil
}

func (f *Follower) applyListing(l objects.Listing) {
	next := make(map[string]objects.Object, len(l.Objects))
	for _, o := range l.Objects {
		next[o.Name] = o
	}
	for n, o := range f.all {
		if _, ok := next[n]; !ok && f.mayReturn() {
			next[n] = o
			f.missing[n] = true
		}
	}
	f.all, f.revision, f.listed = next, l.Revision, true
	f.onChange(f.all, f.revision)
}

// mayReturn reports whether a missing entry may still be written again after an outage.
func (f *Follower) mayReturn() bool {
	return f.keepLapsed && !f.recoveredAt.IsZero() && f.clock.Now().Sub(f.recoveredAt) < returnPeriod
}

func (f *Follower) applyChanges(c objects.Changes) {
	f.revision = max(f.revision, c.Revision)
	changed := false
	for _, e := range c.Events {
		switch {
		case !e.Removed:
			f.all[e.Object.Name] = e.Object
			delete(f.missing, e.Object.Name)
		case f.mayReturn():
			f.missing[e.Object.Name] = true
		default:
			delete(f.all, e.Object.Name)
		}
		changed = true
	}
	if len(f.missing) > 0 && !f.mayReturn() {
		for n := range f.missing {
			delete(f.all, n)
			delete(f.missing, n)
		}
		changed = true
	}
	if changed {
		f.onChange(f.all, f.revision)
	}
}
