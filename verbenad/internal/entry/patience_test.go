package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/catalog"
)

// TestPatienceOfStreams: a caller leaves a stream that doesn't begin long before its deadline, so a request must not
// wait for a slot for longer. Once the stream has begun, and for other requests, the deadline holds.
func TestPatienceOfStreams(t *testing.T) {
	m := &manual{now: time.Unix(1000, 0)}
	h := New(nil, nil, nil, nil, nil, m, 64)
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
			start := m.now.Add(-100 * time.Millisecond)
			q := &request{route: &tc.route, start: start, deadline: start.Add(5 * time.Second), whole: 5 * time.Second}
			a := h.ask(q, &journey{started: tc.started}, 0)
			qt.Assert(t, a.Remaining, qt.Equals, tc.want)
			qt.Assert(t, a.Objective, qt.Equals, tc.route.Objective-100*time.Millisecond-callerTravel)
			qt.Assert(t, a.Remaining <= a.RouteTimeout, qt.IsTrue)
		})
	}
}
