package bulk

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenad/internal/upstream"
)

// TestOutputsAreListedAsUTF8 guards against results that hosts of former releases can't read: an item's server may write bytes
// that are no UTF-8.
func TestOutputsAreListedAsUTF8(t *testing.T) {
	f, s := newScriptedFixture(t, false)
	f.Assert(f.submit(job(1, 10)), qt.Equals, bulk.Done)
	<-s.requests
	s.grants <- newVersionServer(t, "a", "llm", "\xff").slot()
	f.listsOutput(1, wholeOutput("\ufffd"))
}

// TestOutputsOfFormerOwnersAreListedAsUTF8 guards against the same for results that a host of a former release hands over.
func TestOutputsOfFormerOwnersAreListedAsUTF8(t *testing.T) {
	f := newFixture(t, memory.New())
	f.Assert(f.submit(job(1, 10)), qt.Equals, bulk.Done)
	f.call(bulk.Call{Op: bulk.HandOverProgress, Job: "a", Progress: &bulk.Progress{Results: []bulk.Result{
		{Item: "aa", State: bulk.Completed, Output: "a\xff\xc3"},
	}}})
	f.listsOutput(1, "a\ufffd\ufffd")
}

// TestUnreadableEventIDIsNotHandedOver guards against a report that hosts of former releases can't read: the id of a server's
// event may be no UTF-8. The item begins again at the new owner.
func TestUnreadableEventIDIsNotHandedOver(t *testing.T) {
	for id, reports := range map[string]int{"\xff": 0, "ž": 1} {
		i := newItemRun(t)
		qt.Assert(t, i.appendEvent(upstream.Event{ID: id, Data: []byte("one")}), qt.IsTrue)
		i.owner.reportRun(i, bulk.Result{}, false)
		qt.Assert(t, i.owner.reports, qt.HasLen, reports, qt.Commentf("%q", id))
	}
}

// TestResultWithUnreadableEventIDIsHandedOver checks that a result is reported whatever the ids of its events are.
func TestResultWithUnreadableEventIDIsHandedOver(t *testing.T) {
	i := newItemRun(t)
	qt.Assert(t, i.appendEvent(upstream.Event{ID: "\xff", Data: []byte("one")}), qt.IsTrue)
	i.owner.reportRun(i, bulk.Result{Item: i.item.ID, State: bulk.Completed, Output: "one"}, true)
	qt.Assert(t, i.owner.reports, qt.HasLen, 1)
}

// TestJobIDWithoutUTF8IsNotStored guards against a job that a host of a former release passes on and that is accepted, but
// stored under another id.
func TestJobIDWithoutUTF8IsNotStored(t *testing.T) {
	f := newFixture(t, memory.New())
	j := job(1, 10)
	j.ID = "\xff"
	f.Assert(f.submit(j), qt.Equals, bulk.Unavailable)
	f.Assert(f.call(bulk.Call{Op: bulk.ReadResults, Job: j.ID}).Code, qt.Equals, bulk.NotFound)
	j.ID = "ž"
	f.Assert(f.submit(j), qt.Equals, bulk.Done)
}
