package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
)

// identifiedProtocol gives each request the same id.
type identifiedProtocol struct{ plainProtocol }

func (identifiedProtocol) ParseRequest(http.Header) exchange.RequestInfo {
	return exchange.RequestInfo{ID: "a"}
}

// submissions takes every request for a submission.
type submissions struct{ oneCall }

func (submissions) ParseJobCall(*http.Request) (call bulk.Call, ok bool) { return call, false }

func (submissions) ParseJob(id ids.RequestID, _ []byte, _ func(int64) bool) (*bulk.Job, error) {
	return &bulk.Job{ID: ids.JobID(id)}, nil
}

// keptJobs keeps the jobs that would be sent to owners.
type keptJobs struct{ jobs []bulk.Job }

func (k *keptJobs) Call(_ context.Context, call bulk.Call) bulk.Reply {
	k.jobs = append(k.jobs, *call.New)
	return bulk.Reply{Code: bulk.Done}
}

// submitUnder submits a job under a configuration with one batch route and returns it as its owner gets it.
func submitUnder(c *qt.C, version catalog.Version, route catalog.Route) bulk.Job {
	c.Helper()
	owners := &keptJobs{}
	h := New(identifiedProtocol{}, submissions{}, owners, nil, nil, clock.System{}, 1<<20)
	route.Name, route.Host, route.Prefix, route.Kind = "r", "h", "/", catalog.KindBatch
	route.Targets = []catalog.Target{{Service: "llm", Weight: 1}}
	h.SetCatalog(catalog.New(version, []catalog.Route{route}, nil, nil, catalog.Limits{BodyBytes: 1 << 10}))
	r := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
	r.Host = "h"
	h.ServeHTTP(httptest.NewRecorder(), r)
	c.Assert(owners.jobs, qt.HasLen, 1)
	return owners.jobs[0]
}

// TestJobNamesItsConfiguration guards against an owner with an older configuration that can't tell a new route from one that is gone.
func TestJobNamesItsConfiguration(t *testing.T) {
	c := qt.New(t)
	j := submitUnder(c, 9, catalog.Route{MaxAttempts: 4})
	c.Assert(j.Configuration, qt.Equals, catalog.Version(9))
	c.Assert(j.MaxAttempts, qt.Equals, 4)
}
