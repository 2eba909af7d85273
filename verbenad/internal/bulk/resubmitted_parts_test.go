package bulk

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
)

// TestResubmittedJobHasNoFormerItems guards against an accepted job that holds items of a submission that was refused: its
// parts are still stored, with other items or split at another size.
func TestResubmittedJobHasNoFormerItems(t *testing.T) {
	resubmitted := func(letter byte) *bulk.Job {
		j := job(9, 1000)
		for n := range j.Items {
			j.Items[n].Body = bytes.Repeat([]byte{letter}, 1000)
		}
		return j
	}
	for name, test := range map[string]struct {
		letter     byte
		valueBytes int
	}{"other items": {'y', 4096}, "other split": {'x', 8192}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, memory.New())
			f.faultFirst(kindJobs(3), memory.Refuse)
			f.Assert(f.submit(resubmitted('x')), qt.Equals, bulk.Unavailable)
			f.owner.SetShards(nil)
			second := newFixtureWithoutShards(t, f.store, unreachableOwner{})
			second.owner.valueBytes = test.valueBytes
			second.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 1})
			want := resubmitted(test.letter)
			second.eventually(func() bool { return second.submit(want) == bulk.Done })
			second.owner.SetShards(nil)
			next := newFixture(t, f.store)
			f.Assert(next.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Total, qt.Equals, len(want.Items))
			for _, i := range want.Items {
				got := next.call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: i.ID})
				f.Assert(got.Code, qt.Equals, bulk.Done, qt.Commentf("%s", i.ID))
				f.Assert(string(got.Body), qt.Equals, string(i.Body))
			}
		})
	}
}

// TestAcceptedJobKeepsItsParts guards against an accepted job whose parts are overwritten by a submission with its id at an owner
// that hasn't loaded it.
func TestAcceptedJobKeepsItsParts(t *testing.T) {
	f := newFixture(t, memory.New())
	f.Assert(newFixture(t, f.store).submit(job(9, 1000)), qt.Equals, bulk.Done)
	other := job(9, 1000)
	for n := range other.Items {
		other.Items[n].Body[0] = 'y'
	}
	f.Assert(f.submit(other), qt.Equals, bulk.Done)
	next := newFixture(t, f.store)
	for _, i := range job(9, 1000).Items {
		f.Assert(next.call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: i.ID}).Body, qt.DeepEquals, i.Body)
	}
}
