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
	// askAgain is the pause before a question goes out again.
	askAgain = 100 * time.Millisecond
	// awayFor is how long a call waits for an owner that can't be reached; a restart takes about as long.
	awayFor = 700 * time.Millisecond
)

// JobsClient asks the owners of batch jobs.
type JobsClient struct {
	view   *View
	caller *hostlink.RPCClient
}

// NewJobsClient returns a client that finds owners in a view.
func NewJobsClient(v *View, c *hostlink.RPCClient) *JobsClient {
	return &JobsClient{view: v, caller: c}
}

// Call asks the owner of the workspace's shard. All calls may be repeated, so a question without an
// answer goes out again; only if none came in the end is it unsettled.
func (j *JobsClient) Call(ctx context.Context, call bulk.Call) bulk.Reply {
	shard := bulk.ShardOf(call.Workspace)
	unsettled := false
	start := time.Now()
	for {
		address := j.view.Address(ownership.Unit(shard.Name()))
		if address != "" {
			r, err := j.caller.Call(ctx, address, hostlink.JobsCall{Shard: shard, Call: call})
			if err == nil && r.Code != bulk.Unavailable {
				return r
			}
			unsettled = unsettled || errors.Is(err, hostlink.ErrNoAnswer)
			if err == nil && r.Code == bulk.Unavailable && call.Op == bulk.Submit && !unsettled {
				return r
			}
		}
		if ctx.Err() != nil || !unsettled && time.Since(start) > awayFor {
			return j.giveUp(call, unsettled)
		}
		clock.Sleep(ctx, askAgain)
	}
}

func (j *JobsClient) giveUp(call bulk.Call, unsettled bool) bulk.Reply {
	if unsettled && (call.Op == bulk.Submit || call.Op == bulk.EndJob) {
		return bulk.Reply{Code: bulk.OutcomeUnknown}
	}
	return bulk.Reply{Code: bulk.Unavailable, RetryAfter: awayFor}
}
