package lateanswers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"verbenaledge.example/platform/standin"
)

const (
	// itemsTimeout bounds the time until all items are listed.
	itemsTimeout = 2 * time.Minute
	readInterval = 200 * time.Millisecond
)

// percent is the denominator of Plan.FaultShare.
const percent = 100

// ItemsPlan says which batch jobs are submitted.
type ItemsPlan struct {
	Plan
	// Jobs are submitted by as many Callers as given, each of which waits for the end of one job before the next.
	Jobs, ItemsPerJob, Callers int
}

// itemsTrial submits batch jobs and reads them to their ends.
type itemsTrial struct {
	plan  ItemsPlan
	fleet *fleet

	mu     sync.Mutex
	report Report
	// errored are the items that are listed as errored.
	errored []string
	errs    []error
}

// MeasureItems runs the programs beside servers that fail some runs of items.
func MeasureItems(ctx context.Context, o Options, p ItemsPlan) (r Report, err error) {
	f, err := startFleet(o, p.Plan, "llm", func(id string, run int) standin.ServerFault {
		// The first draw of a run's source is how long it takes.
		random := p.random(id, run)
		if workWindow.pick(random); random.IntN(percent) < p.FaultShare {
			return p.Fault
		}
		return standin.NoFault
	})
	if err != nil {
		return r, err
	}
	defer func() { _ = f.close() }() // what fails to stop ends with this process
	t := &itemsTrial{plan: p, fleet: f}
	began := time.Now()
	var jobs sync.WaitGroup
	ctx, cancel := context.WithTimeout(ctx, itemsTimeout)
	defer cancel()
	for n := range p.Callers {
		jobs.Go(func() {
			for i := n; i < p.Jobs; i += p.Callers {
				t.runJob(ctx, f.entryHost(i), fmt.Sprintf("job%d", i))
			}
		})
	}
	jobs.Wait()
	t.report.Took = time.Since(began)
	time.Sleep(2 * workWindow.To) // the last runs end
	for _, id := range t.errored {
		if !f.errorJustified(id) {
			t.report.addTooEarly(f, id, "errored")
		}
	}
	return t.report, errors.Join(append(t.errs, t.report.finish(f))...)
}

// runJob submits a job until a host accepts it, and reads its results until all items are listed.
func (t *itemsTrial) runJob(ctx context.Context, h *host, id string) {
	err := t.submitJob(ctx, h, id)
	if err == nil {
		err = t.readJob(ctx, h, id)
	}
	if err != nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.errs = append(t.errs, fmt.Errorf("run job %s: %w", id, err))
	}
}

func (t *itemsTrial) submitJob(ctx context.Context, h *host, id string) error {
	body, err := standin.JobBody(id, t.plan.ItemsPerJob)
	if err != nil {
		return err
	}
	for status := 0; status != http.StatusAccepted; time.Sleep(startInterval) {
		if status, _, err = h.call(ctx, http.MethodPost, "/batch/x", id, standin.StreamHeaders(), string(body)); ctx.Err() != nil {
			return fmt.Errorf("not accepted, status %d: %w", status, errors.Join(ctx.Err(), err))
		}
	}
	return nil
}

func (t *itemsTrial) readJob(ctx context.Context, h *host, id string) error {
	for next, read := 0, 0; next < t.plan.ItemsPerJob; read++ {
		status, raw, err := h.call(ctx, http.MethodGet, standin.JobPath(id, next), fmt.Sprintf("read-%s-%d", id, read), nil, "")
		if ctx.Err() != nil {
			return fmt.Errorf("%d of %d items listed: status %d, %w", next, t.plan.ItemsPerJob, status, ctx.Err())
		}
		var listing standin.JobListing
		if err == nil && status == http.StatusOK {
			if err := json.Unmarshal(raw, &listing); err != nil {
				return err
			}
			next = listing.Next
			t.record(listing.Results)
		}
		time.Sleep(readInterval)
	}
	return nil
}

// record counts results.
func (t *itemsTrial) record(results []standin.ItemResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range results {
		switch {
		case r.State != "completed":
			t.report.Failed++
			t.errored = append(t.errored, r.ID)
		case r.Output != wholeOutput(r.ID):
			t.report.Served++
			t.report.addWrong(t.fleet, r.ID, fmt.Sprintf("output %q", r.Output))
		default:
			t.report.Served++
		}
	}
}

// wholeOutput returns the output of an item that ran to its end.
func wholeOutput(id string) string {
	lines := make([]string, 0, streamEvents)
	for n := 1; n <= streamEvents; n++ {
		lines = append(lines, standin.EventText(id, n))
	}
	return strings.Join(lines, "\n")
}
