package objectfeed

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbenad/internal/hostlink"
)

type manual struct{ now time.Time }

func (m *manual) Now() time.Time { return m.now }

func news(full bool, from, at objects.Revision, names ...string) hostlink.Update {
	n := hostlink.Update{Kind: "k", Full: full, FromRevision: from, Revision: at}
	for _, name := range names {
		n.Objects = append(n.Objects, objects.Object{Name: name, Revision: at})
	}
	return n
}

// view is what a wait on a feed gives.
type view struct {
	names          int
	at             objects.Revision
	changed, fresh bool
}

func wait(f *Feed, after objects.Revision) view {
	all, at, changed, fresh := f.Wait(context.Background(), "k", after, time.Millisecond)
	return view{len(all), at, changed, fresh}
}

func TestFeedIsUsedWhileConfirmed(t *testing.T) {
	c := qt.New(t)
	m := &manual{now: time.Unix(100, 0)}
	f := NewFeed(m)
	c.Assert(wait(f, 0).fresh, qt.IsFalse)
	f.Take(news(true, 0, 5, "a", "b"))
	c.Assert(wait(f, 0).fresh, qt.IsFalse, qt.Commentf("news of unknown age"))
	f.Heard(map[objects.Kind]time.Duration{"k": time.Second})
	c.Assert(wait(f, 0) == view{2, 5, true, true}, qt.IsTrue)
	c.Assert(wait(f, 5) == view{0, 0, false, true}, qt.IsTrue)
	m.now = m.now.Add(maxAge)
	c.Assert(wait(f, 0).fresh, qt.IsFalse, qt.Commentf("news that nobody confirmed lately"))
}

func TestFeedFollowsChanges(t *testing.T) {
	c := qt.New(t)
	f := NewFeed(&manual{now: time.Unix(100, 0)})
	f.Heard(map[objects.Kind]time.Duration{"k": 0})
	f.Take(news(true, 0, 5, "a", "b"))
	n := news(false, 5, 7, "c")
	n.Removed = []string{"a"}
	f.Take(n)
	v := wait(f, 5)
	c.Assert(v.names, qt.Equals, 2)
	c.Assert(v.at, qt.Equals, objects.Revision(7))
	f.Take(news(false, 9, 10, "d"))
	c.Assert(wait(f, 0).fresh, qt.IsFalse, qt.Commentf("a change was missed"))
}

func TestFeedForgetsWithItsSource(t *testing.T) {
	f := NewFeed(&manual{now: time.Unix(100, 0)})
	f.Heard(map[objects.Kind]time.Duration{"k": 0})
	f.Take(news(true, 0, 5, "a"))
	f.Down()
	qt.Assert(t, wait(f, 0).fresh, qt.IsFalse)
}

func TestDifference(t *testing.T) {
	c := qt.New(t)
	o := func(name string, at objects.Revision) objects.Object { return objects.Object{Name: name, Revision: at} }
	old := state{at: 5, all: map[string]objects.Object{"a": o("a", 1), "b": o("b", 2)}}
	next := state{at: 9, all: map[string]objects.Object{"b": o("b", 8), "c": o("c", 9)}}
	n := difference(old, next)
	c.Assert(n.FromRevision, qt.Equals, objects.Revision(5))
	c.Assert(n.Revision, qt.Equals, objects.Revision(9))
	c.Assert(n.Removed, qt.DeepEquals, []string{"a"})
	c.Assert(n.Objects, qt.HasLen, 2)
}
