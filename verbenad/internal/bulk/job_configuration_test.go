package bulk

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
)

// formerJob is a job as releases wrote and read it that didn't record its configuration.
type formerJob struct {
	ID        ids.JobID       `json:"id" cbor:"1,keyasint"`
	Workspace ids.WorkspaceID `json:"workspace" cbor:"2,keyasint"`
	Route     string          `json:"route" cbor:"3,keyasint"`
	Host      string          `json:"host" cbor:"4,keyasint"`
	Submitted time.Time       `json:"submitted" cbor:"5,keyasint"`
	Due       time.Time       `json:"due" cbor:"6,keyasint"`
	GiveUpAt  time.Time       `json:"give_up" cbor:"7,keyasint"`
	Items     []bulk.Item     `json:"items" cbor:"8,keyasint"`
	Parts     int             `json:"parts,omitempty" cbor:"9,keyasint,omitempty"`
}

// TestJobOfFormerRelease guards against a job of a former release that can't be read, or whose items wait for good: its configuration
// counts as the owner's.
func TestJobOfFormerRelease(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	former := formerJob{
		ID: "a", Workspace: "w", Route: "new", Host: "h", Submitted: now, Due: now, GiveUpAt: now.Add(time.Hour),
		Items: []bulk.Item{{ID: "aa", Path: "/x"}},
	}
	var sent bulk.Job
	convert(c, former, &sent)
	c.Assert(sent.Configuration, qt.Equals, jobUnder(0).Configuration)
	c.Assert(sent.Items, qt.DeepEquals, former.Items)

	store := memory.New()
	_, err := store.Create(t.Context(), kindJobs(3), "a", former)
	c.Assert(err, qt.IsNil)
	f := newFixture(t, store)
	f.eventually(func() bool { return f.errored("a") == 1 })
}

// TestJobAtFormerRelease guards against a job that a former release can't read.
func TestJobAtFormerRelease(t *testing.T) {
	c := qt.New(t)
	j := jobUnder(9)
	var sent, stored formerJob
	convert(c, j, &sent)
	c.Assert(sent.Items, qt.DeepEquals, j.Items)
	b, err := json.Marshal(j)
	c.Assert(err, qt.IsNil)
	c.Assert(json.Unmarshal(b, &stored), qt.IsNil)
	c.Assert(stored.Items, qt.DeepEquals, j.Items)
	c.Assert(stored.GiveUpAt.Equal(j.GiveUpAt), qt.IsTrue)
}
