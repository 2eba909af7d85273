package bulk

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/objects/memory"
)

// TestJobOfMarkupIsSplit guards against a job that can't be stored: paths and headers count by their encoded size, too.
func TestJobOfMarkupIsSplit(t *testing.T) {
	store := memory.New()
	store.SetValueLimit(4096)
	f := newFixture(t, store)
	j := job(9, 100)
	for n := range j.Items {
		j.Items[n].Path = "/x?" + strings.Repeat("&", 100)
		j.Items[n].Header = map[string]string{"X-Note": strings.Repeat("<", 100)}
	}
	f.Assert(f.submit(j), qt.Equals, bulk.Done)
	next := newFixture(t, store)
	f.Assert(next.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Total, qt.Equals, 9)
}

// TestJobBeyondTheStoreIsRefused guards against a submission that is answered only after its timeout, and again at each
// repetition: an item that can't be stored is refused at once, and nothing of its job is kept.
func TestJobBeyondTheStoreIsRefused(t *testing.T) {
	store := memory.New()
	store.SetValueLimit(4096)
	f := newFixture(t, store)
	for _, j := range []*bulk.Job{job(1, 3000), job(3, 4000)} {
		f.Assert(f.submit(j), qt.Equals, bulk.TooLarge)
	}
	store.SetValueLimit(1000) // less than the settings say
	f.Assert(f.submit(job(1, 1000)), qt.Equals, bulk.TooLarge)
	store.SetValueLimit(4096)
	f.Assert(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.NotFound)
	f.Assert(f.submit(job(1, 10)), qt.Equals, bulk.Done)
}

// TestItemBytesBoundsTheEncoding: the size by which jobs are split is never less than that of the encoded item.
func TestItemBytesBoundsTheEncoding(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"", "plain", "<&>", "\x01\n\"", "a\xc5"} {
		i := bulk.Item{ID: bulk.ItemID(text), Path: text, Header: map[string]string{text: text, "B": text}, Body: []byte(text), Tokens: 1 << 40}
		raw, err := json.Marshal(i)
		c.Assert(err, qt.IsNil)
		c.Assert(itemBytes(i) >= len(raw), qt.IsTrue, qt.Commentf("%s", raw))
	}
}
