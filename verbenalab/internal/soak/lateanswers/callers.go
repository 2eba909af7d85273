package lateanswers

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"verbenaledge.example/platform/standin"
)

const (
	// requestDeadline is how long a caller waits. A failure in the last deadlineMargin of it may be that of an earlier run.
	requestDeadline = 3 * time.Second
	deadlineMargin  = 500 * time.Millisecond
	// failsTwicePeriod is the mean number of requests of which one fails in its second run, too.
	failsTwicePeriod = 16
	// startTimeout bounds the time until every entry host serves, startInterval is the time between two attempts.
	startTimeout  = 15 * time.Second
	startInterval = 50 * time.Millisecond
	// routeIdempotent is the route whose requests may run more than once.
	routeIdempotent = "app"
	// warmUp begins the ids of requests that are served by their first run.
	warmUp = "warm-up"
)

// CallersPlan says which requests callers send.
type CallersPlan struct {
	Plan
	// Requests are sent by as many Callers at once as given.
	Requests, Callers int
	// Route is the prefix of the requests' paths.
	Route string
}

// callersTrial sends requests to the entry hosts.
type callersTrial struct {
	plan  CallersPlan
	fleet *fleet

	mu     sync.Mutex
	report Report
	// failed are the requests that failed well before their deadline, with the time that they took.
	failed map[string]time.Duration
}

// MeasureCallers runs the programs beside servers that fail the first run of each request, and some second ones.
func MeasureCallers(ctx context.Context, o Options, p CallersPlan) (r Report, err error) {
	f, err := startFleet(o, p.Plan, "app", func(id string, run int) standin.ServerFault {
		if strings.HasPrefix(id, warmUp) || run > 2 || (run == 2 && p.random(id, 0).IntN(failsTwicePeriod) > 0) {
			return standin.NoFault
		}
		return p.Fault
	})
	if err != nil {
		return r, err
	}
	defer func() { _ = f.close() }() // what fails to stop ends with this process
	if err := f.awaitServing(ctx); err != nil {
		return r, err
	}
	t := &callersTrial{plan: p, fleet: f, failed: make(map[string]time.Duration)}
	began := time.Now()
	var callers sync.WaitGroup
	for n := range p.Callers {
		callers.Go(func() {
			for i := n; i < p.Requests; i += p.Callers {
				t.send(ctx, f.entryHost(i), fmt.Sprintf("call-%d", i))
			}
		})
	}
	callers.Wait()
	t.report.Took = time.Since(began)
	time.Sleep(2 * workWindow.To) // the last runs end
	t.judge()
	return t.report, t.report.finish(f)
}

// awaitServing waits until every entry host serves requests.
func (f *fleet) awaitServing(ctx context.Context) error {
	end := time.Now().Add(startTimeout)
	for n, h := range f.hosts[:hostsPerRole] {
		for i := 0; ; i++ {
			id := fmt.Sprintf("%s-%d-%d", warmUp, n, i)
			status, _, err := h.call(ctx, http.MethodPost, "/"+routeIdempotent+"/x", id, nil, id)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s doesn't serve within %s: status %d, %w", h.name, startTimeout, status, err)
			}
			time.Sleep(startInterval)
		}
	}
	return nil
}

// send sends a request and records its end.
func (t *callersTrial) send(ctx context.Context, h *host, id string) {
	ctx, cancel := context.WithTimeout(ctx, requestDeadline+deadlineMargin)
	defer cancel()
	name, value, _ := strings.Cut(standin.DeadlineHeader(requestDeadline), ": ")
	sent := time.Now()
	status, body, err := h.call(ctx, http.MethodPost, "/"+t.plan.Route+"/x", id, map[string]string{name: value}, id)
	took := time.Since(sent)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		t.report.Other++
	case status == http.StatusOK:
		t.report.Served++
		if string(body) != "answer to "+id {
			t.report.addWrong(t.fleet, id, fmt.Sprintf("answered with %q", body))
		}
	case status == http.StatusInternalServerError || status == http.StatusUnprocessableEntity:
		t.report.Failed++
		if took < requestDeadline-deadlineMargin {
			t.failed[id] = took
		}
	default:
		t.report.Other++
	}
}

// judge counts the failures that the servers' answers don't justify.
func (t *callersTrial) judge() {
	if t.plan.Route != routeIdempotent {
		for n := range t.plan.Requests {
			if id := fmt.Sprintf("call-%d", n); t.fleet.executions(id) > 1 {
				t.report.addWrong(t.fleet, id, "ran more than once")
			}
		}
		return
	}
	for id, took := range t.failed {
		switch {
		case !t.fleet.failureJustified(id):
			t.report.addTooEarly(t.fleet, id, fmt.Sprintf("failed after %s", took.Round(time.Millisecond)))
		case !t.fleet.errorJustified(id):
			t.report.LostAttempts++
		}
	}
}
