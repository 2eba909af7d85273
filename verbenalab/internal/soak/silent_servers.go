package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// silentServersCallers send one request after another on kept connections, a quarter of them streams.
	silentServersCallers = 60
	// silentServersRate is a rate limit far above the rate of these callers.
	silentServersRate      = 10_000
	silentServersObjective = 300 * time.Millisecond
	silentServersEventGap  = 200 * time.Millisecond
	// silenceCount silences of all servers begin every silenceInterval and last silenceDuration.
	silenceCount    = 4
	silenceInterval = 3 * time.Second
	silenceDuration = 1200 * time.Millisecond
	// stopBeforeSilence is the time from the SIGTERM of an entry host to a silence. The host starts again restartAfter it.
	stopBeforeSilence = 400 * time.Millisecond
	restartAfter      = 4 * time.Second
	// longStreamEvents and longEventInterval make streams last longer than a silence.
	longStreamEvents  = 40
	longEventInterval = 60 * time.Millisecond
	// routeTimeout is that of all routes. Calls that have used timeoutShare of it may end without an answer.
	routeTimeout = 5 * time.Second
	timeoutShare = 0.9
)

// SilentServersReport is what callers saw while sound servers fell silent and entry hosts were stopped in order.
type SilentServersReport struct {
	// Answered counts the whole answers, Refused the answers of the system itself by status.
	Answered int
	Refused  map[int]int
	// Reasons counts the reasons that the hosts' logs give for refusals and for requests without a whole answer.
	Reasons map[string]int
	// Lost describes the requests that ran and ended without a whole answer although their route's time wasn't over.
	Lost []string
}

// MeasureSilentServers runs the programs while entry hosts are stopped in order and started again, and all servers fall
// silent several times for a second or so.
func MeasureSilentServers(ctx context.Context, o Options, silences int) (r SilentServersReport, err error) {
	o.Rate, o.objective, o.eventGap = silentServersRate, silentServersObjective, silentServersEventGap
	e, err := NewEnvironment(o)
	if err != nil {
		return r, err
	}
	defer func() { _ = e.Close() }() // what fails to stop ends with this process
	for _, s := range e.servers {
		s.server.Events, s.server.Slots = longStreamEvents, silentServersCallers
		s.server.SetPause(longEventInterval)
	}
	c := &Callers{env: e}
	if !e.eventually(ctx, startTimeout, "start", "every host serves", c.allServing) {
		return r, fmt.Errorf("hosts don't serve within %s", startTimeout)
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	for n := range silentServersCallers {
		ca := &caller{
			group: c, random: rand.New(rand.NewPCG(o.Seed, uint64(n))), client: &http.Client{Transport: &http.Transport{}}, neverAbandons: true,
			body: "the same question", chunked: true,
		}
		c.running.Go(func() {
			defer ca.client.CloseIdleConnections()
			for running.Err() == nil {
				ca.sendSame(n)
			}
		})
	}
	e.silenceServers(running, silences)
	stop()
	c.Wait()
	return e.reportSilentServers(c), ctx.Err()
}

// sendSame sends a request that is the same each time, and for all callers of a route.
func (ca *caller) sendSame(n int) {
	h := ca.group.env.hosts[n%entryHosts]
	route := []Route{RouteResume, RouteApp, RouteOnce, RouteApp}[n/entryHosts%4]
	if c := ca.requestWithHeader(h, route, keyWithinRate, nil); c.Status != http.StatusOK {
		time.Sleep(pollInterval)
	}
}

// silenceServers makes all servers silent several times. Every other silence begins shortly after an entry host was told to stop.
func (e *Environment) silenceServers(ctx context.Context, silences int) {
	var restarts sync.WaitGroup
	defer restarts.Wait()
	for n := range silences {
		sleepUnlessDone(ctx, silenceInterval-silenceDuration-stopBeforeSilence)
		if h := e.hosts[n/2%entryHosts]; n%2 == 0 {
			h.stop()
			restarts.Go(func() {
				sleepUnlessDone(ctx, restartAfter)
				h.ensureRunning()
			})
		}
		sleepUnlessDone(ctx, stopBeforeSilence)
		e.setSilent(true)
		sleepUnlessDone(ctx, silenceDuration)
		e.setSilent(false)
	}
	sleepUnlessDone(ctx, silenceInterval)
}

func (e *Environment) setSilent(on bool) {
	for _, s := range e.servers {
		s.server.SetSilent(on)
	}
}

func sleepUnlessDone(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// reportSilentServers counts the answers, and finds the requests that ran and ended too early.
func (e *Environment) reportSilentServers(c *Callers) (r SilentServersReport) {
	r.Refused, r.Reasons = make(map[int]int), e.reasons()
	for _, cl := range c.journal.calls {
		whole := cl.Complete && cl.Status == http.StatusOK && cl.isWhole()
		switch {
		case whole:
			r.Answered++
			continue
		case cl.Status != 0 && cl.Status != http.StatusOK:
			r.Refused[cl.Status]++
		}
		took := cl.Ended.Sub(cl.Sent)
		if e.ran(cl.ID) && took < time.Duration(timeoutShare*float64(routeTimeout)) {
			r.Lost = append(r.Lost, fmt.Sprintf("%s %s at %s: status %d, %d events, after %s", cl.ID, cl.Route, cl.Host, cl.Status, cl.completeEvents(), took))
		}
	}
	return r
}

func (c Call) isWhole() bool { return c.Route != RouteResume || c.completeEvents() == longStreamEvents }

func (e *Environment) ran(id string) bool {
	for _, s := range e.servers {
		if s.server.RunCount(id) > 0 {
			return true
		}
	}
	return false
}

// reasons counts the reasons in the entry hosts' logs of requests that got no whole answer, by outcome.
func (e *Environment) reasons() map[string]int {
	count := make(map[string]int)
	for _, h := range e.hosts[:entryHosts] {
		raw, err := os.ReadFile(h.logFile())
		if err != nil {
			continue // the host never started
		}
		for l := range strings.SplitSeq(string(raw), "\n") {
			var line struct {
				Message string `json:"message"`
				Fields  struct {
					Outcome string `json:"outcome"`
					Reason  string `json:"reason"`
				} `json:"fields"`
			}
			if json.Unmarshal([]byte(l), &line) != nil {
				continue // a crash report, which checkProcesses reads
			}
			if ended := line.Message == "request ended" && line.Fields.Outcome != "answered"; ended || line.Message == "request refused" {
				count[line.Fields.Outcome+" "+line.Fields.Reason]++
			}
		}
	}
	return count
}
