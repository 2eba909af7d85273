package owners

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/objects/memory"
)

// TestRenewalOfFormerProcessTakenForOwn guards against a host that starts again, whose first renewal is lost, and that takes the
// renewal of its former process for it.
func TestRenewalOfFormerProcessTakenForOwn(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manualClock{now: time.Unix(1000, 0)}
	former := newTestHost("a", s, m)
	c.Assert(former.renew(t.Context()), qt.IsNil)
	before, err := s.Get(t.Context(), KindLeases, "a")
	c.Assert(err, qt.IsNil)
	m.now = m.now.Add(2 * time.Second)
	s.SetFault(func(op memory.Op) memory.Fault {
		if op.Kind == KindLeases && op.Verb == "replace" {
			return memory.LoseCall
		}
		return memory.None
	})
	again := newTestHost("a", s, m)
	_ = again.renew(t.Context()) // every write is lost
	after, err := s.Get(t.Context(), KindLeases, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(after.Revision, qt.Equals, before.Revision)
	c.Check(again.LeaseValid(), qt.IsFalse)
}
