package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/completion"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
	"verbenaledge.example/verbena/origin"
	"verbenaledge.example/verbenad/internal/callerconn"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

const (
	// maxRefusals bounds how often a request is sent to another server after one that did not execute it.
	maxRefusals = 5
	// failureRetryAfter limits the Retry-After of a request that no server executed.
	failureRetryAfter = 250 * time.Millisecond
	// callerNetworkTime is the network's part of the time to a response's start, inside a region: opening the caller's
	// connection, sending the request and the first bytes of the response, a few milliseconds each.
	callerNetworkTime = 12 * time.Millisecond
	// nonStreamEvents is the size of a response that is not a stream, in events.
	nonStreamEvents = 1
)

// nextStep is what to do with a request after a send.
type nextStep int

const (
	// stepDone means that the caller has its complete response, or that nobody reads it any more.
	stepDone nextStep = iota
	// stepRetry means to send the request to another server.
	stepRetry
	// stepFail means to stop: no other server may be tried, or the caller has disconnected.
	stepFail
)

// forwardState is the state of a request while it is forwarded.
type forwardState struct {
	exclude []ids.BackendID
	// sends counts the sends that a server may have executed, refusals the others.
	sends    int
	refusals int
	// rateCounted is set once the request counts against its workspace's rate.
	rateCounted bool
	// mayHaveRun is set once a server may have executed the request.
	mayHaveRun bool
	// lastEventID is the id of the last complete event that the caller has.
	lastEventID string
	// stream tells whether a stream is complete.
	stream          completion.Stream
	responseStarted bool
	events          int
	// unbuffered is set once a part of a plain response was forwarded before its end had arrived.
	unbuffered bool
	// firstSentAt is when the request was first sent to a server, zero before.
	firstSentAt time.Time
	// timeToFirstByte is the time from the request to the first byte of its response, 0 if there is none.
	timeToFirstByte time.Duration
	server          ids.BackendID
	version         directory.SoftwareVersion
	slotWait        time.Duration
	placer          slots.Placer
	inputs          dispatch.Inputs
	reason          string
	// unconfirmedReason is why no server confirmed the end of a stream that ends all the same.
	unconfirmedReason string
	// result is that of the last send.
	result dispatch.Result
	// serverStatus and framing are those of the last response of a server.
	serverStatus int
	framing      upstream.Framing
	// connection is how the connection of the last response had been used.
	connection upstream.ConnectionUse
	// brokenBy is what broke off the last send, nil if nothing did; relayed is set if it went over another host.
	brokenBy error
	relayed  bool
	// slot is that of the current send. reserved is one at another server that was granted because that of the current send
	// is silent, or nil.
	slot, reserved *slots.Slot
	// streamID identifies the stream among all hosts; streamReportedAt is when it was last reported to run.
	streamID         origin.StreamID
	streamReportedAt time.Time
	// failure is nil if no server has answered with a 5xx status.
	failure *serverFailure
}

// sending records that the request is about to be sent.
func (s *forwardState) sending(now time.Time) {
	if s.firstSentAt.IsZero() {
		s.firstSentAt = now
	}
}

// forward sends a request to one server after another until one answers it completely or no other may be tried.
func (h *Handler) forward(req *request) {
	ctx, cancel := context.WithDeadline(req.httpRequest.Context(), req.deadline)
	defer cancel()
	defer context.AfterFunc(h.runCtx, cancel)()
	state := &forwardState{lastEventID: req.info.LastEventID, streamID: req.streamID()}
	if state.lastEventID != "" {
		state.stream.Resume()
	}
	fingerprint := req.fingerprint()
	for {
		if !h.endsInTime(req, state.progress()) {
			h.answerTooLate(req, state, nil)
			return
		}
		slot, err := h.nextSlot(ctx, req, state, fingerprint)
		if state.lastEventID != "" {
			h.logResumption(req, state, slot, err)
		}
		if _, refused := slots.AsRefusedError(err); !refused && !h.endsInTime(req, state.progress()) {
			h.answerTooLate(req, state, slot)
			return
		}
		if err != nil && h.askAgain(ctx, req, state, err) {
			continue
		}
		if err != nil {
			h.answerNoSlot(ctx, req, state, err)
			return
		}
		state.slot = slot
		req.service = slot.Server.Service // a stream is resumed at the service that began it
		state.server, state.version, state.placer, state.inputs = slot.Server.ID, slot.Server.SoftwareVersion, slot.Placer, slot.Inputs
		state.slotWait += slot.Waited
		slotWaitSeconds.With(string(req.service)).Update(slot.Waited.Seconds())
		h.logPlaced(req, state)
		state.sending(h.clock.Now())
		state.brokenBy, state.relayed = nil, false
		next, outcome := h.attempt(ctx, req, state, slot, fingerprint)
		state.result = outcome.Result
		h.release(slot, state, outcome)
		if next != stepRetry {
			h.dropReserved(state)
		}
		// The dispatcher refunds the rate of a request that a server refused as full, so the next send counts again.
		state.rateCounted = state.rateCounted || outcome.Result != dispatch.Full
		switch next {
		case stepDone:
			h.completeResponse(req)
			h.recordDuration(req, state, true)
			h.recordEnd(req, state, "answered")
			return
		case stepRetry:
			retriedRequests.Inc()
			state.exclude = append(state.exclude, slot.Server.ID)
		case stepFail:
			h.recordDuration(req, state, false)
			h.answerFailed(ctx, req, state)
			return
		}
	}
}

// release gives a slot back. If an answer was broken off, or its server was silent, it first finds out whether this host has lost
// the path to the server: that says nothing about the server or the request.
func (h *Handler) release(slot *slots.Slot, state *forwardState, outcome dispatch.Outcome) {
	err, relayed := state.brokenBy, state.relayed
	if outcome.Result != dispatch.Broken && outcome.Result != dispatch.Silent || err == nil {
		h.slots.Release(slot, outcome)
		return
	}
	go func() {
		if h.client.PathFailed(slot.Server, relayed, err) {
			outcome.Result, outcome.Unanswered = dispatch.NoPath, false
		}
		h.slots.Release(slot, outcome)
	}()
}

// attempt sends the request to one server.
func (h *Handler) attempt(
	ctx context.Context, req *request, state *forwardState, slot *slots.Slot, fingerprint uint64,
) (next nextStep, outcome dispatch.Outcome) {
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := h.watchForSilence(ctx, req, state, slot, fingerprint, cancel)
	defer func() {
		watch.stop()
		state.reserved = watch.reserved
	}()
	start := h.clock.Now()
	response, err := h.client.Send(sendCtx, h.protocol, upstream.Request{
		ID: req.info.ID, Method: req.httpRequest.Method, Target: req.httpRequest.RequestURI, Host: req.httpRequest.Host, Body: req.body, Server: slot.Server,
		OnLimit: func(s limit.Statement, late bool) { h.slots.ReportLimit(slot, s, late) },
		Header: h.protocol.Forward(req.httpRequest.Header, exchange.ForwardInfo{
			Server: slot.Server.ID, Workspace: req.workspaceID(), Remaining: req.deadline.Sub(start), LastEventID: state.lastEventID,
		}),
	})
	if err != nil {
		return h.sendFailed(ctx, req, state, err, watch)
	}
	defer response.Close()
	watch.stall.Progress()
	state.serverStatus, state.framing, state.relayed = response.Status, response.Framing(), response.Relayed
	state.connection = response.Connection
	defer h.measureConnectionAge(response.Connection.Number, &outcome)()
	outcome.TimeToFirstByte = response.TimeToHeaders
	load := response.Info.Load
	outcome.LoadReported, outcome.Running, outcome.Waiting = load.Known, load.Running, load.Waiting
	switch {
	case response.Info.NotExecuted:
		state.refusals++
		state.reason = "server_refused"
		outcome.Result = slots.RefusalResult(response.Status, req.info)
		return h.afterFailure(req, state, true), outcome
	case !response.Info.Signed:
		state.sends, state.mayHaveRun, state.reason = state.sends+1, true, "unsigned_answer"
		outcome.Result = dispatch.Broken
		return h.afterFailure(req, state, false), outcome
	}
	defer slots.ReadPace(h.clock, load, &outcome)()
	state.sends, state.mayHaveRun = state.sends+1, true
	if response.Status >= http.StatusInternalServerError && h.mayRepeat(req, state) {
		h.saveFailure(state, response)
		outcome.Result = dispatch.Failed
		return stepRetry, outcome
	}
	if req.expectsEvents() && response.Status == http.StatusOK && (response.MayBeStream() || !state.responseStarted) {
		return h.relayStream(ctx, req, state, response, outcome, watch)
	}
	if state.responseStarted {
		// The caller has the head of another response, in which this one has no place.
		state.reason, outcome.Result = "resume_failed", dispatch.Served
		if response.Status >= http.StatusInternalServerError {
			outcome.Result = dispatch.Failed
		}
		return h.afterFailure(req, state, false), outcome
	}
	watch.stop() // once the headers have arrived, the response is read to its end
	return h.relay(ctx, req, state, response, outcome, watch)
}

// sendFailed decides what to do after a send that got no response.
func (h *Handler) sendFailed(
	ctx context.Context, req *request, state *forwardState, err error, watch *silenceWatch,
) (next nextStep, outcome dispatch.Outcome) {
	var e *upstream.Error
	if !errors.As(err, &e) {
		e = &upstream.Error{Execution: upstream.MaybeExecuted, Connected: true, Err: err}
	}
	state.reason = "server_unreachable"
	outcome.Result = dispatch.Unreachable
	switch {
	case e.Connected:
		state.reason = "answer_lost"
		outcome.Result = dispatch.Broken
		state.brokenBy, state.relayed = err, e.Relayed
	case e.PathBroken:
		state.reason = "no_path_to_server"
		outcome.Result = dispatch.NoPath
	}
	if watch.expired.Load() {
		state.reason = "server_silent"
	}
	if outcome.Result == dispatch.Broken {
		outcome.Result = brokenOffResult(err, watch)
	}
	if e.Execution != upstream.NotSent {
		state.sends++
		state.mayHaveRun = true
	} else {
		state.refusals++
	}
	if ctx.Err() != nil {
		outcome.Result = dispatch.Cancelled
		return stepFail, outcome
	}
	outcome.Unanswered = e.Connected && state.lastEventID == "" && !watch.expired.Load() && upstream.ConnectionEnded(err)
	log.WithError(err).WithFields(log.Fields{"request_id": req.info.ID, "server": state.server, "outcome": state.reason}).Warn("send failed")
	return h.afterFailure(req, state, e.Execution == upstream.NotSent), outcome
}

// afterFailure decides whether to try another server. A request that must run at most once is sent again only while
// no server can have executed it.
func (h *Handler) afterFailure(req *request, state *forwardState, notExecuted bool) nextStep {
	if notExecuted && state.refusals <= maxRefusals && (!state.mayHaveRun || h.mayRepeat(req, state)) {
		return stepRetry
	}
	if !notExecuted && h.mayRepeat(req, state) {
		return stepRetry
	}
	return stepFail
}

// mayRepeat reports whether the request may run again.
func (h *Handler) mayRepeat(req *request, state *forwardState) bool {
	return req.route.Repeatable() && state.sends < req.route.MaxAttempts && h.clock.Now().Before(req.deadline)
}

// answerFailed ends a request that no server answered completely.
func (h *Handler) answerFailed(ctx context.Context, req *request, state *forwardState) {
	if req.httpRequest.Context().Err() != nil {
		h.recordDeparture(req, state)
		panic(http.ErrAbortHandler) // a caller that has only closed its own direction would get a proper end
	}
	if state.stream.MayEnd() {
		state.unconfirmedReason, state.reason = state.reason, "end_unconfirmed"
		h.completeResponse(req)
		h.recordEnd(req, state, "answered")
		return
	}
	if h.runCtx.Err() != nil {
		state.reason = "grace_period_over"
	}
	failures(state.reason).Inc()
	switch {
	case state.responseStarted:
		cutResponses.Inc()
		h.recordEnd(req, state, "cut")
		panic(http.ErrAbortHandler) // an incomplete response must not look complete
	case state.failure != nil:
		h.recordEnd(req, state, "server_failure_passed_on")
		state.failure.write(h, req)
	case !state.mayHaveRun:
		h.refuse(req, http.StatusServiceUnavailable, min(failureRetryAfter, req.deadline.Sub(h.clock.Now())/3), state.reason)
	case ctx.Err() != nil:
		h.recordEnd(req, state, "timed_out")
		h.protocol.WriteRefusal(req.writer, http.StatusGatewayTimeout, req.info.ID, 0, state.reason)
	default:
		h.recordEnd(req, state, "failed")
		h.protocol.WriteRefusal(req.writer, http.StatusBadGateway, req.info.ID, 0, state.reason)
	}
}

// logPlaced logs which server a request goes to, and the inputs of that decision. If the process ends before the
// request does, this is the request's last log line.
func (h *Handler) logPlaced(req *request, state *forwardState) {
	fields := log.Fields{
		"request_id": req.info.ID, "workspace": req.workspaceID(), "service": req.service, "server": state.server,
		"version": state.version, "resumes": req.resumesText(), "resume_after": state.lastEventID, "slot_wait_ms": state.slotWait.Milliseconds(),
		"prompt_parts": req.promptPartsText(), "outcome": "placed",
	}
	for _, f := range decisionFields(state) {
		fields[f.name] = f.value
	}
	if known := h.slots.KnownLimit(state.server); known.Kind == limit.Named {
		fields["server_limit"] = known.PerSecond
	}
	log.WithFields(fields).Info("request placed")
}

// recordDeparture counts and logs a request without a connection for its response.
func (h *Handler) recordDeparture(req *request, state *forwardState) {
	if req.connectionEnd() == callerconn.ClosedByHost {
		h.recordEnd(req, state, "closed_by_host")
		return
	}
	departedCallers.Inc()
	h.recordEnd(req, state, "caller_left")
}

// recordEnd counts a finished request and logs how it ended.
func (h *Handler) recordEnd(req *request, state *forwardState, outcome string) {
	if outcome == "answered" {
		servedRequests.Inc()
		answers.With(string(req.service), state.framing.String()).Inc()
		h.retryBudget.earn()
	}
	requests.With(req.routeName(), string(req.service), outcome, state.reason).Inc()
	fields := log.Fields{
		"request_id": req.info.ID, "route": req.route.Name, "server": state.server, "version": state.version, "configuration": req.configVersion,
		"sends": state.sends, "refusals": state.refusals, "events": state.events, "reason": state.reason, "outcome": outcome,
		"first_ms": state.timeToFirstByte.Milliseconds(), "slot_wait_ms": state.slotWait.Milliseconds(),
		"objective_ms": req.route.Objective.Milliseconds(), "took_ms": h.clock.Now().Sub(req.start).Milliseconds(),
		"patience_ms": req.deadline.Sub(req.start).Milliseconds(), "prompt_parts": req.promptPartsText(), "send_result": state.result.String(),
		"server_status": state.serverStatus, "relayed": state.relayed, "framing": state.framing.String(), "unconfirmed_reason": state.unconfirmedReason,
		"stopping_ms": h.stoppingFor().Milliseconds(), "server_connection": state.connection.Number,
		"server_connection_requests": state.connection.Requests, "server_connection_repeated": state.connection.Repeated,
	}
	for _, f := range req.connectionFields() {
		fields[f.name] = f.value
	}
	log.WithFields(fields).Info("request ended")
}
