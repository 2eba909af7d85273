package platform_test

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/backend"
	objects "verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/platform/memory"
)

// loseAnswers lets the next n writes take effect and loses their answers.
func loseAnswers(s *memory.Store, n int) {
	s.Objects.SetFault(func(op objects.Op) objects.Fault {
		if op.Verb == "get" || n == 0 {
			return objects.None
		}
		n--
		return objects.LoseAnswer
	})
}

// TestLostAnswers checks that a writer whose answer was lost reads its own write id back as success, and
// another writer's as a conflict.
func TestLostAnswers(t *testing.T) {
	c := qt.New(t)
	s := memory.New()
	ctx := context.Background()
	for n := range 4 {
		name := "object/" + strings.Repeat("x", n+1)
		loseAnswers(s, n)
		v, err := s.Create(ctx, name, []byte("one"))
		c.Assert(err, qt.IsNil)
		loseAnswers(s, n)
		v2, err := s.Update(ctx, name, v, []byte("two"))
		c.Assert(err, qt.IsNil)
		o, err := s.Get(ctx, name)
		c.Assert(err, qt.IsNil)
		c.Assert(string(o.Value), qt.Equals, "two")
		c.Assert(o.Version, qt.Equals, v2)
		_, err = s.Update(ctx, name, v, []byte("late"))
		c.Assert(err, qt.ErrorIs, platform.ErrConflict)
		loseAnswers(s, 1)
		_, err = s.Update(ctx, name, v, []byte("late, and the answer lost"))
		c.Assert(err, qt.ErrorIs, platform.ErrConflict)
		loseAnswers(s, min(n, 2))
		c.Assert(s.Delete(ctx, name, v2), qt.IsNil)
		_, err = s.Get(ctx, name)
		c.Assert(err, qt.ErrorIs, platform.ErrNotFound)
		c.Assert(s.Delete(ctx, name, v2), qt.ErrorIs, platform.ErrNotFound)
	}
}

// TestNamesAndPrefixes checks that names with slashes and tildes are read back unchanged, and are listed
// only under their own prefix.
func TestNamesAndPrefixes(t *testing.T) {
	c := qt.New(t)
	s := memory.New()
	ctx := context.Background()
	for _, n := range []string{"jobs/3/a~1", "jobs/3/b", "jobs/30/c", "leases/h/1"} {
		_, err := s.Create(ctx, n, []byte(n))
		c.Assert(err, qt.IsNil)
		o, err := s.Get(ctx, n)
		c.Assert(err, qt.IsNil)
		c.Assert(o.Name, qt.Equals, n)
		c.Assert(string(o.Value), qt.Equals, n)
	}
	l, err := s.List(ctx, "jobs/3/", true)
	c.Assert(err, qt.IsNil)
	c.Assert(l.Objects, qt.HasLen, 2)
	c.Assert(l.Objects[0].Name, qt.Equals, "jobs/3/a~1")
	_, err = s.Create(ctx, "jobs/3/b", nil)
	c.Assert(err, qt.ErrorIs, platform.ErrConflict)
	_, err = s.Create(ctx, "jobs/3/large", make([]byte, platform.MaxValueBytes+1))
	c.Assert(err, qt.ErrorIs, platform.ErrTooLarge)
}

// TestWatch checks that a watch returns changes and deletions after a version, and all objects once the
// store's history has been compacted.
func TestWatch(t *testing.T) {
	c := qt.New(t)
	s := memory.New()
	ctx := context.Background()
	v, err := s.Create(ctx, "config/a", []byte("one"))
	c.Assert(err, qt.IsNil)
	l, err := s.Watch(ctx, "config/", 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(l.Objects, qt.HasLen, 1)
	l, err = s.Watch(ctx, "config/", l.Revision, 10*time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(l.Objects, qt.HasLen, 0)
	c.Assert(s.Delete(ctx, "config/a", v), qt.IsNil)
	l, err = s.Watch(ctx, "config/", v, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(l.Objects, qt.HasLen, 1)
	c.Assert(l.Objects[0].Deleted, qt.IsTrue)
	_, err = s.Create(ctx, "config/b", nil)
	c.Assert(err, qt.IsNil)
	s.Objects.Compact()
	l, err = s.Watch(ctx, "config/", v, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(l.Objects, qt.HasLen, 1)
	s.SetDown(true)
	_, err = s.Watch(ctx, "config/", v, 0)
	c.Assert(err, qt.ErrorIs, platform.ErrUnavailable)
}

// TestHosts checks that hosts are listed again only after a change.
func TestHosts(t *testing.T) {
	c := qt.New(t)
	s := memory.New()
	ctx := context.Background()
	c.Assert(memory.PutHost(ctx, s.Objects, backend.Server{ID: "a", Address: "127.0.0.1:1"}), qt.IsNil)
	l, err := s.Hosts(ctx, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(l.Servers, qt.HasLen, 1)
	same, err := s.Hosts(ctx, l.Version)
	c.Assert(err, qt.IsNil)
	c.Assert(same, qt.DeepEquals, platform.HostList{Version: l.Version})
	c.Assert(memory.PutHost(ctx, s.Objects, backend.Server{ID: "a", Address: "127.0.0.1:2"}), qt.IsNil)
	next, err := s.Hosts(ctx, l.Version)
	c.Assert(err, qt.IsNil)
	c.Assert(next.Servers[0].Address, qt.Equals, "127.0.0.1:2")
	c.Assert(next.Version > l.Version, qt.IsTrue)
}
