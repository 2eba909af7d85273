package soak

import (
	"context"
	"net/http"
	"time"
)

const (
	// stageTime is how long callers go on once the hosts of a stage have been replaced.
	stageTime = 3 * time.Second
	// electionTime bounds the time until another host dispatches: a lease is broken after three seconds.
	electionTime = 15 * time.Second
)

// Stage is one step of an upgrade and what callers got during it.
type Stage struct {
	Name string
	// Dispatcher is the folder of the programs that the dispatcher ran at the end of the stage.
	Dispatcher string
	// Answered counts requests, Jobs batch jobs that were accepted.
	Answered, Jobs int
}

// UpgradeReport is what an upgrade found.
type UpgradeReport struct {
	Report
	Stages []Stage
}

// upgradeStages replace the hosts of the former programs step by step, so that each build dispatches for hosts of the other.
var upgradeStages = []struct {
	name    string
	replace func(t *Town, ctx context.Context)
}{
	{"all hosts on the former programs", func(*Town, context.Context) {}},
	{"all hosts but the dispatcher on the new programs", func(t *Town, _ context.Context) {
		dispatcher, _ := t.seats()
		for _, h := range t.hosts {
			if h != dispatcher {
				h.replace(t.options.Programs)
			}
		}
	}},
	{"a lost dispatcher is taken over by the new programs, the hosts that callers reach are on the former ones", func(t *Town, ctx context.Context) {
		for _, h := range t.hosts[:fronts] {
			h.replace(t.options.Former)
		}
		t.loseDispatcher(ctx)
	}},
	{"a lost dispatcher on the new programs", func(t *Town, ctx context.Context) { t.loseDispatcher(ctx) }},
	{"all hosts on the new programs", func(t *Town, _ context.Context) {
		for _, h := range t.hosts {
			h.replace(t.options.Programs)
		}
	}},
}

// Upgrade replaces the programs in Options.Former by those in Options.Programs, host by host, while callers send
// requests and jobs, and checks what Play checks.
func Upgrade(ctx context.Context, o Options) (r UpgradeReport, err error) {
	r.Report = Report{Seed: o.Seed, Statuses: make(map[int]int)}
	t, err := NewTown(o)
	if err != nil {
		return r, err
	}
	defer func() { _ = t.Close() }() // all that it started ends with this process
	c := &Callers{town: t}
	if !t.eventually(ctx, startTime, "start", "every host serves", c.serves) {
		r.Report = t.finish(r.Report, &Evidence{})
		return r, ctx.Err()
	}
	calling, hangUp := context.WithCancel(ctx)
	defer hangUp()
	c.Start(calling)
	for _, s := range upgradeStages {
		r.Stages = append(r.Stages, t.stage(ctx, c, s.name, func() { s.replace(t, ctx) }))
	}
	hangUp()
	c.Wait()
	e := t.calm(ctx, c)
	for _, one := range e.Calls {
		r.Statuses[one.Status]++
	}
	r.Jobs = len(c.journal.accepted())
	r.Report = t.finish(r.Report, e)
	return r, ctx.Err()
}

func (t *Town) stage(ctx context.Context, c *Callers, name string, replace func()) (s Stage) {
	replace()
	t.eventually(ctx, startTime, "start", name+": every host serves", c.serves)
	begin := time.Now()
	select {
	case <-ctx.Done():
	case <-time.After(stageTime):
	}
	s = Stage{Name: name}
	if dispatcher, _ := t.seats(); dispatcher != nil {
		s.Dispatcher = dispatcher.programsNow()
	}
	s.Answered, s.Jobs = c.journal.since(begin)
	return s
}

// loseDispatcher kills the dispatcher, waits until another host dispatches and starts the killed one again.
func (t *Town) loseDispatcher(ctx context.Context) {
	lost, _ := t.seats()
	if lost == nil {
		t.violate("upgrade", "dispatcher", "no host dispatches")
		return
	}
	lost.kill()
	t.eventually(ctx, electionTime, "upgrade", "another host dispatches after "+lost.name, func() bool {
		now, _ := t.seats()
		return now != nil && now != lost
	})
	lost.ensure()
}

// replace stops the host and starts it on other programs, unless it runs them already.
func (h *host) replace(programs string) {
	if h.programsNow() == programs {
		return
	}
	h.stop()
	h.stopping.Wait()
	h.mu.Lock()
	h.programs = programs
	h.mu.Unlock()
	h.ensure()
}

func (h *host) programsNow() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.programs
}

// since counts the requests that were sent from a moment on and answered, and the jobs that were accepted.
func (j *journal) since(begin time.Time) (answered, jobs int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range j.calls {
		if c.Sent.After(begin) && c.Status == http.StatusOK {
			answered++
		}
	}
	for _, c := range j.jobs {
		if c.Sent.After(begin) && c.Verb == verbSubmit && c.Status == statusAccepted {
			jobs++
		}
	}
	return answered, jobs
}
