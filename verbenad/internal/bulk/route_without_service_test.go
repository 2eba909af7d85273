package bulk

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
)

// routesWithoutService are the forms of a route that leads nowhere.
var routesWithoutService = map[string]catalog.Route{
	"weights of 0": batchRoute("r", "llm", 0),
	"no target":    {Name: "r", Kind: catalog.KindBatch, MaxAttempts: 3},
}

// TestRouteWithoutServiceEndsItems guards against items that are errored because their route leads to no service for a moment, before
// they wait for a slot or while they do.
func TestRouteWithoutServiceEndsItems(t *testing.T) {
	for name, route := range routesWithoutService {
		t.Run(name, func(t *testing.T) {
			f, s := newScriptedFixture(t, false)
			f.Assert(f.submit(jobOn("r", "a", 3)), qt.Equals, bulk.Done)
			s.awaitRequests(f, "llm", 3)
			f.setRoutes(2, route)
			f.checkNoneErrored("a")
			f.Assert(f.submit(jobOn("r", "b", 3)), qt.Equals, bulk.Done)
			f.checkNoneErrored("b")
			f.Assert(s.requests, qt.HasLen, 0)
			f.setRoutes(3, batchRoute("r", "llm", 1))
			s.awaitRequests(f, "llm", 6)
		})
	}
}

// TestItemsWithoutServicePoll guards against items that ask again and again while their route leads to no service.
func TestItemsWithoutServicePoll(t *testing.T) {
	f, _ := newScriptedFixture(t, false)
	f.setRoutes(2, batchRoute("r", "llm", 0))
	f.Assert(f.submit(jobOn("r", "a", 3)), qt.Equals, bulk.Done)
	waits := func() (list []*slotWait) {
		f.do(func() {
			for _, run := range f.owner.runs {
				if run.wait != nil {
					list = append(list, run.wait)
				}
			}
		})
		return list
	}
	f.eventually(func() bool { return len(waits()) == 3 })
	before := make(map[*slotWait]bool)
	for _, w := range waits() {
		before[w] = true
	}
	time.Sleep(settleTime)
	for _, w := range waits() {
		f.Check(before[w], qt.IsTrue)
	}
}

// TestItemsWithoutServiceKeepRuns guards against items that wait for a service after they have been given up or their job was ended.
func TestItemsWithoutServiceKeepRuns(t *testing.T) {
	f, _ := newScriptedFixture(t, false)
	f.setRoutes(2, batchRoute("r", "llm", 0))
	expiring := jobOn("r", "a", 3)
	expiring.GiveUpAt = time.Now().Add(settleTime)
	f.Assert(f.submit(expiring), qt.Equals, bulk.Done)
	f.Assert(f.submit(jobOn("r", "b", 3)), qt.Equals, bulk.Done)
	f.eventually(func() bool { return f.errored("a") == 3 })
	f.Assert(f.errored("b"), qt.Equals, 0)
	f.Assert(f.call(bulk.Call{Op: bulk.EndJob, Job: "b"}).Code, qt.Equals, bulk.Done)
	f.eventually(func() bool {
		running := 0
		f.do(func() { running = f.owner.running })
		return running == 0
	})
}

// TestItemsWithoutServiceBlockAnotherRoute guards against items that wait for a service and keep those of another route from being
// started.
func TestItemsWithoutServiceBlockAnotherRoute(t *testing.T) {
	f, s := newScriptedFixture(t, false)
	f.setRoutes(2, batchRoute("r", "llm", 0), batchRoute("s", "other", 1))
	f.Assert(f.submit(jobOn("r", "a", maxRunning+10)), qt.Equals, bulk.Done)
	f.eventually(func() bool {
		running := 0
		f.do(func() { running = f.owner.running })
		return running == maxRunning
	})
	f.Assert(f.submit(jobOn("s", "b", 4)), qt.Equals, bulk.Done)
	s.awaitRequests(f, "other", 4)
}
