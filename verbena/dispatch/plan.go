package dispatch

import (
	"math"
	"sort"
	"time"
)

const (
	// planInterval is the minimum time between two plans of a service's batch items.
	planInterval = 200 * time.Millisecond
	// batchSlotsAveragingTime is the time constant for averaging the slots that callers leave to batch. It spans several
	// bursts and the pauses between them.
	batchSlotsAveragingTime = 5 * time.Second
	// minRemainingShare is the minimum for a run's remaining time, as a share of its expected time; it applies to runs
	// that last longer than expected.
	minRemainingShare = 0.1
)

// plan defers batch items that can't be done in time, so that they don't make others late: in order of due times alone,
// each item would be a little late when there is more work than slots. The Moore-Hodgson algorithm chooses the deferred
// items so that the fewest are late. It schedules a single processor; here all slots that callers leave to batch together
// count as one.
type plan struct {
	plannedAt time.Time
	// slots is how many slots batch could have at observedAt; averageSlots is its moving average.
	slots        float64
	observedAt   time.Time
	averageSlots float64
}

// observe averages the slots that batch may have. At first all slots are assumed to be left to batch: a plan that
// expects too few would defer items that could be in time.
func (pl *plan) observe(now time.Time, slots, all float64) {
	if pl.observedAt.IsZero() {
		pl.averageSlots = all
	}
	if elapsed := now.Sub(pl.observedAt); elapsed > 0 && !pl.observedAt.IsZero() {
		pl.averageSlots += (pl.slots - pl.averageSlots) * (1 - math.Exp(-float64(elapsed)/float64(batchSlotsAveragingTime)))
	}
	pl.slots, pl.observedAt = slots, now
}

// planBatch plans the service's batch items unless the last plan is younger than planInterval.
func (p *pool) planBatch(now time.Time) {
	if p.disabled[BatchPlan] || now.Sub(p.plan.plannedAt) < planInterval || len(p.batchQueue) == 0 {
		return
	}
	p.plan.plannedAt = now
	all := make([]batchWork, 0, len(p.batchQueue)+len(p.batchRuns))
	for _, w := range p.batchQueue {
		all = append(all, batchWork{due: w.due, deadline: w.deadline, runTime: p.expectedRunTime(w.request), deferred: &w.deferred})
	}
	for _, r := range p.batchRuns {
		if !r.yielding {
			all = append(all, batchWork{due: r.due, deadline: r.deadline, runTime: p.remainingRunTime(now, r), deferred: &r.deferred})
		}
	}
	deferLate(now, all, p.plan.averageSlots)
	sort.Slice(p.batchQueue, func(i, j int) bool { return waitsBefore(p.batchQueue[i], p.batchQueue[j]) })
}

// expectedRunTime is how long an item is expected to run; 0 means that it isn't known.
func (p *pool) expectedRunTime(req SlotRequest) time.Duration {
	return time.Duration(float64(req.StreamEvents) * p.eventSeconds * float64(time.Second))
}

// remainingRunTime is how much longer a run is expected to last.
func (p *pool) remainingRunTime(now time.Time, r *run) time.Duration {
	expected := p.expectedRunTime(r.request)
	return max(expected-now.Sub(r.start), time.Duration(minRemainingShare*float64(expected)))
}
