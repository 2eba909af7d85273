// Package view keeps what a host knows of the configuration, the backend servers and the owners of
// shared state, from listings and watches of the store.
package view

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/objects"
)

const (
	// watchWait is how long a watch waits. Each wait is one priced call; a watch that the store forgot in an
	// outage delays news by as much.
	watchWait = 2 * time.Second
	// passingWait is how long a watch of the host waits that passes news on to others: its age is theirs.
	passingWait = time.Second
	// passingGather is the least time between two watches of the host that passes news on.
	passingGather = 30 * time.Millisecond
	// gather is the least time between two watches of a host that only reads for itself: changes that
	// come close together, as in a release, take one priced call.
	gather = 400 * time.Millisecond
	// feedWait is how long news of another host are waited for before their age is looked at again.
	feedWait = 300 * time.Millisecond
	// returnTime is how long entries that lapsed while the store was away may take to come back.
	returnTime = 2200 * time.Millisecond
	// outageTime is how long calls must have failed for entries to count as lapsed.
	outageTime = 1500 * time.Millisecond
)

// Kind follows the objects of one kind.
type Follower struct {
	kind   objects.Kind
	client objects.Client
	clock  clock.Clock
	// changed is called in the following goroutine with all objects after each change.
	changed func(all map[string]objects.Object, at objects.Revision)
	gate    *Gate
	// feed is another host's knowledge, used in place of the store's unless direct says otherwise.
	feed   Feed
	direct func() bool
	// starting is how long another host's news are awaited for the first state before the store is read,
	// patience how long when they stay away later.
	starting time.Duration
	patience time.Duration
	unfed    time.Time
	last     time.Time
	// lenient keeps entries that are missing after an outage until they had the time to come back.
	lenient bool

	fresh   atomic.Int64
	all     map[string]objects.Object
	at      objects.Revision
	listed  bool
	failing time.Time
	back    time.Time
	missing map[string]bool
}

// Option changes how a kind is followed.
type Option func(*Follower)

// KeepThroughOutage keeps entries that lapse while the store is away until they had time to return.
func KeepThroughOutage() Option {
	return func(k *Follower) { k.lenient = true }
}

// Feed is what another host passes on.
type Feed interface {
	// Wait waits for a state that is newer than a revision. fresh is false if the feed can't take the
	// store's place now.
	Wait(ctx context.Context, kind objects.Kind, after objects.Revision, wait time.Duration) (
		all map[string]objects.Object, at objects.Revision, changed, fresh bool)
}

// Through uses another host's knowledge except while direct holds: then this host passes its own on.
// Without its news the store is read: after one time for the first state, after another one later.
func WithFeed(f Feed, direct func() bool, starting, patience time.Duration) Option {
	return func(k *Follower) { k.feed, k.direct, k.starting, k.patience = f, direct, starting, patience }
}

// NewKind returns a follower of a kind.
func NewFollower(
	kind objects.Kind, client objects.Client, c clock.Clock, gate *Gate,
	changed func(all map[string]objects.Object, at objects.Revision), options ...Option,
) *Follower {
	k := &Follower{
		kind: kind, client: client, clock: c, gate: gate, changed: changed,
		all: make(map[string]objects.Object), missing: make(map[string]bool),
	}
	for _, o := range options {
		o(k)
	}
	return k
}

// Age is how long ago the store last answered; it is negative before the first answer.
func (k *Follower) Age() time.Duration {
	at := k.fresh.Load()
	if at == 0 {
		return -1
	}
	return k.clock.Now().Sub(time.Unix(0, at))
}

// Run follows the kind until the context ends.
func (k *Follower) Run(ctx context.Context) {
	k.unfed = k.clock.Now()
	for ctx.Err() == nil {
		if k.fed(ctx) {
			k.unfed = k.clock.Now()
			continue
		}
		if k.waitsForNews() {
			clock.Sleep(ctx, feedWait/10)
			continue
		}
		if !k.gate.Enter(ctx) {
			return
		}
		overtaken, err := k.stepUnlessFed(ctx)
		switch {
		case overtaken:
		case err == nil:
			k.gate.Succeeded()
			k.answered()
		case ctx.Err() != nil:
			return
		case errors.Is(err, objects.ErrCompacted):
			k.gate.Succeeded()
			k.listed = false
		default:
			k.gate.Failed()
			k.failed(err)
		}
	}
}

// waitsForNews tells whether another host's news may still come before the store has to be read.
func (k *Follower) waitsForNews() bool {
	if k.feed == nil || k.direct() {
		return false
	}
	patience := k.patience
	if !k.listed && k.at == 0 {
		patience = k.starting
	}
	return k.clock.Now().Sub(k.unfed) < patience
}

// stepUnlessFed reads the store, but leaves off when another host has newer news: a watch that the
// store forgot would hold them up.
func (k *Follower) stepUnlessFed(ctx context.Context) (overtaken bool, err error) {
	if k.feed == nil || k.direct() {
		return false, k.step(ctx)
	}
	reading, stop := context.WithCancel(ctx)
	defer stop()
	at := k.at
	var newer atomic.Bool
	go func() {
		for reading.Err() == nil {
			if _, _, changed, fresh := k.feed.Wait(reading, k.kind, at, feedWait); changed && fresh {
				newer.Store(true)
				stop()
				return
			}
			clock.Sleep(reading, feedWait/3)
		}
	}()
	err = k.step(reading)
	return err != nil && newer.Load(), err
}

// fed takes news of another host; it is false if there is none to rely on.
func (k *Follower) fed(ctx context.Context) bool {
	if k.feed == nil || k.direct() {
		return false
	}
	all, at, changed, fresh := k.feed.Wait(ctx, k.kind, k.at, feedWait)
	if !fresh {
		return false
	}
	if changed {
		k.all = make(map[string]objects.Object, len(all))
		for name, o := range all {
			k.all[name] = o
		}
		clear(k.missing)
		k.at, k.listed = at, true
		k.changed(k.all, k.at)
	}
	return true
}

func (k *Follower) answered() {
	now := k.clock.Now()
	k.fresh.Store(now.UnixNano())
	if k.failing.IsZero() {
		return
	}
	log.WithFields(log.Fields{"kind": k.kind, "away_ms": now.Sub(k.failing).Milliseconds()}).Info("store answers again")
	if now.Sub(k.failing) > outageTime {
		k.back = now
	}
	k.failing = time.Time{}
}

func (k *Follower) failed(err error) {
	if !k.failing.IsZero() {
		return
	}
	k.failing = k.clock.Now()
	log.WithError(err).WithField("kind", k.kind).Warn("store does not answer")
}

func (k *Follower) step(ctx context.Context) error {
	if !k.listed {
		l, err := k.client.List(ctx, k.kind, false)
		if err != nil {
			return err
		}
		k.answered()
		k.list(l)
		return nil
	}
	span, between := watchWait, gather
	if k.direct != nil && k.direct() {
		span, between = passingWait, passingGather
	}
	clock.Sleep(ctx, between-k.clock.Now().Sub(k.last))
	k.last = k.clock.Now()
	if len(k.missing) > 0 {
		span = max(50*time.Millisecond, returnTime-k.clock.Now().Sub(k.back))
	}
	c, err := k.client.Watch(ctx, k.kind, k.at, span)
	if err != nil {
		return err
	}
	k.answered()
	k.apply(c)
	return nil
}

func (k *Follower) list(l objects.Listing) {
	next := make(map[string]objects.Object, len(l.Objects))
	for _, o := range l.Objects {
		next[o.Name] = o
	}
	for name, o := range k.all {
		if _, ok := next[name]; !ok && k.returning() {
			next[name] = o
			k.missing[name] = true
		}
	}
	k.all, k.at, k.listed = next, l.At, true
	k.changed(k.all, k.at)
}

// returning tells whether an entry that is missing may come back.
func (k *Follower) returning() bool {
	return k.lenient && !k.back.IsZero() && k.clock.Now().Sub(k.back) < returnTime
}

func (k *Follower) apply(c objects.Changes) {
	k.at = max(k.at, c.At)
	changed := false
	for _, e := range c.Events {
		switch {
		case !e.Removed:
			k.all[e.Object.Name] = e.Object
			delete(k.missing, e.Object.Name)
		case k.returning():
			k.missing[e.Object.Name] = true
		default:
			delete(k.all, e.Object.Name)
		}
		changed = true
	}
	if len(k.missing) > 0 && !k.returning() {
		for name := range k.missing {
			delete(k.all, name)
			delete(k.missing, name)
		}
		changed = true
	}
	if changed {
		k.changed(k.all, k.at)
	}
}
