// Package slots gives requests slots on backend servers. The dispatcher, one of the hosts, decides on the slot
// requests of all hosts; while it can't be reached, its standby or each host's local scheduler decides.
package slots

import (
	"context"
	"time"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
)

const (
	// tickInterval is the time between checks of waiting requests, a tenth of the shortest usual wait.
	tickInterval = 20 * time.Millisecond
	// eventBufferSize fits bursts of events from all hosts.
	eventBufferSize = 1024
)

// Runner runs a scheduler: one goroutine applies all events.
type Runner struct {
	scheduler *dispatch.Scheduler
	clock     clock.Clock
	events    chan dispatch.Event
	emit      func(dispatch.Command)
	listState func() directory.ListState
	gauges    gauges
}

// NewRunner returns a runner that passes commands to emit, which must not block. salt is passed to the scheduler; it
// is empty for the dispatcher. listState returns how current the list of servers is.
func NewRunner(
	c clock.Clock, salt string, emit func(dispatch.Command), listState func() directory.ListState, opts ...dispatch.Option,
) *Runner {
	by := "host"
	if salt == "" {
		by = "dispatcher"
	}
	return &Runner{
		scheduler: dispatch.New(salt, opts...), clock: c, events: make(chan dispatch.Event, eventBufferSize), emit: emit, listState: listState,
		gauges: gauges{by: by},
	}
}

// Enqueue queues an event. It blocks while the queue is full.
func (r *Runner) Enqueue(e dispatch.Event) {
	r.events <- e
}

// Run applies events until the context ends.
func (r *Runner) Run(ctx context.Context) {
	timer := time.NewTimer(tickInterval)
	timer.Stop()
	armed := false
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-r.events:
			r.apply(e)
		case <-timer.C:
			armed = false
			r.apply(dispatch.Tick{})
		}
		if !armed && r.scheduler.NeedsTick() {
			timer.Reset(tickInterval)
			armed = true
		}
	}
}

func (r *Runner) apply(e dispatch.Event) {
	now := r.clock.Now()
	r.scheduler.ObserveList(now, r.listState())
	for _, c := range r.scheduler.Step(now, e) {
		r.emit(c)
	}
	r.gauges.update(now, r.scheduler)
}
