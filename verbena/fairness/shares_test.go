package fairness

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

var start = time.Unix(1000, 0)

// weights returns the weights of a test; workspaces that aren't listed have none.
func weights(all map[ids.WorkspaceID]float64) func(ids.WorkspaceID) (float64, bool) {
	return func(w ids.WorkspaceID) (float64, bool) {
		v, ok := all[w]
		return v, ok
	}
}

func hold(a *Account, at time.Time, w ids.WorkspaceID, n int) {
	for range n {
		a.Begin(at, w)
	}
}

// TestBeyond guards against shares that aren't max-min fair: a workspace counted as beyond its share while others leave it the
// room, or one that escapes although others want theirs.
func TestBeyond(t *testing.T) {
	for _, tt := range []struct {
		name    string
		held    map[ids.WorkspaceID]int
		waiting map[ids.WorkspaceID]int
		weights map[ids.WorkspaceID]float64
		slots   float64
		want    []ids.WorkspaceID
	}{
		{
			name: "one workspace alone", held: map[ids.WorkspaceID]int{"much": 10}, waiting: map[ids.WorkspaceID]int{"much": 40},
			weights: map[ids.WorkspaceID]float64{"much": 1}, slots: 10,
		},
		{
			name: "another wants a slot", held: map[ids.WorkspaceID]int{"much": 10}, waiting: map[ids.WorkspaceID]int{"much": 40, "little": 1},
			weights: map[ids.WorkspaceID]float64{"much": 1, "little": 1}, slots: 10, want: []ids.WorkspaceID{"much"},
		},
		{
			name: "what others don't want is shared by weight", held: map[ids.WorkspaceID]int{"a": 6, "b": 2, "little": 1},
			waiting: map[ids.WorkspaceID]int{"a": 9, "b": 9}, weights: map[ids.WorkspaceID]float64{"a": 3, "b": 1, "little": 50}, slots: 9,
		},
		{
			name: "beyond the part by weight", held: map[ids.WorkspaceID]int{"a": 5, "b": 3, "little": 1},
			waiting: map[ids.WorkspaceID]int{"a": 9, "b": 9}, weights: map[ids.WorkspaceID]float64{"a": 3, "b": 1, "little": 50}, slots: 9,
			want: []ids.WorkspaceID{"b"},
		},
		{
			name: "a workspace without a weight takes no part", held: map[ids.WorkspaceID]int{"none": 6, "a": 2, "b": 2},
			waiting: map[ids.WorkspaceID]int{"none": 9, "a": 9, "b": 9}, weights: map[ids.WorkspaceID]float64{"a": 1, "b": 1}, slots: 10,
		},
		{
			name: "a rate of nothing", held: map[ids.WorkspaceID]int{"zero": 1, "a": 1},
			waiting: map[ids.WorkspaceID]int{"zero": 1, "a": 1}, weights: map[ids.WorkspaceID]float64{"zero": 0, "a": 1}, slots: 2,
			want: []ids.WorkspaceID{"zero"},
		},
		{
			name: "no slots", held: map[ids.WorkspaceID]int{"a": 1}, waiting: map[ids.WorkspaceID]int{"b": 1},
			weights: map[ids.WorkspaceID]float64{"a": 1, "b": 1}, want: []ids.WorkspaceID{"a"},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var a Account
			for w, n := range tt.held {
				hold(&a, start, w, n)
			}
			want := make(map[ids.WorkspaceID]bool)
			for _, w := range tt.want {
				want[w] = true
			}
			beyond, left := a.Beyond(start.Add(5*time.Second), tt.slots, tt.waiting, weights(tt.weights))
			qt.Assert(t, beyond, qt.DeepEquals, want)
			taken := 0.0
			for w, n := range tt.held {
				if !want[w] {
					taken += float64(n)
				}
			}
			qt.Assert(t, math.Abs(left-math.Max(0, tt.slots-taken)) < 0.01, qt.IsTrue, qt.Commentf("left %f", left))
		})
	}
}

// TestUseOfTheLastSecond guards against a workspace that counts as a small user as soon as its slots are free, or as a large
// one long after.
func TestUseOfTheLastSecond(t *testing.T) {
	c := qt.New(t)
	var a Account
	hold(&a, start, "w", 8)
	c.Assert(a.Use(start, "w"), qt.Equals, 8.0)
	for range 8 {
		a.End(start.Add(2*time.Second), "w")
	}
	c.Assert(a.Use(start.Add(2100*time.Millisecond), "w") > 6, qt.IsTrue)
	c.Assert(a.Use(start.Add(3*time.Second), "w") < 1.2, qt.IsTrue)
	_, _ = a.Beyond(start.Add(20*time.Second), 1, nil, weights(nil))
	c.Assert(a.holders, qt.HasLen, 0, qt.Commentf("an idle workspace must be forgotten"))
	c.Assert(a.Use(start, "unknown"), qt.Equals, 0.0)
	a.End(start, "unknown")
}
