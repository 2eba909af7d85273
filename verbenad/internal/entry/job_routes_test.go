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

// keyProtocol takes the Authorization header for the key.
type keyProtocol struct{ plainProtocol }

func (keyProtocol) ParseRequest(h http.Header) exchange.RequestInfo {
	return exchange.RequestInfo{Key: h.Get("Authorization"), ID: "r"}
}

// lotsProtocol takes each request for a call on the job that its path names, except submissions.
type lotsProtocol struct {
	submissions
	op bulk.Op
}

func (p lotsProtocol) ParseJobCall(r *http.Request) (call bulk.Call, ok bool) {
	return bulk.Call{Op: p.op, Job: ids.JobID(r.URL.Path[len("/jobs/"):])}, true
}

// storedJobs answers calls by the jobs of each workspace.
type storedJobs map[ids.WorkspaceID]ids.JobID

func (s storedJobs) Call(_ context.Context, call bulk.Call) bulk.Reply {
	if job, ok := s[call.Workspace]; ok && job == call.Job {
		return bulk.Reply{Code: bulk.Done}
	}
	return bulk.Reply{Code: bulk.NotFound}
}

// jobRoute returns a batch route.
func jobRoute(host string, public bool) catalog.Route {
	return catalog.Route{
		Name: "batch", Host: host, Prefix: "/batch/", Kind: catalog.KindBatch, Public: public, Targets: []catalog.Target{{Service: "llm", Weight: 1}},
	}
}

// plainRoute returns a route without a service, so that requests for it are answered with 503.
func plainRoute(prefix string) catalog.Route {
	return catalog.Route{Name: "plain", Host: "h", Prefix: prefix, Kind: catalog.KindIdempotent}
}

// TestJobsOutliveTheirRoutes holds changes of a configuration against calls on jobs: a job's id and its workspace's key decide who may
// read and end it, in every version after the one that accepted it.
func TestJobsOutliveTheirRoutes(t *testing.T) {
	keys := []catalog.Workspace{{ID: "w", Keys: []string{"key-w"}}, {ID: "v", Keys: []string{"key-v"}}}
	withoutKey := []catalog.Workspace{{ID: "w"}, {ID: "v", Keys: []string{"key-v"}}}
	owners := storedJobs{"w": "job-w", "": "job-public"}
	for _, tc := range []struct {
		name       string
		routes     []catalog.Route
		workspaces []catalog.Workspace
		// statuses of the job of w for its key, that of v and none, of the public one for a key and none, and of one that doesn't exist.
		own, others, noKey, publicKey, publicNoKey, missing int
	}{
		{"as accepted", []catalog.Route{jobRoute("h", false)}, keys, 200, 404, 401, 200, 200, 404},
		{"public route", []catalog.Route{jobRoute("h", true)}, keys, 200, 404, 401, 200, 200, 404},
		{"route removed", nil, keys, 200, 404, 401, 200, 200, 404},
		{"route of another host name", []catalog.Route{jobRoute("other", false)}, keys, 200, 404, 401, 200, 200, 404},
		{"other routes only", []catalog.Route{plainRoute("/p/")}, keys, 200, 404, 401, 200, 200, 404},
		{"a route for all paths", []catalog.Route{plainRoute("/")}, keys, 200, 503, 401, 200, 200, 503},
		{"a route for these paths", []catalog.Route{plainRoute("/jobs/")}, keys, 503, 503, 401, 503, 401, 503},
		{"key withdrawn", []catalog.Route{jobRoute("h", false)}, withoutKey, 401, 404, 401, 401, 200, 401},
		{"no keys", []catalog.Route{jobRoute("h", false)}, nil, 404, 404, 404, 200, 200, 404},
	} {
		for _, op := range []bulk.Op{bulk.ReadResults, bulk.ReadBody, bulk.EndJob} {
			for _, host := range []string{"h", "h:8080"} {
				t.Run(tc.name+"/"+op.String()+"/"+host, func(t *testing.T) {
					h := New(keyProtocol{}, lotsProtocol{op: op}, owners, nil, nil, clock.System{}, 64)
					h.SetCatalog(catalog.New(1, tc.routes, nil, tc.workspaces, catalog.Limits{}))
					call := func(job, key string) int {
						r := httptest.NewRequest(http.MethodGet, "/jobs/"+job, http.NoBody)
						r.Host = host
						r.Header.Set("Authorization", key)
						w := httptest.NewRecorder()
						h.ServeHTTP(w, r)
						return w.Code
					}
					qt.Check(t, call("job-w", "key-w"), qt.Equals, tc.own)
					qt.Check(t, call("job-w", "key-v"), qt.Equals, tc.others)
					qt.Check(t, call("job-w", ""), qt.Equals, tc.noKey)
					qt.Check(t, call("job-public", "key-w"), qt.Equals, tc.publicKey)
					qt.Check(t, call("job-public", ""), qt.Equals, tc.publicNoKey)
					qt.Check(t, call("none", "key-w"), qt.Equals, tc.missing)
				})
			}
		}
	}
}

// TestUnknownKeysAskNoOwner guards against calls between hosts for callers who can't have a job.
func TestUnknownKeysAskNoOwner(t *testing.T) {
	owners := &countingOwners{}
	h := New(keyProtocol{}, lotsProtocol{op: bulk.ReadResults}, owners, nil, nil, clock.System{}, 64)
	h.SetCatalog(catalog.New(1, []catalog.Route{jobRoute("h", false)}, nil, []catalog.Workspace{{ID: "w", Keys: []string{"key-w"}}}, catalog.Limits{}))
	r := httptest.NewRequest(http.MethodGet, "/jobs/a", http.NoBody)
	r.Host = "h"
	r.Header.Set("Authorization", "key-of-nobody")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	qt.Assert(t, w.Code, qt.Equals, http.StatusUnauthorized)
	qt.Assert(t, owners.calls, qt.Equals, 0)
}
