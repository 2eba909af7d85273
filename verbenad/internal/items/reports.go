package items

import (
	"context"
	"sync"
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/peer"
)

const (
	reportEvery = 20 * time.Millisecond
	// reportPatience is how long an outcome is offered to whoever owns its job;
	// after that the owner takes the item for lost.
	reportPatience = 30 * time.Second
	reportPause    = 250 * time.Millisecond
	maxReport      = 200
)

// reports brings outcomes to the owners of their jobs, several at a time.
type reports struct {
	owners OwnerClient

	mu      sync.Mutex
	waiting map[ids.JobID][]outcome
	open    int
}

type outcome struct {
	peer.ItemOutcome
	since time.Time
}

func newReports(o OwnerClient) *reports {
	return &reports{owners: o, waiting: map[ids.JobID][]outcome{}}
}

func (r *reports) add(o peer.ItemOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[o.Ref.Job] = append(r.waiting[o.Ref.Job], outcome{o, time.Now()})
	r.open++
}

func (r *reports) run(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for j, list := range r.take() {
			go r.send(ctx, j, list)
		}
	}
}

func (r *reports) take() map[ids.JobID][]outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.waiting
	r.waiting = map[ids.JobID][]outcome{}
	return taken
}

func (r *reports) send(ctx context.Context, j ids.JobID, list []outcome) {
	for len(list) > 0 {
		n := min(len(list), maxReport)
		r.sendSome(ctx, j, list[:n])
		list = list[n:]
	}
}

func (r *reports) sendSome(ctx context.Context, j ids.JobID, list []outcome) {
	defer func() {
		r.mu.Lock()
		r.open -= len(list)
		r.mu.Unlock()
	}()
	plain := make([]peer.ItemOutcome, 0, len(list))
	for _, o := range list {
		plain = append(plain, o.ItemOutcome)
	}
	for time.Since(list[0].since) < reportPatience && ctx.Err() == nil {
		if r.owners.ReportOutcomes(ctx, j, plain) == nil {
			return
		}
		time.Sleep(reportPause)
	}
}

// wait returns when every outcome has been brought back or given up on.
func (r *reports) wait(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		open := r.open
		r.mu.Unlock()
		if open == 0 {
			return
		}
		time.Sleep(reportEvery)
	}
}
