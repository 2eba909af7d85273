package bulk

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/objects/memory"
)

// TestStoredItemWithUnsafePathIsErrored guards against a request that is smuggled in the path of an item that a former release
// accepted: the item is listed as errored and never sent.
func TestStoredItemWithUnsafePathIsErrored(t *testing.T) {
	store := memory.New()
	stored := job(2, 10)
	stored.Items[1].Path = "/a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b"
	_, err := store.Create(t.Context(), kindJobs(3), "a", stored)
	qt.Assert(t, err, qt.IsNil)
	f := newFixture(t, store)
	f.eventually(func() bool { return len(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Results) == 1 })
	f.Assert(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Results, qt.DeepEquals, []bulk.Result{{Item: "ab", State: bulk.Errored}})
}
