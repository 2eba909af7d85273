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
// nothing was done or that the outcome is unknown, is sent again. Only a submission is reported as unavailable or over the
// cap at once, unless an earlier call may have taken effect.
func (j *JobsClient) Call(ctx context.Context, call bulk.Call) bulk.Reply {
	shard := bulk.ShardOf(call.Workspace)
	outcomeUnknown := false
	start := time.Now()
	for {
		address := j.view.Address(ownership.Unit(shard.Name()))
		if address != "" {
			r, err := j.client.Call(ctx, address, hostlink.JobsCall{Shard: shard, Call: call})
			if err == nil && isFinal(r.Code, outcomeUnknown) {
				return r
			}
			outcomeUnknown = outcomeUnknown || errors.Is(err, hostlink.ErrNoReply) || r.Code == bulk.OutcomeUnknown
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

// isFinal reports whether a reply ends the call. outcomeUnknown means that an earlier call may have taken effect.
func isFinal(c bulk.Code, outcomeUnknown bool) bool {
	switch c {
	case bulk.Unavailable, bulk.OutcomeUnknown: // the latter comes of an owner that hands its units over; the next one knows the outcome
		return false
	case bulk.OverCap:
		return !outcomeUnknown // the job may be stored
	case bulk.Done, bulk.NotFound, bulk.TooLarge, bulk.IDTaken:
	}
	return true
}

// failure returns the reply for a call that no owner has executed, as far as is known. If one may have taken effect, the
// outcome of a write is unknown.
func (j *JobsClient) failure(call bulk.Call, outcomeUnknown bool) bulk.Reply {
	if outcomeUnknown && (call.Op == bulk.Submit || call.Op == bulk.EndJob) {
		return bulk.Reply{Code: bulk.OutcomeUnknown}
	}
	return bulk.Reply{Code: bulk.Unavailable, RetryAfter: unreachableTimeout}
}
