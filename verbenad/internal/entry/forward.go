package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

const (
	// maxRefusals bounds how often a request goes on to another server after a server said that it
	// has not run it.
	maxRefusals = 5
	// failurePause is when to come back after servers failed.
	failurePause = 250 * time.Millisecond
	// callerTravel is what the start of an answer takes beyond this host, inside a region: the opening of the caller's
	// connection, its request and the first bytes of the answer, a few milliseconds each.
	callerTravel = 12 * time.Millisecond
	// plainUnits is the size of an answer that is no stream.
	plainUnits = 1
)

// step says how a forwarded request goes on after a send.
type step int

const (
	// finished: the caller has its final answer, or has left.
	finished step = iota
	// again: another server may try.
	again
	// over: no server may try; the caller gets a failure.
	over
)

// journey is what became of a request so far.
type journey struct {
	exclude  []ids.BackendID
	sends    int
	refusals int
	// counted tells that the request counts against its workspace's rate.
	counted bool
	// ran tells that a server may have run the request.
	ran bool
	// lastEvent is the last whole event that the caller has.
	lastEvent string
	started   bool
	events    int
	// first is the time from the request to the first byte of its answer, 0 if there is none.
	first  time.Duration
	server ids.BackendID
	waited time.Duration
	seat   slots.Placer
	inputs dispatch.Inputs
	reason string
	// kept is a server's own failure, passed on if no other server does better.
	kept *keptAnswer
}

// forward sends a request to servers until one answers it whole or no more may try.
func (h *Handler) forward(q *request) {
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	j := &journey{lastEvent: q.call.LastEventID}
	fingerprint := q.fingerprint()
	for {
		lease, err := h.slots.Acquire(ctx, h.ask(q, j, fingerprint))
		if err != nil {
			h.unplaced(ctx, q, j, err)
			return
		}
		j.server, j.seat, j.inputs = lease.Server.ID, lease.Placer, lease.Inputs
		j.waited += lease.Waited
		waited.With(string(q.service)).Update(lease.Waited.Seconds())
		h.placed(q, j)
		next, outcome := h.attempt(ctx, q, j, lease)
		h.slots.Release(lease, outcome)
		// What the first server did not run is given back to the rate, so the next send counts anew.
		j.counted = j.counted || outcome.Result != dispatch.Full
		switch next {
		case finished:
			h.report(q, j, "answered")
			return
		case again:
			retried.Inc()
			j.exclude = append(j.exclude, lease.Server.ID)
		case over:
			h.fail(ctx, q, j)
			return
		}
	}
}

func (h *Handler) ask(q *request, j *journey, fingerprint uint64) dispatch.SlotRequest {
	now := h.clock.Now()
	patience, whole := q.deadline.Sub(now), min(q.whole, q.route.Timeout)
	if attention := q.route.FirstEventTimeout(); attention > 0 && !j.started {
		patience, whole = min(patience, attention-now.Sub(q.start)), min(whole, attention)
	}
	a := dispatch.SlotRequest{
		Service: q.service, Workspace: q.workspaceID(), Class: dispatch.Online, Priority: q.route.PriorityOf(q.workspace),
		Objective: q.route.Objective - callerTravel - now.Sub(q.start), Remaining: patience, RouteTimeout: whole,
		StreamEvents: plainUnits, Metered: !j.counted, Retry: j.counted, Exclude: j.exclude, Fingerprint: fingerprint,
	}
	if q.route.Kind == catalog.KindStream {
		a.StreamEvents = max(1, q.call.OutputTokens)
	}
	return a
}

// unplaced answers a request that got no slot.
func (h *Handler) unplaced(ctx context.Context, q *request, j *journey, err error) {
	r, ok := slots.AsRefusedError(err)
	if !ok {
		j.reason = "no_slot_in_time"
		h.fail(ctx, q, j)
		return
	}
	j.reason, j.seat, j.inputs = r.Reason.String(), r.Placer, r.Inputs
	if j.ran || j.started {
		h.fail(ctx, q, j)
		return
	}
	status := http.StatusServiceUnavailable
	if r.Reason == dispatch.OverRate {
		status = http.StatusTooManyRequests
	}
	h.refuse(q, status, r.RetryAfter, j.reason, inputFields(j)...)
}

// inputFields is what the decision on a slot went by.
func inputFields(j *journey) []field {
	return []field{
		{"free_slots", j.inputs.Free}, {"slots", j.inputs.Slots}, {"queue", j.inputs.Queue}, {"batch_slots", j.inputs.Batch}, {"placed_by", j.seat.String()},
	}
}

// attempt sends the request to one server.
func (h *Handler) attempt(ctx context.Context, q *request, j *journey, l *slots.Slot) (next step, o dispatch.Outcome) {
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := h.watch(q, j, l, cancel)
	defer quiet.over()
	start := h.clock.Now()
	answer, err := h.client.Send(sending, h.protocol, upstream.Request{
		ID: q.call.ID, Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Body: q.body, Server: l.Server,
		Header: h.protocol.Forward(q.r.Header, exchange.ForwardInfo{
			Server: l.Server.ID, Workspace: q.workspaceID(), Remaining: q.deadline.Sub(start), LastEventID: j.lastEvent,
		}),
	})
	if err != nil {
		return h.sendFailed(ctx, q, j, err, quiet)
	}
	defer answer.Close()
	quiet.stall.Progress()
	o.TimeToFirstByte = answer.TimeToHeaders
	o.LoadReported, o.Running, o.Waiting = answer.Reply.Load.Known, answer.Reply.Load.Running, answer.Reply.Load.Waiting
	switch {
	case answer.Reply.NotExecuted:
		j.refusals++
		j.reason = "server_refused"
		o.Result = dispatch.Full
		if answer.Status == http.StatusMisdirectedRequest {
			o.Result = dispatch.Gone
		}
		return h.retry(q, j, true), o
	case !answer.Reply.Signed:
		j.sends++
		j.ran, j.reason = true, "unsigned_answer"
		o.Result = dispatch.Broken
		return h.retry(q, j, false), o
	}
	j.sends++
	j.ran = true
	if answer.Status >= http.StatusInternalServerError && h.retryable(q, j) {
		h.keep(j, answer)
		o.Result = dispatch.Failed
		return again, o
	}
	if q.route.Kind == catalog.KindStream && answer.Status == http.StatusOK {
		return h.stream(ctx, q, j, answer, o, quiet)
	}
	quiet.over() // what has begun is read to its end
	return h.whole(ctx, q, j, answer, o)
}

// sendFailed says what follows from a send without an answer.
func (h *Handler) sendFailed(ctx context.Context, q *request, j *journey, err error, quiet *silence) (next step, o dispatch.Outcome) {
	var e *upstream.Error
	if !errors.As(err, &e) {
		e = &upstream.Error{Ran: upstream.Unknown, Connected: true, Err: err}
	}
	j.reason = "server_unreachable"
	o.Result = dispatch.Unreachable
	if e.Connected {
		j.reason = "answer_lost"
		o.Result = dispatch.Broken
	}
	if quiet.ended.Load() {
		j.reason = "server_silent"
	}
	if e.Ran != upstream.NeverLeft {
		j.sends++
		j.ran = true
	} else {
		j.refusals++
	}
	if ctx.Err() != nil {
		o.Result = dispatch.Cancelled
		return over, o
	}
	log.WithError(err).WithFields(log.Fields{"request_id": q.call.ID, "server": j.server, "outcome": j.reason}).Warn("send failed")
	return h.retry(q, j, e.Ran == upstream.NeverLeft), o
}

// retry decides whether another server may try. A request that may run once goes on only while no
// server can have run it.
func (h *Handler) retry(q *request, j *journey, notRun bool) step {
	if notRun && j.refusals <= maxRefusals && (!j.ran || h.retryable(q, j)) {
		return again
	}
	if !notRun && h.retryable(q, j) {
		return again
	}
	return over
}

func (h *Handler) retryable(q *request, j *journey) bool {
	return q.route.Repeatable() && j.sends < q.route.MaxAttempts && h.clock.Now().Before(q.deadline)
}

// fail gives the final answer to a request that no server answered.
func (h *Handler) fail(ctx context.Context, q *request, j *journey) {
	if q.r.Context().Err() != nil {
		callsLeft.Inc()
		h.report(q, j, "caller_left")
		return
	}
	failed(j.reason).Inc()
	switch {
	case j.started:
		cut.Inc()
		h.report(q, j, "cut")
		panic(http.ErrAbortHandler) // a stream that is broken off must not look complete
	case j.kept != nil:
		h.report(q, j, "server_failure_passed_on")
		j.kept.write(h, q)
	case !j.ran:
		h.refuse(q, http.StatusServiceUnavailable, min(failurePause, q.deadline.Sub(h.clock.Now())/3), j.reason)
	case ctx.Err() != nil:
		h.report(q, j, "timed_out")
		h.protocol.WriteRefusal(q.w, http.StatusGatewayTimeout, q.call.ID, 0, j.reason)
	default:
		h.report(q, j, "failed")
		h.protocol.WriteRefusal(q.w, http.StatusBadGateway, q.call.ID, 0, j.reason)
	}
}

// placed writes the line that tells where a request goes and why. If the process ends before the
// request does, it is the last one.
func (h *Handler) placed(q *request, j *journey) {
	fields := log.Fields{
		"request_id": q.call.ID, "workspace": q.workspaceID(), "service": q.service, "server": j.server,
		"slot_wait_ms": j.waited.Milliseconds(), "resume_after": j.lastEvent, "outcome": "placed",
	}
	for _, f := range inputFields(j) {
		fields[f.name] = f.value
	}
	log.WithFields(fields).Info("request placed")
}

// report writes the line that tells how a request ended.
func (h *Handler) report(q *request, j *journey, outcome string) {
	if outcome == "answered" {
		served.Inc()
		h.retries.earn()
	}
	requests.With(q.routeName(), string(q.service), outcome, j.reason).Inc()
	log.WithFields(log.Fields{
		"request_id": q.call.ID, "route": q.route.Name, "server": j.server, "configuration": q.version,
		"sends": j.sends, "refusals": j.refusals, "events": j.events, "reason": j.reason, "outcome": outcome,
		"first_ms": j.first.Milliseconds(), "slot_wait_ms": j.waited.Milliseconds(), "objective_ms": q.route.Objective.Milliseconds(),
		"took_ms": h.clock.Now().Sub(q.start).Milliseconds(), "patience_ms": q.deadline.Sub(q.start).Milliseconds(),
	}).Info("request ended")
}
