package backend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/refusal"
	"verbenaledge.example/verbena/route"
	"verbenaledge.example/verbenad/internal/control"
	"verbenaledge.example/verbenad/internal/metric"
)

// notRunRetryAfter is the Retry-After of a request that no server ran.
const notRunRetryAfter = time.Second

// Runner runs admitted requests on the backend servers that the control loop chooses, and retries them.
type Runner struct {
	loop        *control.Loop
	client      *Client
	maxAttempts int
}

// NewRunner returns a runner that makes at most maxAttempts attempts at a request.
func NewRunner(l *control.Loop, c *Client, maxAttempts int) *Runner {
	return &Runner{loop: l, client: c, maxAttempts: maxAttempts}
}

// Task is a request for the runner.
type Task struct {
	Workspace   ids.WorkspaceID
	Service     ids.ServiceName
	RequestID   ids.RequestID
	Affinity    string
	Fingerprint poison.Fingerprint
	Method      string
	Path        string
	Header      http.Header
	Body        []byte
	// Repeatable allows another attempt after the request may have run.
	Repeatable bool
	// BatchItem is true for an item of a batch job. Items are never the cause of a crash, and have no Fingerprint.
	BatchItem bool
	// OnCrash, if set, is called when a server crashes while it runs the request.
	OnCrash func()
	// BeforeSend, if set, is called immediately before each attempt is sent and may refuse it.
	BeforeSend func() *refusal.Refusal
	// OnlyServer, if set, is the only backend server to try, with a single attempt.
	OnlyServer ids.BackendID
}

// Sink consumes a response. It returns the number of tokens that it has forwarded over all attempts, and an error if
// the response is incomplete or unusable.
type Sink func(r *Response) (tokens int, callErr *CallError)

// Run makes attempts until the sink has taken a complete response or no further attempt is allowed.
func (r *Runner) Run(ctx context.Context, t Task, sink Sink) *refusal.Refusal {
	x := &execution{runner: r, task: t, sink: sink}
	for x.attempt = 1; ; x.attempt++ {
		refused := x.try(ctx)
		if refused != nil || x.done {
			return refused
		}
	}
}

// execution is the state of one request over its attempts.
type execution struct {
	runner  *Runner
	task    Task
	sink    Sink
	attempt int
	tried   []ids.BackendID
	// possibleRuns counts the attempts in which the request may have run.
	possibleRuns int
	tokens       int
	done         bool
	lastErr      *CallError
}

// try makes one attempt. It returns a refusal if no further attempt is allowed.
func (x *execution) try(ctx context.Context) *refusal.Refusal {
	routed, refused := x.route(ctx)
	if refused != nil {
		return x.withRun(refused)
	}
	if x.task.BeforeSend != nil {
		if refused := x.task.BeforeSend(); refused != nil {
			x.reportEnd(routed, route.Abandoned, -1, false)
			return refused
		}
	}
	x.tried = append(x.tried, routed.Server.ID)
	resp, callErr := x.runner.client.Send(ctx, x.request(routed.Server))
	load := -1
	if callErr == nil {
		load = resp.Load
		x.tokens, callErr = x.sink(resp)
		resp.Close()
	}
	if callErr == nil {
		x.done = true
		x.reportEnd(routed, route.OK, load, false)
		if routed.Suspect {
			x.runner.loop.Post(core.SuspectCompleted{Workspace: x.task.Workspace, Fingerprint: x.task.Fingerprint})
		}
		return nil
	}
	x.reportEnd(routed, routeOutcome(callErr), load, callErr.Kind == Leaving)
	return x.retryOrFail(ctx, routed, callErr)
}

func (x *execution) route(ctx context.Context) (routed core.Routed, refused *refusal.Refusal) {
	cmd, err := x.runner.loop.PostAndWait(ctx, func(t core.Ticket) core.Event {
		return core.RouteRequested{
			Ticket: t, Workspace: x.task.Workspace, Fingerprint: x.task.Fingerprint, Retry: x.possibleRuns > 0, Batch: x.task.BatchItem,
			Request: route.Request{Service: x.task.Service, Affinity: x.task.Affinity, Tried: x.tried, Only: x.task.OnlyServer},
		}
	})
	if err != nil {
		return core.Routed{}, refusal.New(refusal.DeadlineExceeded, 0, "the caller has gone")
	}
	switch cmd := cmd.(type) {
	case core.Routed:
		return cmd, nil
	case core.Refused:
		return core.Routed{}, cmd.Refusal
	}
	return core.Routed{}, refusal.New(refusal.NoBackend, 0, "no decision was made")
}

func (x *execution) request(s backend.Server) Request {
	return Request{
		Server: s, ID: ids.RequestID(fmt.Sprintf("%s.%d", x.task.RequestID, x.attempt)),
		Method: x.task.Method, Path: x.task.Path, Header: x.task.Header, Body: x.task.Body, ResumeFrom: x.tokens,
	}
}

func (x *execution) reportEnd(routed core.Routed, o route.Outcome, load int, leaving bool) {
	x.runner.loop.Post(core.BackendCallEnded{
		Backend: routed.Server.ID, Outcome: o, Suspect: routed.Suspect, Batch: x.task.BatchItem, Load: load, Leaving: leaving,
	})
}

// retryOrFail returns nil if another attempt may follow the failed one, and a refusal otherwise.
func (x *execution) retryOrFail(ctx context.Context, routed core.Routed, callErr *CallError) *refusal.Refusal {
	x.lastErr = callErr
	if callErr.Run() != refusal.NotRun {
		x.possibleRuns++
	}
	if callErr.Kind == Crashed && x.task.OnCrash != nil {
		x.task.OnCrash()
	}
	if callErr.Kind == Crashed && !x.task.BatchItem {
		if refused := x.reportCrash(ctx, routed); refused != nil {
			return refused
		}
	}
	if callErr.Kind == Cancelled {
		return x.failure(refusal.DeadlineExceeded)
	}
	if x.attempt >= x.runner.maxAttempts || x.task.OnlyServer != "" || (x.possibleRuns > 0 && !x.task.Repeatable) {
		return x.failure(refusal.BackendFailed)
	}
	metric.RequestsRetried.Inc()
	if x.tokens > 0 {
		metric.StreamsResumed.Inc()
	}
	return nil
}

// reportCrash reports a crash to all hosts before the caller learns of it and can resend the request. It returns a
// refusal if the request may not be retried.
func (x *execution) reportCrash(ctx context.Context, routed core.Routed) *refusal.Refusal {
	verdict, err := reportUntilConfirmed(context.WithoutCancel(ctx), func(ctx context.Context) (core.CrashVerdict, error) {
		cmd, err := x.runner.loop.PostAndWait(ctx, func(t core.Ticket) core.Event {
			return core.CrashDetected{Ticket: t, Workspace: x.task.Workspace, Fingerprint: x.task.Fingerprint, Backend: routed.Server.ID}
		})
		verdict, _ := cmd.(core.CrashVerdict)
		return verdict, err
	})
	switch {
	case err != nil:
		return x.failure(refusal.BackendFailed)
	case verdict.Verdict == poison.Poisonous:
		r := refusal.New(refusal.Poisonous, 0, "this request has taken down %d backend servers and isn't run again", poison.MaxCrashedBackends)
		return r.WithRun(refusal.Ran)
	case !verdict.Confirmed:
		return x.failure(refusal.BackendFailed)
	}
	return nil
}

// withRun adds to a routing refusal whether an earlier attempt may have run.
func (x *execution) withRun(r *refusal.Refusal) *refusal.Refusal {
	if x.lastErr == nil {
		return r
	}
	return r.WithRun(x.overallRun())
}

func (x *execution) failure(code refusal.Code) *refusal.Refusal {
	r := refusal.New(code, 0, "%s", x.lastErr.Reason).WithRun(x.overallRun())
	if r.Run == refusal.NotRun {
		r.RetryAfter = notRunRetryAfter
	}
	return r
}

// overallRun returns whether the request ran in any attempt.
func (x *execution) overallRun() refusal.Run {
	if x.possibleRuns == 0 {
		return refusal.NotRun
	}
	if x.lastErr != nil && x.lastErr.Run() == refusal.Ran {
		return refusal.Ran
	}
	return refusal.Unknown
}

func routeOutcome(e *CallError) route.Outcome {
	switch e.Kind {
	case Cancelled, ServerError:
		return route.Abandoned
	case Leaving:
		return route.Abandoned
	default:
		return route.Failed
	}
}

// AsCallError returns the CallError in an error of Read or ReadAll.
func AsCallError(err error) *CallError {
	var callErr *CallError
	if errors.As(err, &callErr) {
		return callErr
	}
	return &CallError{Kind: Crashed, Reason: err.Error()}
}
