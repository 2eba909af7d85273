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
	client *hostlink.RPCClient
}

// NewJobsClient returns a client that finds owners in a view.
func NewJobsClient(v *View, c *hostlink.RPCClient) *JobsClient {
	return &JobsClient{view: v, client: c}
}

// Call calls the owner of the workspace's shard. All calls may be repeated, so one that got no reply, or the reply that
// nothing was done, is sent again. Only a submission is reported as unavailable or over the cap at once, unless an earlier
// reply to it was lost.
func (j *JobsClient) Call(ctx context.Context, call bulk.Call) bulk.Reply {
	shard := bulk.ShardOf(call.Workspace)
	outcomeUnknown := false
	start := time.Now()
	for {
		address := j.view.Address(ownership.Unit(shard.Name()))
		if address != "" {
			r, err := j.client.Call(ctx, address, hostlink.JobsCall{Shard: shard, Call: call})
			// Over the cap means not stored only if no earlier owner may have stored the job.
			if err == nil && r.Code != bulk.Unavailable && (r.Code != bulk.OverCap || !outcomeUnknown) {
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

// failure returns the reply for a call that no owner has executed, as far as is known. If a reply was lost, the outcome
// of a write is unknown.
func (j *JobsClient) failure(call bulk.Call, outcomeUnknown bool) bulk.Reply {
	if outcomeUnknown && (call.Op == bulk.Submit || call.Op == bulk.EndJob) {
		return bulk.Reply{Code: bulk.OutcomeUnknown}
	}
	return bulk.Reply{Code: bulk.Unavailable, RetryAfter: unreachableTimeout}
}
