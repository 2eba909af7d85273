package bulk

import (
	"sort"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
)

// shareCheckInterval is the time between checks whether a queue lacks its share of the runs.
const shareCheckInterval = time.Second

var itemsDisplaced = metrics.NewCounter("verbenad_items_displaced_total")

// displaceWaits ends waits for slots of queues that have more than their share of the runs, if all runs are taken and another
// queue has fewer than its share.
func (o *Owner) displaceWaits(now time.Time) {
	if o.running < maxRunning || now.Sub(o.sharesChecked) < shareCheckInterval {
		return
	}
	o.sharesChecked = now
	excess := o.ledger.Excess(maxRunning-o.running, maxRunning)
	if len(excess) == 0 {
		return
	}
	displaced := make(map[bulk.Queue]int)
	for _, run := range o.displaceable() {
		q := run.record.Job.Queue()
		if displaced[q] == excess[q] {
			continue
		}
		displaced[q]++
		run.wait = nil
		run.cancel()
		itemsDisplaced.Inc()
	}
	for q, n := range displaced {
		log.WithFields(log.Fields{"workspace": q.Workspace, "route": q.Route, "items": n}).Info("waiting items make room for other routes")
	}
}

// displaceable returns the runs that wait for a slot and have nothing to keep, those of the jobs that are due last first.
func (o *Owner) displaceable() (list []*itemRun) {
	for _, run := range o.runs {
		if run.wait != nil && !run.wait.begun && run.partial.Load() == nil {
			list = append(list, run)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if !a.record.Job.Due.Equal(b.record.Job.Due) {
			return a.record.Job.Due.After(b.record.Job.Due)
		}
		return a.item.ID > b.item.ID
	})
	return list
}
