package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/shutdown"
)

// firstAttemptShare is that of package dispatch: a request with less of its first attempt's time left was refused before.
const firstAttemptShare = 0.97

// TestStopHidesReturningRequests guards against a stopping host whose slot requests no longer show that a caller was refused before.
func TestStopHidesReturningRequests(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	h := New(nil, nil, nil, nil, nil, clock, 64)
	route := catalog.Route{Kind: catalog.KindIdempotent, Objective: 300 * time.Millisecond, Timeout: 5 * time.Second}
	first := &request{route: &route, start: clock.now, deadline: clock.now.Add(5 * time.Second), longestTimeout: 5 * time.Second}
	again := &request{route: &route, start: clock.now, deadline: clock.now.Add(4 * time.Second), longestTimeout: 5 * time.Second}
	returning := func(r *request) bool {
		s := h.slotRequest(r, sendProgress{}, 0)
		return float64(s.Remaining) < firstAttemptShare*float64(s.FirstAttemptTime)
	}
	qt.Assert(t, returning(first), qt.IsFalse)
	qt.Assert(t, returning(again), qt.IsTrue)
	h.durations.recent.Observe(clock.now, shutdown.Ended{Took: time.Millisecond, Complete: true})
	const left = 3 * time.Second
	h.Stop(clock.now.Add(left))
	qt.Check(t, returning(first), qt.IsFalse)
	qt.Check(t, returning(again), qt.IsTrue)
	qt.Check(t, h.slotRequest(again, sendProgress{}, 0).Remaining < left, qt.IsTrue) // it waits only while it still ends in time
}
