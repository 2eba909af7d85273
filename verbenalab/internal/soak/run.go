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
	// startTimeout and recoveryTimeout bound the time until all hosts serve, at the start and after the last fault.
	startTimeout    = 40 * time.Second
	recoveryTimeout = 60 * time.Second
	// pollInterval is the time between checks of the processes and of awaited conditions.
	pollInterval = 100 * time.Millisecond
	// requestsAfterDrain is the number of requests that are sent while a server drains after recovery.
	requestsAfterDrain = 12
	// idleTimeout bounds the time until servers notice that their callers have disconnected.
	idleTimeout = 10 * time.Second
)

// Report is the result of a run.
type Report struct {
	Seed uint64
	Plan Plan
	// Statuses counts the requests by response status, 0 if none arrived.
	Statuses map[int]int
	// Jobs counts the accepted jobs that weren't cancelled.
	Jobs int
	// TakeUps counts the attempts that took a stream up, TakeUpsServed those of them that were served.
	TakeUps, TakeUpsServed int
	Violations             []Violation
	// LogLines are the log lines of all hosts about the first three violations.
	LogLines []string
}

// Run runs the programs, injects the faults of the seed's plan and checks all guarantees.
func Run(ctx context.Context, o Options) (r Report, err error) {
	o.mixedVersions = true
	r = Report{Seed: o.Seed, Plan: NewPlan(o.Seed, o.Duration), Statuses: make(map[int]int)}
	e, err := NewEnvironment(o)
	if err != nil {
		return r, err
	}
	defer func() { _ = e.Close() }() // what fails to stop ends with this process
	c := &Callers{env: e}
	if !e.eventually(ctx, startTimeout, "start", "every host serves", c.allServing) {
		return e.finishReport(r, &Evidence{}), ctx.Err()
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	c.Start(callersCtx)
	e.injectFaults(ctx, r.Plan)
	e.recoverAll()
	e.eventually(ctx, recoveryTimeout, "recovery", "every host serves", c.allServing)
	stopCallers()
	c.Wait()
	e.measureCut(ctx, c, finalCut(o.Seed))
	e.eventually(ctx, recoveryTimeout, "recovery", "every host serves after a cut", c.allServing)
	ev := e.checkRecovered(ctx, c)
	for _, cl := range ev.Calls {
		r.Statuses[cl.Status]++
	}
	r.TakeUps, r.TakeUpsServed = countTakeUps(ev.Calls)
	r.Jobs = len(c.journal.acceptedJobs())
	return e.finishReport(r, ev), ctx.Err()
}

// injectFaults starts and ends the faults of a plan at their times.
func (e *Environment) injectFaults(ctx context.Context, p Plan) {
	start := time.Now()
	var ends sync.WaitGroup
	defer ends.Wait()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for _, f := range p {
		for time.Since(start) < f.At && ctx.Err() == nil {
			<-ticker.C
			for _, h := range e.hosts {
				h.checkCrashed()
			}
		}
		began := time.Now()
		f.Kind.fault().begin(e, f.Target)
		ends.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(f.Duration):
			}
			f.Kind.fault().end(e, f.Target)
			e.addDisturbance(f, began)
		})
	}
}

// checkRecovered checks what must hold once all faults have ended, and collects the evidence.
func (e *Environment) checkRecovered(ctx context.Context, c *Callers) (ev *Evidence) {
	ev = &Evidence{ItemsPerJob: jobItems, RecoveredAt: time.Now()}
	ca := &caller{group: c, random: rand.New(rand.NewPCG(e.options.Seed, 1)), client: &http.Client{Transport: &http.Transport{}}}
	defer ca.client.CloseIdleConnections()
	e.writeConfiguration(true)
	e.eventually(ctx, recoveryTimeout, "keys", "every host refuses a withdrawn key", func() bool {
		return ca.requestTo(e.hosts[0], RouteApp, keyWithdrawn).Status == http.StatusUnauthorized &&
			ca.requestTo(e.hosts[1], RouteApp, keyWithdrawn).Status == http.StatusUnauthorized
	})
	ev.RecoveredAt = time.Now()
	for _, j := range c.journal.acceptedJobs() {
		for _, h := range e.hosts[:entryHosts] {
			e.eventually(ctx, recoveryTimeout, "kept", "job "+j+" is complete at "+h.name, func() bool { return ca.hasAllResults(h, j) })
		}
	}
	ev.Containment = e.measureContainment(ctx, c)
	ev.DrainedServer, ev.DrainedAt = e.servers[0].server.ID, time.Now()
	e.registerServer(0, "draining")
	if e.options.FormerProgramsDir == "" { // a former build may not know evacuations
		e.evacuate(ev)
	}
	time.Sleep(max(drainingGrace, evacuationTimeout))
	for range requestsAfterDrain {
		ca.request(RouteStream, keyWithinRate)
	}
	e.eventually(ctx, idleTimeout, "left running", "no server runs a request", func() bool { return e.runningRequests() == 0 })
	ev.StillRunning = e.runningRequests()
	ev.LimitPeriods, ev.Disturbances, ev.HostFaults, ev.CutPeriods = e.limitPeriods(), e.disturbances, e.hostFaults, e.cutPeriods
	e.collect(ev, c)
	return ev
}

// hasAllResults reports whether all results of a job can be read at a host.
func (ca *caller) hasAllResults(h *host, job string) bool {
	for after := 0; after < jobItems; {
		c := ca.readJob(h, job, after)
		if len(c.Listing.Results) == 0 {
			return false
		}
		after += len(c.Listing.Results)
	}
	return true
}

// allServing reports whether every entry host serves requests and jobs.
func (c *Callers) allServing() bool {
	ca := &caller{group: &Callers{env: c.env}, random: rand.New(rand.NewPCG(1, 1)), client: &http.Client{Transport: &http.Transport{}}}
	ca.group.lastID.Store(time.Now().UnixNano())
	defer ca.client.CloseIdleConnections()
	for _, h := range c.env.hosts[:entryHosts] {
		if ca.requestTo(h, RouteApp, keyWithinRate).Status != http.StatusOK || ca.readJob(h, "none", 0).Status != http.StatusNotFound {
			return false
		}
	}
	return true
}

func (e *Environment) runningRequests() (n int) {
	for _, s := range e.servers {
		n += s.server.Running()
	}
	return n
}

// eventually waits for a condition and records a violation if it isn't met in time.
func (e *Environment) eventually(ctx context.Context, timeout time.Duration, rule, description string, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	if ctx.Err() == nil {
		e.addViolation(rule, description, fmt.Sprintf("not within %s", timeout))
	}
	return false
}

func (e *Environment) collect(ev *Evidence, c *Callers) {
	c.journal.mu.Lock()
	defer c.journal.mu.Unlock()
	ev.Calls, ev.JobCalls = c.journal.calls, c.journal.jobCalls
	for _, s := range e.servers {
		_, keys := s.server.Totals()
		ev.LeakedKeys += keys
		for _, r := range s.server.Runs() {
			ev.ServerRuns = append(ev.ServerRuns, ServerRun{Run: r, Server: s.server.ID})
		}
	}
}

// maxLogLines bounds the log lines that are reported for a violation.
const maxLogLines = 30

// finishReport stops the processes and checks the evidence.
func (e *Environment) finishReport(r Report, ev *Evidence) Report {
	e.stopHosts(ev)
	e.mu.Lock()
	r.Violations = append(slices.Clone(e.violations), Check(ev)...)
	e.mu.Unlock()
	for _, v := range r.Violations[:min(3, len(r.Violations))] {
		r.LogLines = append(r.LogLines, e.logLines(v.ID, maxLogLines)...)
	}
	return r
}
