// Package control runs the decisions of a host on one goroutine.
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
	mailboxSize = 4096
	tickEvery   = 25 * time.Millisecond
)

// Executor carries out the commands that reach beyond the process or to other
// goroutines. It must not block.
type Executor interface {
	Execute(cmd core.Command)
}

// Loop owns the control state.
type Loop struct {
	core     *core.Core
	clock    clock.Clock
	mailbox  chan func()
	snapshot atomic.Pointer[core.Snapshot]
	waiting  sync.Map // core.Ticket to chan core.Command
	tickets  atomic.Uint64
	executor Executor
}

// NewLoop returns a loop; Run makes it work.
func NewLoop(c *core.Core, cl clock.Clock) *Loop {
	l := &Loop{core: c, clock: cl, mailbox: make(chan func(), mailboxSize)}
	l.snapshot.Store(&core.Snapshot{})
	return l
}

// SetExecutor names who carries commands out. It must come before Run.
func (l *Loop) SetExecutor(e Executor) {
	l.executor = e
}

// Executor returns who carries commands out.
func (l *Loop) Executor() Executor {
	return l.executor
}

// Run steps the decisions until the context ends.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.mailbox:
			f()
		case <-ticker.C:
			l.step(core.Tick{})
		}
	}
}

// Post hands an event to the decisions.
func (l *Loop) Post(e core.Event) {
	l.mailbox <- func() { l.step(e) }
}

// Snapshot returns what traffic may read without asking.
func (l *Loop) Snapshot() *core.Snapshot {
	return l.snapshot.Load()
}

// Now returns the time by the loop's clock.
func (l *Loop) Now() time.Time {
	return l.clock.Now()
}

// Ask hands in an event made for a new ticket and waits for the command that
// answers it.
func (l *Loop) PostAndWait(ctx context.Context, event func(core.Ticket) core.Event) (cmd core.Command, err error) {
	t := core.Ticket(l.tickets.Add(1))
	answer := make(chan core.Command, 1)
	l.waiting.Store(t, answer)
	l.Post(event(t))
	select {
	case cmd = <-answer:
		return cmd, nil
	case <-ctx.Done():
		l.abandon(t, answer)
		return nil, ctx.Err()
	}
}

// Query runs a function on the control goroutine, for reading its state.
func (l *Loop) Query(ctx context.Context, f func(c *core.Core)) (err error) {
	done := make(chan struct{})
	l.mailbox <- func() {
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
		l.carryOut(cmd)
	}
	metric.ControlSteps.Inc()
	metric.ControlSeconds.Add(time.Since(start).Seconds())
}

func (l *Loop) carryOut(cmd core.Command) {
	switch c := cmd.(type) {
	case core.Publish:
		l.snapshot.Store(c.Snapshot)
	case core.Admitted:
		l.answer(c.Ticket, cmd)
	case core.Refused:
		l.answer(c.Ticket, cmd)
	case core.Routed:
		l.answer(c.Ticket, cmd)
	case core.CrashVerdict:
		l.answer(c.Ticket, cmd)
	default:
		l.executor.Execute(cmd)
	}
}

func (l *Loop) answer(t core.Ticket, cmd core.Command) {
	value, waiting := l.waiting.LoadAndDelete(t)
	if !waiting {
		l.giveBack(cmd)
		return
	}
	answer, _ := value.(chan core.Command)
	answer <- cmd
}

// abandon gives up a wait. An answer that has come meanwhile is given back.
func (l *Loop) abandon(t core.Ticket, answer chan core.Command) {
	if _, waiting := l.waiting.LoadAndDelete(t); waiting {
		return
	}
	l.giveBack(<-answer)
}

// giveBack ends a call that was routed for a caller who has gone.
func (l *Loop) giveBack(cmd core.Command) {
	routed, ok := cmd.(core.Routed)
	if !ok {
		return
	}
	go l.Post(core.BackendCallEnded{Backend: routed.Server.ID, Outcome: route.Abandoned, Suspect: routed.Suspect, Load: -1})
}
