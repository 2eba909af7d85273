package bulk

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/ids"
)

// jobUnder returns a job on the route "new" that was accepted under a configuration.
func jobUnder(version catalog.Version) *bulk.Job {
	j := jobOn("new", "a", 3)
	j.Configuration = version
	return j
}

// TestOlderConfigurationEndsItems guards against items that are errored because their owner's configuration is older than the one
// under which their job was accepted.
func TestOlderConfigurationEndsItems(t *testing.T) {
	f, s := newScriptedFixture(t, false)
	f.setRoutes(5, batchRoute("r", "llm", 1))
	f.Assert(f.submit(jobUnder(9)), qt.Equals, bulk.Done)
	f.checkNoneErrored("a")
	f.setRoutes(7, batchRoute("r", "llm", 1))
	f.checkNoneErrored("a")
	f.setRoutes(9, batchRoute("r", "llm", 1), batchRoute("new", "llm-new", 1))
	s.awaitRequests(f, "llm-new", 3)
}

// TestTakeoverWithOlderConfigurationEndsItems guards against the same at an owner that has loaded the job from the store.
func TestTakeoverWithOlderConfigurationEndsItems(t *testing.T) {
	former, _ := newScriptedFixture(t, false)
	former.setRoutes(9, batchRoute("new", "llm-new", 1))
	former.Assert(former.submit(jobUnder(9)), qt.Equals, bulk.Done)
	f, s := newScriptedFixture(t, false)
	f.do(func() { f.owner.store = former.store })
	f.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 2})
	f.eventually(func() bool { return f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code == bulk.Done })
	time.Sleep(progressWait)
	f.checkNoneErrored("a")
	f.setRoutes(9, batchRoute("new", "llm-new", 1))
	s.awaitRequests(f, "llm-new", 3)
}

// TestRouteThatReturnsEndsItems guards against items that are errored because their owner still sees the version that removed a route,
// while their job was accepted under the one that brought it back.
func TestRouteThatReturnsEndsItems(t *testing.T) {
	f, s := newScriptedFixture(t, false)
	f.setRoutes(5, batchRoute("new", "former", 1))
	f.setRoutes(7, batchRoute("r", "llm", 1))
	f.Assert(f.submit(jobUnder(9)), qt.Equals, bulk.Done)
	f.checkNoneErrored("a")
	f.setRoutes(9, batchRoute("new", "llm-new", 1))
	s.awaitRequests(f, "llm-new", 3)
}

// TestRouteGoneEndsItems checks that items end once a configuration that is as new as their job's, or newer, lacks their route.
func TestRouteGoneEndsItems(t *testing.T) {
	for _, version := range []catalog.Version{9, 12} {
		f, s := newScriptedFixture(t, false)
		f.setRoutes(5, batchRoute("new", "llm-new", 1))
		f.Assert(f.submit(jobUnder(9)), qt.Equals, bulk.Done)
		s.awaitRequests(f, "llm-new", 3)
		f.setRoutes(version, batchRoute("r", "llm", 1))
		f.eventually(func() bool { return f.errored("a") == 3 })
	}
}
