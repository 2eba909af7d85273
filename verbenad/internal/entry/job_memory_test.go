package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/ids"
)

// largeSubmissions needs a number of bytes to parse a submission.
type largeSubmissions struct {
	submissions
	bytes int64
}

func (s largeSubmissions) ParseJob(id ids.RequestID, _ []byte, reserve func(int64) bool) (*bulk.Job, error) {
	if !reserve(s.bytes) {
		return nil, bulk.ErrNoMemory
	}
	return &bulk.Job{ID: ids.JobID(id)}, nil
}

// TestSubmissionReservesMemory guards against submissions that take more memory than the host has left once they are parsed. What one
// has taken must be there for the next one.
func TestSubmissionReservesMemory(t *testing.T) {
	const memoryMB = 64
	budget := int64(memoryMB) << 20 / memoryBudgetDivisor
	for _, tc := range []struct {
		name     string
		bytes    int64
		accepted int
	}{{"within the budget", budget, 3}, {"beyond it", budget + 1, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			owners := &keptJobs{}
			h := New(identifiedProtocol{}, largeSubmissions{bytes: tc.bytes}, owners, nil, nil, clock.System{}, memoryMB)
			h.SetCatalog(catalog.New(1, []catalog.Route{{
				Name: "r", Host: "h", Prefix: "/", Kind: catalog.KindBatch, Targets: []catalog.Target{{Service: "llm", Weight: 1}},
			}}, nil, nil, catalog.Limits{BodyBytes: 1 << 10}))
			for range 3 {
				r := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
				r.Host = "h"
				h.ServeHTTP(httptest.NewRecorder(), r)
			}
			qt.Assert(t, owners.jobs, qt.HasLen, tc.accepted)
			qt.Assert(t, h.memory.available.Load(), qt.Equals, budget)
		})
	}
}
