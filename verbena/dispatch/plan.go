package dispatch

import (
	"math"
	"sort"
	"time"
)

const (
	// planEvery is the least time between two plans of a service's batch items.
	planEvery = 200 * time.Millisecond
	// batchSpan is over how long the slots that callers leave to batch are averaged: some bursts and the pauses between.
	batchSpan = 5 * time.Second
	// leastLeft is what a run is taken to need at least, as a share of what it was expected to need, once it lasts longer.
	leastLeft = 0.1
)

// plan puts items off that can't be done in time, so that they don't make others late: in order of due times alone,
// under more work than slots each item comes a little late. Which items are put off is chosen as Moore and Hodgson do
// for one machine, the one of the service's slots that callers leave: the fewest are late.
type plan struct {
	at time.Time
	// level is how many slots batch could have at levelAt, left its average.
	level   float64
	levelAt time.Time
	left    float64
}

// observe averages the slots that batch may have, of all. At first callers are taken to leave them all: a plan that
// expects too little puts off what could be in time.
func (l *plan) observe(now time.Time, slots, all int) {
	if l.levelAt.IsZero() {
		l.left = float64(all)
	}
	if spent := now.Sub(l.levelAt); spent > 0 && !l.levelAt.IsZero() {
		l.left += (l.level - l.left) * (1 - math.Exp(-float64(spent)/float64(batchSpan)))
	}
	l.level, l.levelAt = float64(slots), now
}

// planBatch plans a service's items, if the last plan is old.
func (p *pool) planBatch(now time.Time) {
	if p.off[BatchPlan] || now.Sub(p.plan.at) < planEvery || len(p.waiting) == 0 {
		return
	}
	p.plan.at = now
	all := make([]work, 0, len(p.waiting)+len(p.batch))
	for _, w := range p.waiting {
		all = append(all, work{due: w.due, giveUp: w.leave, left: p.runTime(w.ask), late: &w.late})
	}
	for _, r := range p.batch {
		if !r.yielding {
			all = append(all, work{due: r.due, giveUp: r.leave, left: p.timeLeft(now, r), late: &r.late})
		}
	}
	putOff(now, all, p.plan.left)
	sort.Slice(p.waiting, func(i, j int) bool { return before(p.waiting[i], p.waiting[j]) })
}

// runTime is how long an item is expected to run; 0 means that it isn't known.
func (p *pool) runTime(a SlotRequest) time.Duration {
	return time.Duration(float64(a.StreamEvents) * p.event * float64(time.Second))
}

// timeLeft is how much longer a run is expected to last.
func (p *pool) timeLeft(now time.Time, r *run) time.Duration {
	whole := p.runTime(r.ask)
	return max(whole-now.Sub(r.start), time.Duration(leastLeft*float64(whole)))
}
