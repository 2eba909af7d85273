package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// startTime and calmTime bound how long the programs may take to serve, at the start and after the last trouble.
	startTime = 40 * time.Second
	calmTime  = 60 * time.Second
	// lookEvery is the time between looks at the processes and at what still has to happen.
	lookEvery = 100 * time.Millisecond
	// leaveCalls is how many requests are sent after a server was told to leave.
	leaveCalls = 12
	// idleTime is how long servers may take to notice that their callers have gone.
	idleTime = 10 * time.Second
)

// Report is what a run found.
type Report struct {
	Seed       uint64
	Plan       Plan
	Statuses   map[int]int
	Jobs       int
	Violations []Violation
	// Lines are those of all hosts on the first violations.
	LogLines []string
}

// Play runs the programs through the plan of a seed and checks all that is promised.
func Run(ctx context.Context, o Options) (r Report, err error) {
	r = Report{Seed: o.Seed, Plan: NewPlan(o.Seed, o.Duration), Statuses: make(map[int]int)}
	t, err := NewTown(o)
	if err != nil {
		return r, err
	}
	defer func() { _ = t.Close() }() // all that it started ends with this process
	c := &Callers{town: t}
	if !t.eventually(ctx, startTime, "start", "every host serves", c.serves) {
		return t.finish(r, &Evidence{}), ctx.Err()
	}
	calling, hangUp := context.WithCancel(ctx)
	defer hangUp()
	c.Start(calling)
	t.play(ctx, r.Plan)
	t.heal()
	t.eventually(ctx, calmTime, "recovery", "every host serves", c.serves)
	hangUp()
	c.Wait()
	e := t.calm(ctx, c)
	for _, one := range e.Calls {
		r.Statuses[one.Status]++
	}
	r.Jobs = len(c.journal.accepted())
	return t.finish(r, e), ctx.Err()
}

// play begins and ends the troubles of a plan at their times.
func (t *Town) play(ctx context.Context, p Plan) {
	start := time.Now()
	var over sync.WaitGroup
	defer over.Wait()
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for _, e := range p {
		for time.Since(start) < e.At && ctx.Err() == nil {
			<-look.C
			for _, h := range t.hosts {
				h.looked()
			}
		}
		e.Kind.of().begin(t, e.Target)
		over.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(e.For):
			}
			e.Kind.of().end(t, e.Target)
		})
	}
}

// calm checks what must hold once all troubles are over, and gathers what was seen.
func (t *Town) calm(ctx context.Context, c *Callers) (e *Evidence) {
	e = &Evidence{Items: jobItems, CalmFrom: time.Now()}
	a := &agent{callers: c, random: rand.New(rand.NewPCG(t.options.Seed, 1)), http: &http.Client{Transport: &http.Transport{}}}
	defer a.http.CloseIdleConnections()
	t.configure(true)
	t.eventually(ctx, calmTime, "keys", "every host refuses a withdrawn key", func() bool {
		return a.requestTo(t.hosts[0], RouteApp, keyWithdrawn).Status == http.StatusUnauthorized &&
			a.requestTo(t.hosts[1], RouteApp, keyWithdrawn).Status == http.StatusUnauthorized
	})
	e.CalmFrom = time.Now()
	for _, job := range c.journal.accepted() {
		for _, h := range t.hosts[:fronts] {
			t.eventually(ctx, calmTime, "kept", "job "+job+" is whole at "+h.name, func() bool { return a.whole(h, job) })
		}
	}
	e.Left, e.LeftAt = t.servers[0].server.ID, time.Now()
	t.register(0, "draining")
	time.Sleep(leaveTime)
	for range leaveCalls {
		a.request(RouteStream, keyUsual)
	}
	t.eventually(ctx, idleTime, "left running", "no server runs anything", func() bool { return t.running() == 0 })
	e.StillRunning = t.running()
	t.gather(e, c)
	return e
}

// whole tells whether all results of a job can be read at a host.
func (a *agent) whole(h *host, job string) bool {
	for after := 0; after < jobItems; {
		c := a.read(h, job, after)
		if len(c.Listing.Results) == 0 {
			return false
		}
		after += len(c.Listing.Results)
	}
	return true
}

// serves tells whether every host that callers reach serves requests and jobs.
func (c *Callers) serves() bool {
	a := &agent{callers: &Callers{town: c.town}, random: rand.New(rand.NewPCG(1, 1)), http: &http.Client{Transport: &http.Transport{}}}
	a.callers.serial.Store(time.Now().UnixNano())
	defer a.http.CloseIdleConnections()
	for _, h := range c.town.hosts[:fronts] {
		if a.requestTo(h, RouteApp, keyUsual).Status != http.StatusOK || a.read(h, "none", 0).Status != http.StatusNotFound {
			return false
		}
	}
	return true
}

func (t *Town) running() (n int) {
	for _, s := range t.servers {
		n += s.server.Running()
	}
	return n
}

// eventually waits until something holds. If it doesn't in time, that is a violation.
func (t *Town) eventually(ctx context.Context, limit time.Duration, rule, what string, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(lookEvery) {
		if holds() {
			return true
		}
	}
	if ctx.Err() == nil {
		t.violate(rule, what, fmt.Sprintf("not within %s", limit))
	}
	return false
}

func (t *Town) gather(e *Evidence, c *Callers) {
	c.journal.mu.Lock()
	defer c.journal.mu.Unlock()
	e.Calls, e.Jobs = c.journal.calls, c.journal.jobs
	for _, s := range t.servers {
		_, keys := s.server.Totals()
		e.KeysSeen += keys
		for _, r := range s.server.Runs() {
			e.Runs = append(e.Runs, ServerRun{Run: r, Server: s.server.ID})
		}
	}
}

// mostLines bounds the lines that are printed of each of the first violations.
const mostLines = 30

func (t *Town) finish(r Report, e *Evidence) Report {
	t.mu.Lock()
	r.Violations = append(slices.Clone(t.violations), Check(e)...)
	t.mu.Unlock()
	for _, v := range r.Violations[:min(3, len(r.Violations))] {
		r.LogLines = append(r.LogLines, t.logsOf(v.ID, mostLines)...)
	}
	return r
}
