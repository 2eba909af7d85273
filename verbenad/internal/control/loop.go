// Package control runs a host's control core on one goroutine.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/route"
	"verbenaledge.example/verbenad/internal/metric"
)

const (
	queueSize    = 4096
	tickInterval = 25 * time.Millisecond
)

// Executor executes commands that call other processes or other goroutines. It must
// not block.
type Executor interface {
	Execute(cmd core.Command)
}

// Loop owns the control core and passes events to it one at a time.
type Loop struct {
	core     *core.Core
	clock    clock.Clock
	queue    chan func()
	snapshot atomic.Pointer[core.Snapshot]
	pending  sync.Map // core.Ticket to chan core.Command
	tickets  atomic.Uint64
	executor Executor
}

// NewLoop returns a loop that handles events while Run runs.
func NewLoop(c *core.Core, cl clock.Clock) *Loop {
	l := &Loop{core: c, clock: cl, queue: make(chan func(), queueSize)}
	l.snapshot.Store(&core.Snapshot{})
	return l
}

// SetExecutor sets the executor of commands. It must be called before Run.
func (l *Loop) SetExecutor(e Executor) {
	l.executor = e
}

// Executor returns the executor of commands.
func (l *Loop) Executor() Executor {
	return l.executor
}

// Run handles events and ticks until the context ends.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.queue:
			f()
		case <-ticker.C:
			l.step(core.Tick{})
		}
	}
}

// Post queues an event. It blocks while the queue is full.
func (l *Loop) Post(e core.Event) {
	l.queue <- func() { l.step(e) }
}

// Snapshot returns the last published snapshot, which requests read without waiting for
// the loop.
func (l *Loop) Snapshot() *core.Snapshot {
	return l.snapshot.Load()
}

// Now returns the current time of the loop's clock.
func (l *Loop) Now() time.Time {
	return l.clock.Now()
}

// PostAndWait posts an event created with a new ticket and waits for the command that
// replies to the ticket.
func (l *Loop) PostAndWait(ctx context.Context, event func(core.Ticket) core.Event) (cmd core.Command, err error) {
	t := core.Ticket(l.tickets.Add(1))
	reply := make(chan core.Command, 1)
	l.pending.Store(t, reply)
	l.Post(event(t))
	select {
	case cmd = <-reply:
		return cmd, nil
	case <-ctx.Done():
		l.cancelWait(t, reply)
		return nil, ctx.Err()
	}
}

// Query runs a function that reads the core's state on the control goroutine.
func (l *Loop) Query(ctx context.Context, f func(c *core.Core)) (err error) {
	done := make(chan struct{})
	l.queue <- func() {
		f(l.core)
		close(done)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Loop) step(e core.Event) {
	start := time.Now()
	for _, cmd := range l.core.Step(l.clock.Now(), e) {
		l.execute(cmd)
	}
	metric.ControlSteps.Inc()
	metric.ControlSeconds.Add(time.Since(start).Seconds())
}

func (l *Loop) execute(cmd core.Command) {
	switch c := cmd.(type) {
	case core.Publish:
		l.snapshot.Store(c.Snapshot)
	case core.Admitted:
		l.reply(c.Ticket, cmd)
	case core.Refused:
		l.reply(c.Ticket, cmd)
	case core.Routed:
		l.reply(c.Ticket, cmd)
	case core.CrashVerdict:
		l.reply(c.Ticket, cmd)
	default:
		l.executor.Execute(cmd)
	}
}

func (l *Loop) reply(t core.Ticket, cmd core.Command) {
	value, pending := l.pending.LoadAndDelete(t)
	if !pending {
		l.releaseRoute(cmd)
		return
	}
	reply, _ := value.(chan core.Command)
	reply <- cmd
}

// cancelWait cancels the wait for a ticket. If the reply has arrived meanwhile, its
// route is released.
func (l *Loop) cancelWait(t core.Ticket, reply chan core.Command) {
	if _, pending := l.pending.LoadAndDelete(t); pending {
		return
	}
	l.releaseRoute(<-reply)
}

// releaseRoute ends a call that was routed for a caller that no longer waits for it.
func (l *Loop) releaseRoute(cmd core.Command) {
	routed, ok := cmd.(core.Routed)
	if !ok {
		return
	}
	go l.Post(core.BackendCallEnded{Backend: routed.Server.ID, Outcome: route.Abandoned, Suspect: routed.Suspect, Load: -1})
}
