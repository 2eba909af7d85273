package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/catalog"
)

// TestSlotRequestRemaining guards against a stream's request that waits for a slot although its caller has given up:
// if a stream doesn't begin, callers leave long before the deadline. Once it has begun, and for other requests, the
// deadline counts.
func TestSlotRequestRemaining(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	h := New(nil, nil, nil, nil, nil, clock, 64)
	for _, tc := range []struct {
		name    string
		route   catalog.Route
		started bool
		want    time.Duration
	}{
		{"plain", catalog.Route{Kind: catalog.KindIdempotent, Objective: 300 * time.Millisecond}, false, 4900 * time.Millisecond},
		{
			"stream",
			catalog.Route{Kind: catalog.KindStream, Objective: 300 * time.Millisecond, MaxEventGap: 300 * time.Millisecond},
			false,
			2300 * time.Millisecond,
		},
		{"stream with a long objective", catalog.Route{Kind: catalog.KindStream, Objective: time.Second}, false, 3900 * time.Millisecond},
		{"stream that has begun", catalog.Route{Kind: catalog.KindStream, Objective: 300 * time.Millisecond}, true, 4900 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.route.Timeout = 5 * time.Second
			start := clock.now.Add(-100 * time.Millisecond)
			req := &request{route: &tc.route, start: start, deadline: start.Add(5 * time.Second), longestTimeout: 5 * time.Second}
			r := h.slotRequest(req, sendProgress{begun: tc.started}, 0)
			qt.Assert(t, r.Remaining, qt.Equals, tc.want)
			qt.Assert(t, r.Objective, qt.Equals, tc.route.Objective-100*time.Millisecond-callerNetworkTime)
			qt.Assert(t, r.Remaining <= r.FirstAttemptTime, qt.IsTrue)
		})
	}
}
