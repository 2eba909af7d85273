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

// notRunPause is when a caller may come back whose request no server took.
const notRunPause = time.Second

// Runner runs admitted requests: it asks the decisions where, and whether again.
type Runner struct {
	loop     *control.Loop
	client   *Client
	attempts int
}

// NewRunner returns a runner that tries a request a number of times.
func NewRunner(l *control.Loop, c *Client, attempts int) *Runner {
	return &Runner{loop: l, client: c, attempts: attempts}
}

// Job is a request as the runner needs it.
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
	// Repeatable allows another try after the request may have run.
	Repeatable bool
	// Batch is true for an item of a batch job.
	BatchItem bool
	// BeforeSend, when set, is the last check before the request leaves.
	BeforeSend func() *refusal.Refusal
	// Only, when set, is the one backend server to be tried, once.
	OnlyServer ids.BackendID
}

// Sink takes an answer. It returns a fault if the answer broke off, and the
// number of tokens that have been passed on in all.
type Sink func(a *Response) (tokens int, fault *CallError)

// Run makes attempts until one is passed on whole or none is left.
func (r *Runner) Run(ctx context.Context, j Task, sink Sink) *refusal.Refusal {
	x := &execution{runner: r, job: j, sink: sink}
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
	job     Task
	sink    Sink
	attempt int
	tried   []ids.BackendID
	// sent counts attempts after which the request may have run.
	sent   int
	tokens int
	done   bool
	last   *CallError
}

// try makes one attempt; it returns a refusal when no other may follow.
func (x *execution) try(ctx context.Context) *refusal.Refusal {
	routed, refused := x.route(ctx)
	if refused != nil {
		return x.final(refused)
	}
	if x.job.BeforeSend != nil {
		if refused := x.job.BeforeSend(); refused != nil {
			x.end(routed, route.Abandoned, -1, false)
			return refused
		}
	}
	x.tried = append(x.tried, routed.Server.ID)
	answer, fault := x.runner.client.Send(ctx, x.request(routed.Server))
	load := -1
	if fault == nil {
		load = answer.Load
		x.tokens, fault = x.sink(answer)
		answer.Close()
	}
	if fault == nil {
		x.done = true
		x.end(routed, route.OK, load, false)
		if routed.Suspect {
			x.runner.loop.Post(core.SuspectCompleted{Workspace: x.job.Workspace, Fingerprint: x.job.Fingerprint})
		}
		return nil
	}
	x.end(routed, outcome(fault), load, fault.Kind == Leaving)
	return x.judge(ctx, routed, fault)
}

func (x *execution) route(ctx context.Context) (routed core.Routed, refused *refusal.Refusal) {
	cmd, err := x.runner.loop.PostAndWait(ctx, func(t core.Ticket) core.Event {
		return core.RouteRequested{
			Ticket: t, Workspace: x.job.Workspace, Fingerprint: x.job.Fingerprint, Retry: x.sent > 0, Batch: x.job.BatchItem,
			Request: route.Request{Service: x.job.Service, Affinity: x.job.Affinity, Tried: x.tried, Only: x.job.OnlyServer},
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
		Server: s, ID: ids.RequestID(fmt.Sprintf("%s.%d", x.job.RequestID, x.attempt)),
		Method: x.job.Method, Path: x.job.Path, Header: x.job.Header, Body: x.job.Body, ResumeFrom: x.tokens,
	}
}

func (x *execution) end(routed core.Routed, o route.Outcome, load int, leaving bool) {
	x.runner.loop.Post(core.BackendCallEnded{
		Backend: routed.Server.ID, Outcome: o, Suspect: routed.Suspect, Batch: x.job.BatchItem, Load: load, Leaving: leaving,
	})
}

// judge decides on another attempt with what the fault says.
func (x *execution) judge(ctx context.Context, routed core.Routed, fault *CallError) *refusal.Refusal {
	x.last = fault
	if fault.Run() != refusal.NotRun {
		x.sent++
	}
	if fault.Kind == Crashed {
		if refused := x.reportCrash(ctx, routed); refused != nil {
			return refused
		}
	}
	if fault.Kind == Cancelled {
		return x.failure(refusal.DeadlineExceeded)
	}
	if x.attempt >= x.runner.attempts || x.job.OnlyServer != "" || (x.sent > 0 && !x.job.Repeatable) {
		return x.failure(refusal.BackendFailed)
	}
	metric.RequestsRetried.Inc()
	if x.tokens > 0 {
		metric.StreamsResumed.Inc()
	}
	return nil
}

// reportCrash tells the fleet of the crash before the caller can send again.
func (x *execution) reportCrash(ctx context.Context, routed core.Routed) *refusal.Refusal {
	judged, err := settled(context.WithoutCancel(ctx), func(ctx context.Context) (core.CrashVerdict, error) {
		cmd, err := x.runner.loop.PostAndWait(ctx, func(t core.Ticket) core.Event {
			return core.CrashDetected{Ticket: t, Workspace: x.job.Workspace, Fingerprint: x.job.Fingerprint, Backend: routed.Server.ID}
		})
		judged, _ := cmd.(core.CrashVerdict)
		return judged, err
	})
	switch {
	case err != nil:
		return x.failure(refusal.BackendFailed)
	case judged.Verdict == poison.Poisonous:
		r := refusal.New(refusal.Poisonous, 0, "this request has taken down %d backend servers and isn't run again", poison.MaxCrashedBackends)
		return r.WithRun(refusal.Ran)
	case !judged.Confirmed:
		return x.failure(refusal.BackendFailed)
	}
	return nil
}

// final makes a refusal to route the end of a request that may have run before.
func (x *execution) final(r *refusal.Refusal) *refusal.Refusal {
	if x.last == nil {
		return r
	}
	return r.WithRun(x.run())
}

func (x *execution) failure(code refusal.Code) *refusal.Refusal {
	r := refusal.New(code, 0, "%s", x.last.Reason).WithRun(x.run())
	if r.Run == refusal.NotRun {
		r.RetryAfter = notRunPause
	}
	return r
}

// run states the outcome over all attempts.
func (x *execution) run() refusal.Run {
	if x.sent == 0 {
		return refusal.NotRun
	}
	if x.last != nil && x.last.Run() == refusal.Ran {
		return refusal.Ran
	}
	return refusal.Unknown
}

func outcome(f *CallError) route.Outcome {
	switch f.Kind {
	case Cancelled, ServerError:
		return route.Abandoned
	case Leaving:
		return route.Abandoned
	default:
		return route.Failed
	}
}

// AsFault returns the fault in an error of Read.
func AsCallError(err error) *CallError {
	var f *CallError
	if errors.As(err, &f) {
		return f
	}
	return &CallError{Kind: Crashed, Reason: err.Error()}
}
