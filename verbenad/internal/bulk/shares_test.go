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

// TestWaitingItemsBlockAnotherRoute guards against items that wait for a service without servers, and keep those of another route
// from being started until they are given up.
func TestWaitingItemsBlockAnotherRoute(t *testing.T) {
	f, s := newScriptedFixture(t, false)
	routes := make([]catalog.Route, 0, 2)
	for _, name := range []string{"r", "s"} {
		target := catalog.Target{Service: ids.ServiceName("service-" + name), Weight: 1}
		routes = append(routes, catalog.Route{Name: name, Kind: catalog.KindBatch, Targets: []catalog.Target{target}, MaxAttempts: 3})
	}
	f.owner.SetCatalog(catalog.New(2, routes, nil, nil, catalog.Limits{}))
	f.Assert(f.submit(jobOn("r", "a", maxRunning+10)), qt.Equals, bulk.Done)
	for range maxRunning {
		f.Assert((<-s.requests).Service, qt.Equals, ids.ServiceName("service-r"))
	}
	f.Assert(f.submit(jobOn("s", "b", 4)), qt.Equals, bulk.Done)
	for started, end := 0, time.After(testTimeout); started < 4; {
		select {
		case r := <-s.requests:
			if r.Service == "service-s" {
				started++
			}
		case <-end:
			f.Fatalf("%d of 4 items of the other route have been started", started)
		}
	}
}
