// Package items runs batch items on the backend servers whose slots this host
// manages: it takes them from the jobs' owners and brings the outcomes back.
package items

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/refusal"
	client "verbenaledge.example/verbenad/internal/backend"
	"verbenaledge.example/verbenad/internal/metric"
)

// Owners speaks to the owners of jobs.
type OwnerClient interface {
	// Hosts returns the hosts that own any shard.
	Hosts() []ids.HostID
	// Ask takes up to a number of items of a service from an owner.
	RequestItems(ctx context.Context, owner ids.HostID, s ids.ServiceName, limit int) ([]peer.Item, error)
	// Done brings outcomes to the owner of a job.
	ReportOutcomes(ctx context.Context, j ids.JobID, outcomes []peer.ItemOutcome) error
}

// Runtime runs items.
type Runtime struct {
	runner  *client.Runner
	owners  OwnerClient
	pool    pond.Pool
	reports *reports

	mu      sync.Mutex
	servers map[ids.BackendID]*server
	active  sync.WaitGroup
}

// NewRuntime returns a runtime that manages no server yet.
func NewRuntime(ctx context.Context, r *client.Runner, o OwnerClient) *Runtime {
	rt := &Runtime{
		runner: r, owners: o, pool: pond.NewPool(0),
		reports: newReports(o), servers: map[ids.BackendID]*server{},
	}
	go rt.reports.run(ctx)
	return rt
}

// SetSlots sets how many items run on a server.
func (r *Runtime) SetSlots(ctx context.Context, cmd core.SetSlots) {
	r.mu.Lock()
	s := r.servers[cmd.Server.ID]
	if s == nil {
		if !cmd.Managed {
			r.mu.Unlock()
			return
		}
		ctx, cancel := context.WithCancel(ctx)
		s = &server{runtime: r, server: cmd.Server, running: map[batch.ItemRef]*run{}, wake: make(chan struct{}, 1), stop: cancel}
		r.servers[cmd.Server.ID] = s
		go s.pull(ctx)
	}
	if !cmd.Managed {
		delete(r.servers, cmd.Server.ID)
		s.stop()
		time.AfterFunc(finishLimit, func() { s.set(0, false) })
	}
	r.mu.Unlock()
	s.set(cmd.Slots, cmd.FinishRunning)
}

// finishLimit is how long items go on at a server that another host manages now,
// where nobody makes them yield.
const finishLimit = 5 * time.Second

// StopJob cancels a job's items.
func (r *Runtime) CancelJob(j ids.JobID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		s.stopJob(j)
	}
}

// Wait returns when no item runs and every outcome has been brought back.
func (r *Runtime) WaitIdle(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		r.reports.wait(ctx)
	case <-ctx.Done():
	}
}

// run is one running item.
type run struct {
	started time.Time
	cancel  context.CancelFunc
	yielded bool
}

// execute runs an item on a server and reports the outcome.
func (r *Runtime) execute(ctx context.Context, s backend.Server, item peer.Item) peer.ItemOutcome {
	out := peer.ItemOutcome{Ref: item.Ref, Request: requestID(item.Ref)}
	job := client.Task{
		Workspace: item.Workspace, Service: s.Service, RequestID: out.Request,
		Fingerprint: poison.FingerprintOf(item.Workspace, item.Endpoint, item.Body),
		Method:      http.MethodPost, Path: item.Endpoint, Header: http.Header{"Content-Type": {"application/json"}},
		Body: item.Body, Repeatable: true, BatchItem: true, OnlyServer: s.ID,
	}
	refused := r.runner.Run(ctx, job, func(a *client.Response) (tokens int, fault *client.CallError) {
		body, err := a.ReadAll()
		if err != nil {
			return 0, client.AsCallError(err)
		}
		out.Status, out.Body = a.Status, body
		return 0, nil
	})
	if refused == nil {
		return out
	}
	metric.ItemsRetried.Inc()
	out.Status, out.Body = 0, nil
	out.Reason = refused.Message
	out.Poisonous = refused.Code == refusal.Poisonous
	// What no server has taken is no attempt.
	out.Yielded = refused.Run == refusal.NotRun && !out.Poisonous
	return out
}
