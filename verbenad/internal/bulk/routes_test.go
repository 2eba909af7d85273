package bulk

import (
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/ids"
)

// settleTime is how long these tests wait for what must not happen.
const settleTime = 3 * checkInterval

// batchRoute returns a batch route to a service.
func batchRoute(name string, service ids.ServiceName, weight int) catalog.Route {
	return catalog.Route{
		Name: name, Kind: catalog.KindBatch, Targets: []catalog.Target{{Service: service, Weight: weight}}, MaxAttempts: 3,
	}
}

func (f *fixture) setRoutes(version catalog.Version, routes ...catalog.Route) {
	f.owner.SetCatalog(catalog.New(version, routes, nil, nil, catalog.Limits{}))
}

// errored returns how many items of a job have ended as errored, visible or not.
func (f *fixture) errored(id ids.JobID) (n int) {
	f.do(func() {
		r, ok := f.owner.ledger.Job(id, "w")
		f.Assert(ok, qt.IsTrue)
		for _, results := range [][]bulk.Result{r.Results, r.Pending} {
			for _, rs := range results {
				if rs.State == bulk.Errored {
					n++
				}
			}
		}
	})
	return n
}

func (f *fixture) checkNoneErrored(id ids.JobID) {
	f.Helper()
	time.Sleep(settleTime)
	f.Assert(f.errored(id), qt.Equals, 0)
}
