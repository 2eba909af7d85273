package ownership

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestMovesNameUnlistedOwners: the log must tell a move from a host without a listed lease from a planned one.
func TestMovesNameUnlistedOwners(t *testing.T) {
	c := qt.New(t)
	w := NewWatcher("a", units(3))
	w.Observe(start, leases(1, "a", "b", "c"))
	current := Map{Units: map[Unit]Owner{"u0": {Host: "b"}, "u1": {Host: "d"}, "u2": {Host: "d"}}}
	next := Map{Units: map[Unit]Owner{"u0": {Host: "a"}, "u1": {Host: "c"}, "u2": {Host: "c"}}}
	c.Assert(w.Moves(current, next), qt.DeepEquals, []Move{
		{From: "b", To: "a", Units: 1, FromListed: true},
		{From: "d", To: "c", Units: 2},
	})
	c.Assert(w.Moves(current, current), qt.HasLen, 0)
}
