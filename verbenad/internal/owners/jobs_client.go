package owners

import (
	"context"
	"errors"
	"time"

	"verbenaledge.example/verbena/clock"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ownership"
	"verbenaledge.example/verbenad/internal/hostlink"
)

const (
	// callRetryPause is the pause before a call is sent again.
	callRetryPause = 100 * time.Millisecond
	// unreachableTimeout is how long a call waits for an unreachable owner; a restart takes about as long.
	unreachableTimeout = 700 * time.Millisecond
)

// JobsClient calls the owners of batch jobs.
type JobsClient struct {
	view   *View
	caller *hostlink.RPCClient
}

// NewJobsClient returns a client that finds owners in a view.
func NewJobsClient(v *View, c *hostlink.RPCClient) *JobsClient {
	return &JobsClient{view: v, caller: c}
}

// Call calls the owner of the workspace's shard. All calls may be repeated, so one without an answer is sent
// again; the outcome is unknown only if no attempt is answered.
func (j *JobsClient) Call(ctx context.Context, call bulk.Call) bulk.Reply {
	shard := bulk.ShardOf(call.Workspace)
	outcomeUnknown := false
	start := time.Now()
	for {
		address := j.view.Address(ownership.Unit(shard.Name()))
		if address != "" {
			r, err := j.caller.Call(ctx, address, hostlink.JobsCall{Shard: shard, Call: call})
			if err == nil && r.Code != bulk.Unavailable {
				return r
			}
			outcomeUnknown = outcomeUnknown || errors.Is(err, hostlink.ErrNoReply)
			if err == nil && r.Code == bulk.Unavailable && call.Op == bulk.Submit && !outcomeUnknown {
				return r
			}
		}
		if ctx.Err() != nil || !outcomeUnknown && time.Since(start) > unreachableTimeout {
			return j.failure(call, outcomeUnknown)
		}
		clock.Sleep(ctx, callRetryPause)
	}
}

func (j *JobsClient) failure(call bulk.Call, outcomeUnknown bool) bulk.Reply {
	if outcomeUnknown && (call.Op == bulk.Submit || call.Op == bulk.EndJob) {
		return bulk.Reply{Code: bulk.OutcomeUnknown}
	}
	return bulk.Reply{Code: bulk.Unavailable, RetryAfter: unreachableTimeout}
}
