package items

import (
	"context"
	"sync"
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/peer"
)

const (
	reportInterval = 20 * time.Millisecond
	// reportTimeout limits the attempts to report an outcome to the owner of its job.
	// After that, the owner considers the item lost.
	reportTimeout        = 30 * time.Second
	reportRetryDelay     = 250 * time.Millisecond
	maxOutcomesPerReport = 200
)

// outcomeReporter reports outcomes to the owners of their jobs, in batches.
type outcomeReporter struct {
	owners OwnerClient

	mu         sync.Mutex
	waiting    map[ids.JobID][]waitingOutcome
	unreported int
}

type waitingOutcome struct {
	peer.ItemOutcome
	addedAt time.Time
}

func newOutcomeReporter(o OwnerClient) *outcomeReporter {
	return &outcomeReporter{owners: o, waiting: map[ids.JobID][]waitingOutcome{}}
}

func (r *outcomeReporter) add(o peer.ItemOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[o.Ref.Job] = append(r.waiting[o.Ref.Job], waitingOutcome{o, time.Now()})
	r.unreported++
}

func (r *outcomeReporter) run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for j, ws := range r.takeWaiting() {
			go r.send(ctx, j, ws)
		}
	}
}

func (r *outcomeReporter) takeWaiting() map[ids.JobID][]waitingOutcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := r.waiting
	r.waiting = map[ids.JobID][]waitingOutcome{}
	return waiting
}

func (r *outcomeReporter) send(ctx context.Context, j ids.JobID, list []waitingOutcome) {
	for len(list) > 0 {
		n := min(len(list), maxOutcomesPerReport)
		r.sendReport(ctx, j, list[:n])
		list = list[n:]
	}
}

func (r *outcomeReporter) sendReport(ctx context.Context, j ids.JobID, list []waitingOutcome) {
	defer func() {
		r.mu.Lock()
		r.unreported -= len(list)
		r.mu.Unlock()
	}()
	outcomes := make([]peer.ItemOutcome, 0, len(list))
	for _, o := range list {
		outcomes = append(outcomes, o.ItemOutcome)
	}
	for time.Since(list[0].addedAt) < reportTimeout && ctx.Err() == nil {
		if r.owners.ReportOutcomes(ctx, j, outcomes) == nil {
			return
		}
		time.Sleep(reportRetryDelay)
	}
}

// waitIdle waits until every outcome has been reported or has timed out.
func (r *outcomeReporter) waitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		unreported := r.unreported
		r.mu.Unlock()
		if unreported == 0 {
			return
		}
		time.Sleep(reportInterval)
	}
}
