package bulk

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/ids"
)

// jobOn returns a job with items on a route.
func jobOn(route string, id ids.JobID, items int) *bulk.Job {
	j := job(0, 0)
	j.ID, j.Route = id, route
	for n := range items {
		j.Items = append(j.Items, bulk.Item{ID: bulk.ItemID(fmt.Sprintf("%s%04d", id, n)), Path: "/x", Tokens: 1})
	}
	return j
}

// routesTo returns a configuration with a batch route of each name, each to a service of its own.
func routesTo(names ...string) *catalog.Catalog {
	routes := make([]catalog.Route, 0, len(names))
	for _, name := range names {
		target := catalog.Target{Service: ids.ServiceName("service-" + name), Weight: 1}
		routes = append(routes, catalog.Route{Name: name, Kind: catalog.KindBatch, Targets: []catalog.Target{target}, MaxAttempts: 3})
	}
	return catalog.New(2, routes, nil, nil, catalog.Limits{})
}

// awaitRequests waits until slots of a service have been asked for n times.
func (s *scriptedSlots) awaitRequests(f *fixture, service ids.ServiceName, n int) {
	f.Helper()
	for got, end := 0, time.After(testTimeout); got < n; {
		select {
		case r := <-s.requests:
			if r.Service == service {
				got++
			}
		case <-end:
			f.Fatalf("%d of %d slots of %s have been asked for", got, n, service)
		}
	}
}

// do runs a function in the goroutine of the owner.
func (f *fixture) do(action func()) {
	done := make(chan struct{})
	f.owner.post(func() {
		action()
		close(done)
	})
	<-done
}

// TestWaitingItemsBlockAnotherRoute guards against items that wait for a service without servers, and keep those of another route
// from being started until they are given up.
func TestWaitingItemsBlockAnotherRoute(t *testing.T) {
	f, s := newScriptedFixture(t, false)
	f.owner.SetCatalog(routesTo("r", "s"))
	f.Assert(f.submit(jobOn("r", "a", maxRunning+10)), qt.Equals, bulk.Done)
	s.awaitRequests(f, "service-r", maxRunning)
	f.Assert(f.submit(jobOn("s", "b", 4)), qt.Equals, bulk.Done)
	s.awaitRequests(f, "service-s", 4)
}

// TestBegunItemsMakeRoom guards against items that give way although they have a part of their output, or although others of
// their service are due later.
func TestBegunItemsMakeRoom(t *testing.T) {
	const begun, later, other = 250, 100, 4
	f, s := newScriptedFixture(t, false)
	f.owner.SetCatalog(routesTo("a", "b", "c"))
	f.Assert(f.submit(jobOn("a", "a", begun)), qt.Equals, bulk.Done)
	s.awaitRequests(f, "service-a", begun)
	f.Assert(f.submit(jobOn("b", "b", maxRunning-begun-later)), qt.Equals, bulk.Done)
	lastDue := jobOn("b", "l", later)
	lastDue.Due = lastDue.Due.Add(time.Hour)
	f.Assert(f.submit(lastDue), qt.Equals, bulk.Done)
	s.awaitRequests(f, "service-b", maxRunning-begun)
	first := make(map[runKey]*itemRun)
	f.do(func() {
		for key, run := range f.owner.runs {
			first[key] = run
			run.wait.begun = key.job == "a"
		}
	})
	f.Assert(f.submit(jobOn("c", "c", other)), qt.Equals, bulk.Done)
	s.awaitRequests(f, "service-c", other)
	f.do(func() {
		for key, run := range first {
			if f.owner.runs[key] != run {
				f.Check(key.job, qt.Equals, ids.JobID("l"))
			}
		}
	})
}
