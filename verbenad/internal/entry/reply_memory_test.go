package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/ids"
)

const replyTestMemoryMB = 64

// pagingOwners answer reads with one result that fills the page, and other calls with Done.
type pagingOwners struct{}

func (pagingOwners) Call(_ context.Context, call bulk.Call) bulk.Reply {
	if call.Op != bulk.ReadResults {
		return bulk.Reply{Code: bulk.Done}
	}
	return bulk.Reply{Code: bulk.Done, Total: 1, Results: []bulk.Result{{Item: "i", State: bulk.Completed, Output: strings.Repeat("o", call.MaxBytes)}}}
}

// slowReader is the protocol of callers who don't read their replies before the test lets them.
type slowReader struct {
	submissions
	writing chan bulk.Reply
	read    chan struct{}
}

func (slowReader) ParseJobCall(r *http.Request) (call bulk.Call, ok bool) {
	return bulk.Call{Op: bulk.ReadResults, Job: "j"}, r.Method == http.MethodGet
}

func (s slowReader) WriteJobReply(w http.ResponseWriter, _ ids.RequestID, call bulk.Call, reply bulk.Reply) {
	if call.Op == bulk.ReadResults {
		s.writing <- reply
		<-s.read
	}
	w.WriteHeader(http.StatusOK)
}

// TestSlowReadersHoldBoundedMemory guards against callers who read the results of a job slowly, until what is kept for them exceeds the
// host's memory. Each gets a page, smaller ones while there are many, and a submission that has taken effect is never refused for it.
func TestSlowReadersHoldBoundedMemory(t *testing.T) {
	const readers = 500
	budget := int64(replyTestMemoryMB) << 20 / replyMemoryDivisor
	p := slowReader{writing: make(chan bulk.Reply, readers), read: make(chan struct{})}
	h := New(identifiedProtocol{}, p, pagingOwners{}, nil, nil, clock.System{}, replyTestMemoryMB)
	h.SetCatalog(catalog.New(1, []catalog.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: catalog.KindBatch, Targets: []catalog.Target{{Service: "llm", Weight: 1}},
	}}, nil, nil, catalog.Limits{BodyBytes: 1 << 10}))
	call := func(method string) int {
		r, w := httptest.NewRequest(method, "/", http.NoBody), httptest.NewRecorder()
		r.Host = "h"
		h.ServeHTTP(w, r)
		return w.Code
	}
	statuses := make(chan int, readers)
	var all sync.WaitGroup
	for range readers {
		all.Go(func() { statuses <- call(http.MethodGet) })
	}
	held, pages, refused := int64(0), 0, 0
	for pages+refused < readers {
		select {
		case reply := <-p.writing:
			pages++
			held += replyBytes(reply)
		case status := <-statuses:
			refused++
			qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		}
	}
	qt.Assert(t, held <= budget, qt.IsTrue, qt.Commentf("%d pages of %d bytes together", pages, held))
	qt.Assert(t, int64(pages) >= budget/replyCopies/maxPageBytes, qt.IsTrue, qt.Commentf("%d pages", pages))
	qt.Assert(t, call(http.MethodPost), qt.Equals, http.StatusOK)
	close(p.read)
	all.Wait()
	qt.Assert(t, call(http.MethodGet), qt.Equals, http.StatusOK)
	qt.Assert(t, h.replies.budget.available.Load(), qt.Equals, budget)
	qt.Assert(t, h.replies.readers.Load(), qt.Equals, int64(0))
}
