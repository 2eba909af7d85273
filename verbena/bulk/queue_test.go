package bulk

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

// queueLedger is a ledger with a job for each route, in the order of their due times.
type queueLedger struct {
	*Ledger
	records map[string]*Record
}

func newQueueLedger(items ...int) *queueLedger {
	l := &queueLedger{Ledger: NewLedger(), records: make(map[string]*Record)}
	for n, count := range items {
		route := fmt.Sprintf("route-%d", n)
		j := Job{ID: ids.JobID(route), Workspace: "w", Route: route, Due: time.Unix(int64(n), 0)}
		for k := range count {
			j.Items = append(j.Items, Item{ID: ItemID(fmt.Sprintf("%s-%d", route, k))})
		}
		l.records[route] = l.Add(j, 1, false)
	}
	return l
}

// started counts the started items of each route.
func started(list []StartedItem) map[string]int {
	counts := make(map[string]int)
	for _, i := range list {
		counts[i.Record.Job.Route]++
	}
	return counts
}

// TestEachQueueStartsItsShare checks that runs left by queues with few items go to the job that is due first.
func TestEachQueueStartsItsShare(t *testing.T) {
	l := newQueueLedger(20, 20, 2)
	qt.Assert(t, started(l.StartItems(12, 12)), qt.DeepEquals, map[string]int{"route-0": 6, "route-1": 4, "route-2": 2})
}

// TestQueueBelowItsShareStartsFirst checks that a run that becomes free isn't taken by a queue with more than its share.
func TestQueueBelowItsShareStartsFirst(t *testing.T) {
	l := newQueueLedger(20)
	qt.Assert(t, l.StartItems(12, 12), qt.HasLen, 12)
	l.Add(Job{ID: "late", Workspace: "v", Route: "route-0", Due: time.Unix(9, 0), Items: []Item{{ID: "x"}}}, 1, false)
	l.Requeue(l.records["route-0"], "route-0-0")
	list := l.StartItems(1, 12)
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Record.Job.Workspace, qt.Equals, ids.WorkspaceID("v"))
}

// TestExcess checks how many runs queues give up for those with fewer than their share.
func TestExcess(t *testing.T) {
	l := newQueueLedger(20)
	l.StartItems(12, 12)
	qt.Assert(t, l.Excess(0, 12), qt.HasLen, 0)
	l.Add(Job{ID: "late", Workspace: "w", Route: "late", Items: []Item{{ID: "a"}, {ID: "b"}, {ID: "c"}}}, 1, false)
	first := Queue{Workspace: "w", Route: "route-0"}
	qt.Assert(t, l.Excess(0, 12), qt.DeepEquals, map[Queue]int{first: 3})
	qt.Assert(t, l.Excess(2, 12), qt.DeepEquals, map[Queue]int{first: 1})
	qt.Assert(t, l.Excess(3, 12), qt.HasLen, 0)
}
