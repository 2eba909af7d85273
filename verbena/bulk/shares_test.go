package bulk

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

// testShares are shares of 12 runs, with a service for each route.
var testShares = Shares{Limit: 12, ServiceOf: func(route string) ids.ServiceName { return ids.ServiceName(route) }}

// routesLedger is a ledger with a job for each route, in the order of their due times.
type routesLedger struct {
	*Ledger
	records map[string]*Record
}

func newRoutesLedger(items ...int) *routesLedger {
	l := &routesLedger{Ledger: NewLedger(), records: make(map[string]*Record)}
	for n, count := range items {
		l.addJob(fmt.Sprintf("route-%d", n), fmt.Sprintf("job-%d", n), count, time.Unix(int64(n), 0))
	}
	return l
}

func (l *routesLedger) addJob(route, id string, items int, due time.Time) {
	j := Job{ID: ids.JobID(id), Workspace: ids.WorkspaceID(id), Route: route, Due: due}
	for k := range items {
		j.Items = append(j.Items, Item{ID: ItemID(fmt.Sprintf("%s-%d", id, k))})
	}
	l.records[id] = l.Add(j, 1, false)
}

// started counts the started items of each job.
func started(list []StartedItem) map[string]int {
	counts := make(map[string]int)
	for _, i := range list {
		counts[string(i.Record.Job.ID)]++
	}
	return counts
}

// TestEachServiceStartsItsShare checks that runs left by services with few items go to the job that is due first.
func TestEachServiceStartsItsShare(t *testing.T) {
	l := newRoutesLedger(20, 20, 2)
	qt.Assert(t, started(l.StartItems(12, testShares)), qt.DeepEquals, map[string]int{"job-0": 6, "job-1": 4, "job-2": 2})
}

// TestJobDueFirstSharesWithLaterOnes guards against a job whose runs go to jobs of the same service that are due later.
func TestJobDueFirstSharesWithLaterOnes(t *testing.T) {
	l := newRoutesLedger(20)
	l.addJob("route-0", "later", 20, time.Unix(1, 0))
	qt.Assert(t, started(l.StartItems(12, testShares)), qt.DeepEquals, map[string]int{"job-0": 12})
	qt.Assert(t, l.Excess(0, map[ids.ServiceName]int{"route-0": 12}, testShares), qt.HasLen, 0)
}

// TestServiceBelowItsShareStartsFirst checks that a run that becomes free isn't taken by a service with more than its share.
func TestServiceBelowItsShareStartsFirst(t *testing.T) {
	l := newRoutesLedger(20)
	qt.Assert(t, l.StartItems(12, testShares), qt.HasLen, 12)
	l.addJob("other", "late", 1, time.Unix(9, 0))
	l.Requeue(l.records["job-0"], "job-0-0")
	qt.Assert(t, started(l.StartItems(1, testShares)), qt.DeepEquals, map[string]int{"late": 1})
}

// TestExcess checks how many runs services give up for those with fewer than their share.
func TestExcess(t *testing.T) {
	l := newRoutesLedger(20)
	l.StartItems(12, testShares)
	all := map[ids.ServiceName]int{"route-0": 12}
	qt.Assert(t, l.Excess(0, all, testShares), qt.HasLen, 0)
	l.addJob("late", "late", 3, time.Unix(9, 0))
	qt.Assert(t, l.Excess(0, all, testShares), qt.DeepEquals, map[ids.ServiceName]int{"route-0": 3})
	qt.Assert(t, l.Excess(2, all, testShares), qt.DeepEquals, map[ids.ServiceName]int{"route-0": 1})
	qt.Assert(t, l.Excess(3, all, testShares), qt.HasLen, 0)
	l.addJob("late", "more", 30, time.Unix(9, 0))
	qt.Assert(t, l.Excess(0, all, testShares), qt.DeepEquals, map[ids.ServiceName]int{"route-0": 6}, qt.Commentf("beyond its share only"))
}

// TestExcessOfServiceThatCannotGiveWay guards against asking only the service with the most runs, none of which can end.
func TestExcessOfServiceThatCannotGiveWay(t *testing.T) {
	l := newRoutesLedger(7, 5)
	qt.Assert(t, l.StartItems(12, testShares), qt.HasLen, 12)
	l.addJob("late", "late", 1, time.Unix(9, 0))
	qt.Assert(t, l.Excess(0, map[ids.ServiceName]int{"route-1": 5}, testShares), qt.DeepEquals, map[ids.ServiceName]int{"route-1": 1})
}
