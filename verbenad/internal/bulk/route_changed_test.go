package bulk

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/ids"
)

// TestRouteOfAnotherKindRunsItems guards against items that are sent to the service of a route that has the name of their batch route
// and another kind, where they may run once only.
func TestRouteOfAnotherKindRunsItems(t *testing.T) {
	f, s := newScriptedFixture(t, false)
	f.Assert(f.submit(job(3, 10)), qt.Equals, bulk.Done)
	s.awaitRequests(f, "llm", 3)
	changed := batchRoute("r", "other", 1)
	changed.Kind = catalog.KindNonIdempotent
	f.setRoutes(2, changed)
	f.checkNoneErrored("a")
	f.Assert(s.requests, qt.HasLen, 0)
	f.setRoutes(3, batchRoute("r", "llm", 1))
	s.awaitRequests(f, "llm", 3)
}

// TestRouteOnAnotherHostNameEndsItems guards against items that are errored because their route has moved to another host name or path.
func TestRouteOnAnotherHostNameEndsItems(t *testing.T) {
	f, s := newScriptedFixture(t, false)
	f.Assert(f.submit(job(3, 10)), qt.Equals, bulk.Done)
	s.awaitRequests(f, "llm", 3)
	moved := batchRoute("r", "other", 1)
	moved.Host, moved.Prefix = "h2", "/moved/"
	f.setRoutes(2, moved)
	s.awaitRequests(f, "other", 3)
	f.Assert(f.errored("a"), qt.Equals, 0)
}

// TestStormEndsItems guards against items that are errored in a storm of configurations that move, empty and restore their route, while a
// job comes under each of them.
func TestStormEndsItems(t *testing.T) {
	const versions = 30
	f, s := newScriptedFixture(t, false)
	for v := catalog.Version(2); v < versions; v++ {
		f.setRoutes(v, batchRoute("r", ids.ServiceName([]string{"llm", "other", "third"}[v%3]), int(v%2)))
		j := jobOn("r", ids.JobID(rune('a'+v)), 2)
		j.Configuration = v + v%4
		f.Assert(f.submit(j), qt.Equals, bulk.Done)
	}
	f.setRoutes(versions+4, batchRoute("r", "last", 1))
	s.awaitRequests(f, "last", 2*(versions-2))
	for v := catalog.Version(2); v < versions; v++ {
		f.Check(f.errored(ids.JobID(rune('a'+v))), qt.Equals, 0)
	}
}
