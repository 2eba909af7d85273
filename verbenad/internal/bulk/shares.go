package bulk

import (
	"sort"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
)

// shareCheckInterval is the time between checks whether a service lacks its share of the runs.
const shareCheckInterval = time.Second

var itemsDisplaced = metrics.NewCounter("verbenad_items_displaced_total")

// displaceWaits ends waits for slots of services that have more than their share of the runs, if all runs are taken and another
// service has fewer than its share.
func (o *Owner) displaceWaits(now time.Time) {
	if o.running < maxRunning || now.Sub(o.sharesChecked) < shareCheckInterval {
		return
	}
	o.sharesChecked = now
	runs := o.displaceable()
	displaceable := make(map[ids.ServiceName]int)
	for _, run := range runs {
		displaceable[o.serviceOf(run.route)]++
	}
	excess := o.ledger.Excess(maxRunning-o.running+o.displaced, displaceable, o.shares())
	displaced := make(map[ids.ServiceName]int)
	for _, run := range runs {
		s := o.serviceOf(run.route)
		if displaced[s] == excess[s] {
			continue
		}
		displaced[s]++
		o.displaced++
		run.displaced = true
		run.cancel()
		itemsDisplaced.Inc()
	}
	for s, n := range displaced {
		log.WithFields(log.Fields{"service": s, "items": n}).Info("waiting items make room for other services")
	}
}

func (o *Owner) shares() bulk.Shares { return bulk.Shares{Limit: maxRunning, ServiceOf: o.serviceOf} }

// displaceable returns the runs that wait for a slot and have nothing to keep, those of the jobs that are due last first.
func (o *Owner) displaceable() (list []*itemRun) {
	for _, run := range o.runs {
		if !run.displaced && run.wait != nil && !run.wait.begun && run.partial.Load() == nil {
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
