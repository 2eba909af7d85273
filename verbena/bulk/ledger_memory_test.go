package bulk

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

// heapBytes returns what is in use on the heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) //nolint:gosec // far from the limit
}

// TestDoneItemsHoldNoInput guards against an owner whose memory fills with the input of items that won't run any more, until their jobs
// expire.
func TestDoneItemsHoldNoInput(t *testing.T) {
	const (
		jobs, itemsPerJob = 20, 10
		bodyBytes         = 100 << 10
		// keptBytes is what a job may hold of its items apart from their input.
		keptBytes = itemsPerJob * 1 << 10
	)
	for name, finish := range map[string]func(l *Ledger, r *Record){
		"all results are visible": func(l *Ledger, r *Record) {
			var s Segment
			for _, i := range r.Job.Items {
				s.Results = append(s.Results, Result{Item: i.ID, State: Completed})
			}
			l.Commit(r, s)
		},
		"the job is ended": func(l *Ledger, r *Record) { l.EndJob(r) },
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			before := heapBytes()
			for n := range jobs {
				j := Job{ID: ids.JobID(fmt.Sprint(n)), Workspace: "w", Route: "r"}
				for i := range itemsPerJob {
					j.Items = append(j.Items, Item{
						ID: ItemID(fmt.Sprint(i)), Body: make([]byte, bodyBytes), Header: map[string]string{"x": fmt.Sprintf("%0*d", bodyBytes, i)},
					})
				}
				finish(l, l.Add(j, 1, false))
			}
			taken := heapBytes() - before
			qt.Assert(t, taken < jobs*keptBytes, qt.IsTrue, qt.Commentf("%d bytes", taken))
			runtime.KeepAlive(l)
		})
	}
}
