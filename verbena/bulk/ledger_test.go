package bulk

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenaledge.example/verbena/ids"
)

var noon = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)

func newJob(id string, items int) Job {
	j := Job{ID: ids.JobID(id), Workspace: "w", Route: "r", Submitted: noon, Due: noon.Add(18 * time.Second), GiveUpAt: noon.Add(time.Minute)}
	for n := range items {
		j.Items = append(j.Items, Item{ID: ItemID(fmt.Sprintf("%s-%d", id, n)), Path: "/x", Body: []byte{byte(n)}, Tokens: 100})
	}
	return j
}

func TestCapCountsWaitingTokens(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	a, b := newJob("a", 3), newJob("b", 3)
	c.Assert(l.ReserveTokens(&a, 500), qt.IsTrue)
	c.Assert(l.ReserveTokens(&b, 500), qt.IsFalse)
	r := l.Add(a, 1, true)
	c.Assert(l.WaitingTokens("w", "r"), qt.Equals, int64(300))
	l.AddResult(r, Result{Item: "a-0", State: Completed})
	c.Assert(l.ReserveTokens(&b, 500), qt.IsTrue)
	l.ReleaseTokens(&b)
	l.EndJob(r)
	c.Assert(l.WaitingTokens("w", "r"), qt.Equals, int64(0))
}

func TestRepeatedSubmissionAddsOneJob(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	j := newJob("a", 2)
	c.Assert(l.ReserveTokens(&j, 0), qt.IsTrue)
	first := l.Add(j, 1, true)
	c.Assert(l.ReserveTokens(&j, 0), qt.IsTrue)
	c.Assert(l.Add(j, 1, true), qt.Equals, first)
	c.Assert(l.WaitingTokens("w", "r"), qt.Equals, int64(200))
}

func TestJobOfAnotherWorkspaceIsNotFound(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	l.Add(newJob("a", 1), 1, false)
	_, ok := l.Job("a", "other")
	c.Assert(ok, qt.IsFalse)
}

func TestMostUrgentStartsFirst(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	late, soon := newJob("a", 1), newJob("b", 2)
	soon.Due = noon.Add(time.Second)
	l.Add(late, 1, false)
	r := l.Add(soon, 1, false)
	list := l.StartItems(2, testShares)
	c.Assert(list, qt.HasLen, 2)
	c.Assert(list[0].Item.ID, qt.Equals, ItemID("b-0"))
	c.Assert(list[1].Item.ID, qt.Equals, ItemID("b-1"))
	l.Requeue(r, "b-1")
	list = l.StartItems(9, testShares)
	c.Assert(list, qt.HasLen, 2)
	c.Assert(list[0].Item.ID, qt.Equals, ItemID("b-1"))
	c.Assert(list[1].Item.ID, qt.Equals, ItemID("a-0"))
}

func TestEndedJobStops(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	r := l.Add(newJob("a", 2), 1, false)
	l.EndJob(r)
	c.Assert(l.StartItems(9, testShares), qt.HasLen, 0)
	select {
	case <-r.Stopped():
	default:
		c.Fatal("runs of an ended job are not stopped")
	}
}

func TestExpiredItems(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	r := l.Add(newJob("a", 2), 1, false)
	l.AddResult(r, Result{Item: "a-0", State: Completed})
	r.GiveUpAt = noon.Add(time.Minute)
	c.Assert(r.Expired(noon.Add(59*time.Second)), qt.HasLen, 0)
	c.Assert(r.Expired(noon.Add(time.Minute)), qt.DeepEquals, []ItemID{"a-1"})
}

func TestPageHoldsAtLeastOneResult(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	r := l.Add(newJob("a", 3), 1, false)
	l.Commit(r, Segment{Results: []Result{{Item: "a-0", Output: "long text"}, {Item: "a-1", Output: "long text"}}})
	list, next := r.Page(0, 5)
	c.Assert(list, qt.HasLen, 1)
	c.Assert(next, qt.Equals, 1)
	list, next = r.Page(7, 5)
	c.Assert(list, qt.HasLen, 0)
	c.Assert(next, qt.Equals, 2)
}

// TestPageFitsItsEncoding guards against answers beyond a read's limit: results count by their encoded size.
func TestPageFitsItsEncoding(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	r := l.Add(newJob("a", 8), 1, false)
	segment := Segment{}
	for n := range 8 {
		segment.Results = append(segment.Results, Result{Item: ItemID(fmt.Sprintf("a-%d", n)), Output: strings.Repeat("\x01", 100)})
	}
	l.Commit(r, segment)
	list, next := r.Page(0, 2000)
	raw, err := json.Marshal(list)
	c.Assert(err, qt.IsNil)
	c.Assert(len(raw) <= 2000, qt.IsTrue, qt.Commentf("%d bytes", len(raw)))
	c.Assert(next, qt.Equals, 2)
}

// TestResultsAppearOnce runs two owners of one job, each with its own ledger, that only create segments and never
// replace them. In any interleaving both owners and a third one that loads the segments must see the same
// results at the same positions, and each item at most once.
func TestResultsAppearOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		job := newJob("a", rapid.IntRange(1, 12).Draw(rt, "items"))
		var store []Segment
		owners := []*Ledger{NewLedger(), NewLedger()}
		records := []*Record{owners[0].Add(job, 1, false), owners[1].Add(job, 1, false)}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			n := rapid.IntRange(0, 1).Draw(rt, "owner")
			l, r := owners[n], records[n]
			if rapid.Bool().Draw(rt, "finish") {
				item := job.Items[rapid.IntRange(0, len(job.Items)-1).Draw(rt, "item")].ID
				l.AddResult(r, Result{Item: item, State: Completed, Output: fmt.Sprintf("by %d", n)})
				continue
			}
			if len(r.Pending) == 0 {
				continue
			}
			if r.Segments == len(store) {
				store = append(store, Segment{Results: append([]Result(nil), r.Pending...)})
			}
			l.Commit(r, store[r.Segments])
		}
		fresh := NewLedger()
		all := fresh.Add(job, 1, false)
		for _, s := range store {
			fresh.Commit(all, s)
		}
		seen := make(map[ItemID]bool)
		for _, rs := range all.Results {
			if seen[rs.Item] {
				rt.Fatalf("item %s appears twice", rs.Item)
			}
			seen[rs.Item] = true
		}
		for _, r := range records {
			for p, rs := range r.Results {
				if rs != all.Results[p] {
					rt.Fatalf("position %d differs: %v and %v", p, rs, all.Results[p])
				}
			}
		}
	})
}

// TestPartialAnswers checks that an item starts with the longest partial answer reported before its start, and
// that reports on items that have started or ended are ignored.
func TestPartialAnswers(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	r := l.Add(Job{ID: "j", Workspace: "w", Items: []Item{{ID: "a"}, {ID: "b"}}}, 0, false)
	r.AwaitingProgress = true
	c.Assert(l.StartItems(2, testShares), qt.HasLen, 0)
	r.AwaitingProgress = false
	r.AddPartial(PartialAnswer{Item: "a", Events: 3})
	r.AddPartial(PartialAnswer{Item: "a", Events: 2})
	r.AddPartial(PartialAnswer{Item: "none", Events: 2})
	c.Assert(l.AddResult(r, Result{Item: "b", State: Completed}), qt.IsTrue)
	c.Assert(l.AddResult(r, Result{Item: "b", State: Completed}), qt.IsFalse)
	r.AddPartial(PartialAnswer{Item: "b", Events: 9})
	started := l.StartItems(2, testShares)
	c.Assert(started, qt.HasLen, 1)
	c.Assert(started[0].PartialAnswer.Events, qt.Equals, 3)
	l.Requeue(r, "a")
	c.Assert(l.StartItems(2, testShares)[0].PartialAnswer, qt.IsNil)
}
