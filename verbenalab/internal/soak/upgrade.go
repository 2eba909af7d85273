package soak

import (
	"context"
	"net/http"
	"time"
)

const (
	// stageDuration is the time that callers send requests after the hosts of a stage have been replaced.
	stageDuration = 3 * time.Second
	// takeoverTimeout bounds the time until another host dispatches: a lease is broken after three seconds.
	takeoverTimeout = 15 * time.Second
)

// Stage is one step of an upgrade and what callers received during it.
type Stage struct {
	Name string
	// DispatcherProgramsDir is the folder of the programs that the dispatcher ran at the end of the stage.
	DispatcherProgramsDir string
	// Answered counts answered requests, Jobs accepted batch jobs.
	Answered, Jobs int
}

// UpgradeReport is the result of an upgrade.
type UpgradeReport struct {
	Report
	Stages []Stage
}

// upgradeStages replaces the former programs host by host, in an order in which each build dispatches for hosts of the
// other.
var upgradeStages = []struct {
	name    string
	replace func(e *Environment, ctx context.Context)
}{
	{"all hosts on the former programs", func(*Environment, context.Context) {}},
	{"all hosts but the dispatcher on the new programs", func(e *Environment, _ context.Context) {
		dispatcher, _ := e.placers()
		for _, h := range e.hosts {
			if h != dispatcher {
				h.replacePrograms(e.options.ProgramsDir)
			}
		}
	}},
	{"dispatcher killed, its successor on the new programs, entry hosts on the former programs", func(e *Environment, ctx context.Context) {
		for _, h := range e.hosts[:entryHosts] {
			h.replacePrograms(e.options.FormerProgramsDir)
		}
		e.failOverDispatcher(ctx)
	}},
	{"dispatcher on the new programs killed", func(e *Environment, ctx context.Context) { e.failOverDispatcher(ctx) }},
	{"all hosts on the new programs", func(e *Environment, _ context.Context) {
		for _, h := range e.hosts {
			h.replacePrograms(e.options.ProgramsDir)
		}
	}},
}

// Upgrade replaces the programs in Options.FormerProgramsDir by those in Options.ProgramsDir, host by host, while callers
// send requests and jobs, and checks what Run checks.
func Upgrade(ctx context.Context, o Options) (r UpgradeReport, err error) {
	r.Report = Report{Seed: o.Seed, Statuses: make(map[int]int)}
	e, err := NewEnvironment(o)
	if err != nil {
		return r, err
	}
	defer func() { _ = e.Close() }() // what fails to stop ends with this process
	c := &Callers{env: e}
	if !e.eventually(ctx, startTimeout, "start", "every host serves", c.allServing) {
		r.Report = e.finishReport(r.Report, &Evidence{})
		return r, ctx.Err()
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	c.Start(callersCtx)
	for _, s := range upgradeStages {
		r.Stages = append(r.Stages, e.runStage(ctx, c, s.name, func() { s.replace(e, ctx) }))
	}
	stopCallers()
	c.Wait()
	ev := e.checkRecovered(ctx, c)
	for _, cl := range ev.Calls {
		r.Statuses[cl.Status]++
	}
	r.Jobs = len(c.journal.acceptedJobs())
	r.Report = e.finishReport(r.Report, ev)
	return r, ctx.Err()
}

func (e *Environment) runStage(ctx context.Context, c *Callers, name string, replace func()) (s Stage) {
	replace()
	e.eventually(ctx, startTimeout, "start", name+": every host serves", c.allServing)
	begin := time.Now()
	select {
	case <-ctx.Done():
	case <-time.After(stageDuration):
	}
	s = Stage{Name: name}
	if dispatcher, _ := e.placers(); dispatcher != nil {
		s.DispatcherProgramsDir = dispatcher.currentProgramsDir()
	}
	s.Answered, s.Jobs = c.journal.countSince(begin)
	return s
}

// failOverDispatcher kills the dispatcher, waits until another host dispatches and restarts the killed one.
func (e *Environment) failOverDispatcher(ctx context.Context) {
	killed, _ := e.placers()
	if killed == nil {
		e.addViolation("upgrade", "dispatcher", "no host dispatches")
		return
	}
	killed.kill()
	e.eventually(ctx, takeoverTimeout, "upgrade", "another host dispatches after "+killed.name, func() bool {
		current, _ := e.placers()
		return current != nil && current != killed
	})
	killed.ensureRunning()
}

// replacePrograms restarts the host from another folder of programs, unless it already runs those.
func (h *host) replacePrograms(programsDir string) {
	if h.currentProgramsDir() == programsDir {
		return
	}
	h.stop()
	h.stopping.Wait()
	h.mu.Lock()
	h.programsDir = programsDir
	h.mu.Unlock()
	h.ensureRunning()
}

func (h *host) currentProgramsDir() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.programsDir
}

// countSince counts the answered requests and accepted jobs among the calls sent after begin.
func (j *journal) countSince(begin time.Time) (answered, jobs int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range j.calls {
		if c.Sent.After(begin) && c.Status == http.StatusOK {
			answered++
		}
	}
	for _, c := range j.jobCalls {
		if c.Sent.After(begin) && c.Verb == verbSubmit && c.Status == statusAccepted {
			jobs++
		}
	}
	return answered, jobs
}
