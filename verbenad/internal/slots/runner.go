// Package slots gives requests places on backend servers: from the host that dispatches for all
// others, and from this host's own counts while that one can't be reached.
package slots

import (
	"context"
	"time"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/dispatch"
)

const (
	// tickEvery is the time between looks at what waits; a tenth of the shortest usual wait.
	tickEvery = 20 * time.Millisecond
	// eventBuffer takes bursts of events from all hosts.
	eventBuffer = 1024
)

// Runner owns a dispatch machine: one goroutine applies all events.
type Runner struct {
	machine *dispatch.Scheduler
	clock   clock.Clock
	events  chan dispatch.Event
	emit    func(dispatch.Command)
	gauges  gauges
}

// NewRunner returns a runner that hands commands to emit, which must not block. salt is the machine's.
func NewRunner(c clock.Clock, salt string, emit func(dispatch.Command), list ...dispatch.Option) *Runner {
	by := "host"
	if salt == "" {
		by = "dispatcher"
	}
	return &Runner{machine: dispatch.New(salt, list...), clock: c, events: make(chan dispatch.Event, eventBuffer), emit: emit, gauges: gauges{by: by}}
}

// Do applies an event.
func (r *Runner) Do(e dispatch.Event) {
	r.events <- e
}

// Run applies events until the context ends.
func (r *Runner) Run(ctx context.Context) {
	timer := time.NewTimer(tickEvery)
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
		if !armed && r.machine.NeedsTick() {
			timer.Reset(tickEvery)
			armed = true
		}
	}
}

func (r *Runner) apply(e dispatch.Event) {
	now := r.clock.Now()
	for _, c := range r.machine.Step(now, e) {
		r.emit(c)
	}
	r.gauges.show(now, r.machine)
}
