package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
)

// plainProtocol answers refusals by their status only.
type plainProtocol struct{ exchange.Protocol }

func (plainProtocol) ParseRequest(http.Header) exchange.RequestInfo { return exchange.RequestInfo{} }

func (plainProtocol) WriteRefusal(w http.ResponseWriter, status int, _ ids.RequestID, _ time.Duration, _ string) {
	w.WriteHeader(status)
}

// oneCall takes every request for the same call on a job.
type oneCall struct {
	JobProtocol
	call bulk.Call
}

func (p oneCall) ParseJobCall(*http.Request) (call bulk.Call, ok bool) { return p.call, true }

func (oneCall) WriteJobReply(w http.ResponseWriter, _ ids.RequestID, _ bulk.Call, _ bulk.Reply) {
	w.WriteHeader(http.StatusOK)
}

// countingOwners counts the calls that would be sent to owners.
type countingOwners struct{ calls int }

func (o *countingOwners) Call(context.Context, bulk.Call) bulk.Reply {
	o.calls++
	return bulk.Reply{Code: bulk.Done}
}

// TestCallsOnIDsWithoutUTF8StayHere guards against frames that hosts of former releases can't read: a caller's id that is no
// UTF-8 names no job and no item, and isn't sent to an owner.
func TestCallsOnIDsWithoutUTF8StayHere(t *testing.T) {
	c := qt.New(t)
	for _, tc := range []struct {
		call   bulk.Call
		status int
	}{
		{bulk.Call{Op: bulk.ReadResults, Job: "\xff"}, http.StatusNotFound},
		{bulk.Call{Op: bulk.EndJob, Job: "a\xc3"}, http.StatusNotFound},
		{bulk.Call{Op: bulk.ReadBody, Job: "a", Item: "\xff"}, http.StatusNotFound},
		{bulk.Call{Op: bulk.ReadBody, Job: "ž", Item: "ž"}, http.StatusOK},
	} {
		owners := &countingOwners{}
		h := New(plainProtocol{}, oneCall{call: tc.call}, owners, nil, nil, clock.System{}, 64)
		h.SetCatalog(catalog.New(1, []catalog.Route{{Name: "r", Host: "h", Kind: catalog.KindBatch}}, nil, nil, catalog.Limits{}))
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Host = "h"
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		c.Check(w.Code, qt.Equals, tc.status, qt.Commentf("%q", tc.call.Job))
		c.Check(owners.calls == 0, qt.Equals, tc.status == http.StatusNotFound, qt.Commentf("%q", tc.call.Job))
	}
}
