package bulk

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
)

// TestLoadKeepsInputOfOpenItemsOnly guards against an owner that reads the input of items that won't run any more, and exceeds its memory
// again each time it takes a shard over.
func TestLoadKeepsInputOfOpenItemsOnly(t *testing.T) {
	const items, doneItems = 6, 4
	store := memory.New()
	for _, id := range []ids.JobID{"open", "done", "ended"} {
		j := job(items, 10)
		j.ID = id
		for n := range j.Items {
			j.Items[n].Body, j.Items[n].Header = []byte("body"), map[string]string{"x": "y"}
		}
		head, parts := split(*j, itemBytes(j.Items[0])*2)
		qt.Assert(t, parts, qt.HasLen, 2)
		for n, p := range parts {
			_, err := store.Create(t.Context(), kindParts(3), partName(id, n+1), p)
			qt.Assert(t, err, qt.IsNil)
		}
		_, err := store.Create(t.Context(), kindJobs(3), string(id), head)
		qt.Assert(t, err, qt.IsNil)
		var s bulk.Segment
		for n := range doneItems {
			s.Results = append(s.Results, bulk.Result{Item: j.Items[n].ID, State: bulk.Completed})
		}
		switch id {
		case "ended":
			_, err = store.SetStatus(t.Context(), kindJobs(3), string(id), 0, bulk.JobStatus{Ended: true})
			qt.Assert(t, err, qt.IsNil)
			continue
		case "done":
			for n := doneItems; n < items; n++ {
				s.Results = append(s.Results, bulk.Result{Item: j.Items[n].ID, State: bulk.Errored})
			}
		}
		_, err = store.Create(t.Context(), kindResults(3), segmentName(id, 0), s)
		qt.Assert(t, err, qt.IsNil)
	}
	f := newFixture(t, store)
	l, err := f.owner.readShard(t.Context(), 3)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, l.jobs, qt.HasLen, 3)
	for _, j := range l.jobs {
		qt.Assert(t, j.job.Items, qt.HasLen, items)
		for n, i := range j.job.Items {
			comment := qt.Commentf("%s, item %d", j.job.ID, n)
			qt.Check(t, i.Tokens, qt.Equals, int64(10), comment)
			hasInput := j.job.ID == "open" && n >= doneItems
			qt.Check(t, fmt.Sprint(i.Body != nil, i.Header != nil), qt.Equals, fmt.Sprint(hasInput, hasInput), comment)
		}
	}
}
