package objectfeed

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbenad/internal/hostlink"
)

type manualClock struct{ now time.Time }

func (m *manualClock) Now() time.Time { return m.now }

func newUpdate(full bool, from, at objects.Revision, names ...string) hostlink.Update {
	update := hostlink.Update{Kind: "k", Full: full, FromRevision: from, Revision: at}
	for _, name := range names {
		update.Objects = append(update.Objects, objects.Object{Name: name, Revision: at})
	}
	return update
}

// waitResult is the result of Feed.Wait, with the number of objects.
type waitResult struct {
	count          int
	revision       objects.Revision
	changed, fresh bool
}

func wait(f *Feed, after objects.Revision) waitResult {
	all, at, changed, fresh := f.Wait(context.Background(), "k", after, time.Millisecond)
	return waitResult{len(all), at, changed, fresh}
}

func TestFeedIsFreshWhileConfirmed(t *testing.T) {
	c := qt.New(t)
	m := &manualClock{now: time.Unix(100, 0)}
	f := NewFeed(m)
	c.Assert(wait(f, 0).fresh, qt.IsFalse)
	f.Apply(newUpdate(true, 0, 5, "a", "b"))
	c.Assert(wait(f, 0).fresh, qt.IsFalse, qt.Commentf("the update's age is unknown"))
	f.Confirm(map[objects.Kind]time.Duration{"k": time.Second})
	c.Assert(wait(f, 0) == waitResult{2, 5, true, true}, qt.IsTrue)
	c.Assert(wait(f, 5) == waitResult{0, 0, false, true}, qt.IsTrue)
	m.now = m.now.Add(MaxAge)
	c.Assert(wait(f, 0).fresh, qt.IsFalse, qt.Commentf("the last confirmation is too old"))
}

func TestFeedAppliesChanges(t *testing.T) {
	c := qt.New(t)
	f := NewFeed(&manualClock{now: time.Unix(100, 0)})
	f.Confirm(map[objects.Kind]time.Duration{"k": 0})
	f.Apply(newUpdate(true, 0, 5, "a", "b"))
	update := newUpdate(false, 5, 7, "c")
	update.Removed = []string{"a"}
	f.Apply(update)
	v := wait(f, 5)
	c.Assert(v.count, qt.Equals, 2)
	c.Assert(v.revision, qt.Equals, objects.Revision(7))
	f.Apply(newUpdate(false, 9, 10, "d"))
	c.Assert(wait(f, 0).fresh, qt.IsFalse, qt.Commentf("a change was missed"))
}

func TestFeedResetIsNotFresh(t *testing.T) {
	f := NewFeed(&manualClock{now: time.Unix(100, 0)})
	f.Confirm(map[objects.Kind]time.Duration{"k": 0})
	f.Apply(newUpdate(true, 0, 5, "a"))
	f.Reset()
	qt.Assert(t, wait(f, 0).fresh, qt.IsFalse)
}

func TestDiff(t *testing.T) {
	c := qt.New(t)
	o := func(name string, at objects.Revision) objects.Object { return objects.Object{Name: name, Revision: at} }
	old := snapshot{revision: 5, objects: map[string]objects.Object{"a": o("a", 1), "b": o("b", 2)}}
	next := snapshot{revision: 9, objects: map[string]objects.Object{"b": o("b", 8), "c": o("c", 9)}}
	update := diff(old, next)
	c.Assert(update.FromRevision, qt.Equals, objects.Revision(5))
	c.Assert(update.Revision, qt.Equals, objects.Revision(9))
	c.Assert(update.Removed, qt.DeepEquals, []string{"a"})
	c.Assert(update.Objects, qt.HasLen, 2)
}
