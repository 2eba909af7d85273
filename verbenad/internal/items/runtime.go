// Package items runs batch items on the backend servers whose slots this host
// manages. It requests the items from the jobs' owners and reports the outcomes.
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
	"verbenaledge.example/verbena/refusal"
	client "verbenaledge.example/verbenad/internal/backend"
	"verbenaledge.example/verbenad/internal/metric"
)

// OwnerClient calls the owners of jobs.
type OwnerClient interface {
	// Hosts returns the hosts that own at least one shard.
	Hosts() []ids.HostID
	// RequestItems requests up to limit items of a service from an owner.
	RequestItems(ctx context.Context, owner ids.HostID, s ids.ServiceName, limit int) ([]peer.Item, error)
	// ReportOutcomes reports outcomes to the owner of a job.
	ReportOutcomes(ctx context.Context, j ids.JobID, outcomes []peer.ItemOutcome) error
}

// Runtime runs items on the backend servers that this host manages.
type Runtime struct {
	runner   *client.Runner
	owners   OwnerClient
	pool     pond.Pool
	reporter *outcomeReporter

	mu          sync.Mutex
	servers     map[ids.BackendID]*managedServer
	activeItems sync.WaitGroup
}

// NewRuntime returns a runtime without managed servers.
func NewRuntime(ctx context.Context, r *client.Runner, o OwnerClient) *Runtime {
	rt := &Runtime{
		runner: r, owners: o, pool: pond.NewPool(0),
		reporter: newOutcomeReporter(o), servers: map[ids.BackendID]*managedServer{},
	}
	go rt.reporter.run(ctx)
	return rt
}

// SetSlots sets how many items may run on a server, and starts or stops managing it.
func (r *Runtime) SetSlots(ctx context.Context, cmd core.SetSlots) {
	r.mu.Lock()
	s := r.servers[cmd.Server.ID]
	if s == nil {
		if !cmd.Managed {
			r.mu.Unlock()
			return
		}
		ctx, cancel := context.WithCancel(ctx)
		s = &managedServer{runtime: r, server: cmd.Server, running: map[batch.ItemRef]*runningItem{}, wake: make(chan struct{}, 1), stop: cancel}
		r.servers[cmd.Server.ID] = s
		go s.pullItems(ctx)
	}
	if !cmd.Managed {
		delete(r.servers, cmd.Server.ID)
		s.stop()
		time.AfterFunc(finishTimeout, func() { s.setSlots(0, false) })
	}
	r.mu.Unlock()
	s.setSlots(cmd.Slots, cmd.FinishRunning)
}

// finishTimeout is how long items may continue on a server that another host manages
// now. That host can't cancel them to free their slots.
const finishTimeout = 5 * time.Second

// CancelJob cancels a job's running items.
func (r *Runtime) CancelJob(j ids.JobID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		s.cancelJob(j)
	}
}

// WaitIdle waits until no item is running and every outcome has been reported or has
// timed out.
func (r *Runtime) WaitIdle(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.activeItems.Wait()
		close(done)
	}()
	select {
	case <-done:
		r.reporter.waitIdle(ctx)
	case <-ctx.Done():
	}
}

// runningItem is an item that runs on a server.
type runningItem struct {
	startedAt time.Time
	cancel    context.CancelFunc
	yielded   bool
}

// runItem runs an item on a server and returns the outcome.
func (r *Runtime) runItem(ctx context.Context, s backend.Server, item peer.Item) peer.ItemOutcome {
	outcome := peer.ItemOutcome{Ref: item.Ref, Request: requestID(item.Ref)}
	crashed := false
	task := client.Task{
		Workspace: item.Workspace, Service: s.Service, RequestID: outcome.Request,
		Method: http.MethodPost, Path: item.Endpoint, Header: http.Header{"Content-Type": {"application/json"}},
		Body: item.Body, Repeatable: true, BatchItem: true, OnlyServer: s.ID,
		OnCrash: func() { crashed = true },
	}
	refused := r.runner.Run(ctx, task, func(resp *client.Response) (tokens int, callErr *client.CallError) {
		body, err := resp.ReadAll()
		if err != nil {
			return 0, client.AsCallError(err)
		}
		outcome.Status, outcome.Body = resp.Status, body
		return 0, nil
	})
	if refused == nil {
		return outcome
	}
	metric.ItemsRetried.Inc()
	outcome.Status, outcome.Body = 0, nil
	outcome.Reason = refused.Message
	// It is no attempt if no server has started the item, or if the server crashed.
	outcome.Yielded = refused.Run == refusal.NotRun || crashed
	return outcome
}
