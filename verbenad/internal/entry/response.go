package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"verbenaledge.example/verbena/completion"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbenad/internal/upstream"
)

// serverFailure is a server's 5xx response. The caller gets it if no other server answers.
type serverFailure struct {
	status int
	header http.Header
	body   []byte
}

// saveFailure reads a server's 5xx response to its end and keeps it. It drops one that is cut off or exceeds the buffer.
func (h *Handler) saveFailure(state *forwardState, response *upstream.Response) {
	buffer := h.bufferResponse(response)
	defer buffer.release()
	state.reason = "answer_lost"
	switch buffer.end.(type) {
	case nil, completion.BrokenOff:
	case completion.Whole, completion.Claimed:
		if response.HasEmbeddedResponse(buffer.body) {
			return
		}
		state.failure = &serverFailure{status: response.Status, header: response.Header, body: buffer.body}
		state.reason = "server_failure"
	}
}

func (f *serverFailure) write(h *Handler, req *request) {
	h.writeHead(req, f.status, f.header, len(f.body))
	_, _ = req.writer.Write(f.body) // the caller may be gone; http.Server closes the connection
}

// writeHead writes the status and the forwarded headers of a server's response. length is negative if it isn't known.
func (h *Handler) writeHead(req *request, status int, header http.Header, length int) {
	out := req.writer.Header()
	for k, v := range h.protocol.ResponseHeaders(header) {
		out[k] = v
	}
	for _, k := range []string{"Date", "Content-Type"} {
		if _, ok := out[k]; !ok {
			out[k] = nil // net/http would add its own
		}
	}
	out.Del("Content-Length")
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	} else {
		h.resetIfBrokenOff(req)
	}
	req.writer.WriteHeader(status)
}

// relay forwards a response once all of it has been buffered; one that exceeds the buffer is forwarded as it arrives.
func (h *Handler) relay(
	ctx context.Context, req *request, state *forwardState, response *upstream.Response, outcome dispatch.Outcome, watch *silenceWatch,
) (nextStep, dispatch.Outcome) {
	buffer := h.bufferResponse(response)
	defer buffer.release()
	if hasEmbeddedResponse(response, buffer) {
		buffer.end = completion.BrokenOff{Err: upstream.ErrRequestIDMismatch}
	}
	switch end := buffer.end.(type) {
	case nil:
		return h.relayLong(ctx, req, state, response, buffer.body, outcome, watch)
	case completion.BrokenOff:
		return h.answerCut(ctx, req, state, outcome, end, watch)
	case completion.Whole, completion.Claimed:
		return h.relayBuffered(req, state, response, buffer.body, outcome)
	}
	return stepFail, outcome
}

// hasEmbeddedResponse reports whether what was buffered of a response contains another one.
func hasEmbeddedResponse(response *upstream.Response, buffer *responseBuffer) bool {
	switch buffer.end.(type) {
	case nil:
		return response.BeginningHasEmbeddedResponse(buffer.body)
	case completion.Whole, completion.Claimed:
		return response.HasEmbeddedResponse(buffer.body)
	case completion.BrokenOff:
	}
	return false
}

// brokenOffResult returns what an answer that was broken off says about its server. Only the server's own end of it is Broken, which
// counts against the request, too.
func brokenOffResult(err error, watch *silenceWatch) dispatch.Result {
	switch {
	case errors.Is(err, errResponseTooLong), errors.Is(err, upstream.ErrEventTooLong), errors.Is(err, upstream.ErrHeadTooLong):
		return dispatch.Failed
	case watch.expired.Load():
		return dispatch.Silent
	}
	return dispatch.Broken
}

// answerCut decides what to do after a response was broken off before any of it was forwarded.
func (h *Handler) answerCut(
	ctx context.Context, req *request, state *forwardState, outcome dispatch.Outcome, end completion.BrokenOff, watch *silenceWatch,
) (nextStep, dispatch.Outcome) {
	outcome.Result, outcome.Unanswered = brokenOffResult(end.Err, watch), upstream.ConnectionEnded(end.Err)
	state.reason, state.brokenBy = "answer_cut", end.Err
	if outcome.Result == dispatch.Silent {
		outcome.Unanswered, state.reason = false, "server_silent"
	}
	if ctx.Err() != nil {
		outcome.Result = dispatch.Cancelled
		return stepFail, outcome
	}
	return h.afterFailure(req, state, false), outcome
}

// relayBuffered forwards a response that has been buffered to its end.
func (h *Handler) relayBuffered(
	req *request, state *forwardState, response *upstream.Response, body []byte, outcome dispatch.Outcome,
) (nextStep, dispatch.Outcome) {
	length := len(body)
	if req.httpRequest.Method == http.MethodHead {
		length = int(response.Length)
	}
	h.writeHead(req, response.Status, response.Header, length)
	h.recordFirstByte(req, state)
	_, _ = req.writer.Write(body) // the caller may be gone; http.Server closes the connection
	outcome.Result, outcome.StreamEvents, outcome.Elapsed = dispatch.Served, nonStreamEvents, response.TimeToHeaders
	if response.Status >= http.StatusInternalServerError {
		outcome.Result = dispatch.Failed
		state.reason = "server_failure"
	}
	return stepDone, outcome
}

// relayLong forwards the buffered beginning of a response, then the rest as it arrives. A caller that leaves or doesn't read
// says nothing about the server or the request.
func (h *Handler) relayLong(
	ctx context.Context, req *request, state *forwardState, response *upstream.Response, buffered []byte, outcome dispatch.Outcome,
	watch *silenceWatch,
) (nextStep, dispatch.Outcome) {
	if !h.unbufferedEndsInTime(req) {
		outcome.Result, state.reason = dispatch.Cancelled, reasonStopping
		return stepFail, outcome
	}
	h.writeHead(req, response.Status, response.Header, int(response.Length))
	state.responseStarted, state.unbuffered = true, true
	if _, err := req.writer.Write(buffered); err != nil {
		outcome.Result = dispatch.Cancelled
		return stepFail, outcome
	}
	end, err := copyRest(req.writer, response.Rest(buffered))
	if err != nil {
		outcome.Result = dispatch.Cancelled
		state.reason = "caller_left"
		return stepFail, outcome
	}
	switch end := end.(type) {
	case completion.Whole, completion.Claimed:
		outcome.Result = dispatch.Served
		return stepDone, outcome
	case completion.BrokenOff:
		outcome.Result, state.brokenBy = brokenOffResult(end.Err, watch), end.Err
		switch {
		case errors.Is(end.Err, errResponseTooLong):
			state.reason = "answer_too_long"
		case outcome.Result == dispatch.Silent:
			state.reason = "server_silent"
		default:
			state.reason = "answer_cut"
		}
	}
	if ctx.Err() != nil {
		outcome.Result = dispatch.Cancelled
	}
	return stepFail, outcome
}

// copyRest forwards the rest of a body as it arrives, up to responseLimit. It returns the body's end, or the error of a write
// to the caller.
func copyRest(w io.Writer, body completion.Body) (end completion.End, err error) {
	part := make([]byte, copyBytes)
	for sent := 0; sent < responseLimit; {
		n, end := body.ReadBody(part[:min(len(part), responseLimit-sent)])
		if _, err := w.Write(part[:n]); err != nil {
			return nil, err
		}
		if end != nil {
			return end, nil
		}
		sent += n
	}
	return completion.BrokenOff{Err: errResponseTooLong}, nil
}

// relayStream forwards complete events as they arrive.
func (h *Handler) relayStream(
	ctx context.Context, req *request, state *forwardState, response *upstream.Response, outcome dispatch.Outcome, watch *silenceWatch,
) (nextStep, dispatch.Outcome) {
	reader := upstream.NewEventReader(response)
	state.stream.BeginResponse(state.server)
	start := h.clock.Now()
	for {
		events, end := reader.Next()
		switch end := end.(type) {
		case nil:
		case completion.Whole, completion.Claimed:
			outcome.Elapsed = h.clock.Now().Sub(start)
			return h.streamEnded(ctx, req, state, response, end, outcome, watch)
		case completion.BrokenOff:
			if reader.HoldsPartialEvent() {
				state.stream.Refute()
			}
			return h.streamFailed(ctx, req, state, outcome, end.Err, watch)
		}
		if upstream.HasEvent(events) {
			watch.progress() // comments are no sign of progress
			h.reportEvents(state, outcome.StreamEvents == 0)
		}
		if response.HasEmbeddedResponse(events) {
			state.stream.Refute()
			state.reason, outcome.Result = "answer_cut", dispatch.Broken
			return h.afterFailure(req, state, false), outcome
		}
		if !mayFollow(state.lastEventID, upstream.FirstID(events)) {
			state.stream.Refute()
			state.reason, outcome.Result = "events_out_of_order", dispatch.Broken
			return stepFail, outcome
		}
		if upstream.HasEvent(events) {
			state.stream.Receive()
		}
		h.startResponse(req, state, response)
		watch.stall.Pause() // a caller may be slow to read
		if err := sendEvents(req, events); err != nil {
			outcome.Result = dispatch.Cancelled
			state.reason = "caller_left"
			return stepFail, outcome
		}
		watch.stall.Progress()
		id, n := upstream.LastID(events)
		if id != "" {
			state.lastEventID = id
		}
		watch.setProgress(state.progress())
		state.events += n
		outcome.StreamEvents += n
	}
}

// sendEvents sends events to the caller at once. No write may follow the last one, so a failed flush counts, too.
func sendEvents(req *request, events []byte) error {
	if _, err := req.writer.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(req.writer).Flush()
}

// streamEnded decides what to do after a server has ended its response in order. If only the end of its connection shows
// that, the stream may have been broken off.
func (h *Handler) streamEnded(
	ctx context.Context, req *request, state *forwardState, response *upstream.Response, end completion.End, outcome dispatch.Outcome, watch *silenceWatch,
) (nextStep, dispatch.Outcome) {
	verdict := state.stream.End(end, req.route.Resumable && state.lastEventID != "")
	outcome.Result = dispatch.Served
	switch verdict {
	case completion.Broken:
		return h.streamFailed(ctx, req, state, outcome, io.ErrUnexpectedEOF, watch)
	case completion.Unconfirmed:
		return h.confirmEnd(req, state), outcome
	case completion.Agreed, completion.Complete:
	}
	h.startResponse(req, state, response)
	return stepDone, outcome
}

// confirmEnd has another server asked for the events after the last one, or ends the stream if none may be asked.
func (h *Handler) confirmEnd(req *request, state *forwardState) nextStep {
	state.reason = "end_unconfirmed"
	switch {
	case h.mayRepeat(req, state):
		unconfirmedEnds.Inc()
		return stepRetry
	case state.stream.MayEnd():
		return stepDone
	}
	return stepFail
}

// startResponse writes the headers before the first event. Servers that resume the stream add none.
func (h *Handler) startResponse(req *request, state *forwardState, response *upstream.Response) {
	if state.responseStarted {
		return
	}
	state.responseStarted = true
	h.recordFirstByte(req, state)
	h.writeHead(req, response.Status, response.Header, -1)
}

// recordFirstByte records the time from the request to the first byte of its response.
func (h *Handler) recordFirstByte(req *request, state *forwardState) {
	state.timeToFirstByte = h.clock.Now().Sub(req.start)
	firstByteSeconds.With(string(req.service)).Update(state.timeToFirstByte.Seconds())
}

// streamFailed decides what to do after a stream ended with an error.
func (h *Handler) streamFailed(
	ctx context.Context, req *request, state *forwardState, outcome dispatch.Outcome, err error, watch *silenceWatch,
) (nextStep, dispatch.Outcome) {
	outcome.Result, state.brokenBy = brokenOffResult(err, watch), err
	outcome.Unanswered = !state.responseStarted && state.lastEventID == "" && !watch.expired.Load() && upstream.ConnectionEnded(err)
	state.reason = "stream_cut"
	if outcome.Result == dispatch.Silent {
		state.reason = "server_silent"
	}
	if errors.Is(err, upstream.ErrEventTooLong) {
		state.reason = "event_too_long"
		return stepFail, outcome
	}
	if ctx.Err() != nil {
		outcome.Result = dispatch.Cancelled
		return stepFail, outcome
	}
	next := h.afterFailure(req, state, false)
	if next == stepRetry {
		resumedStreams.Inc()
	}
	return next, outcome
}

// mayFollow reports whether an event with the id next may come after one with the id last: numeric ids must be
// consecutive, others aren't compared.
func mayFollow(last, next string) bool {
	if last == "" || next == "" {
		return true
	}
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(next, 10, 64)
	return errA != nil || errB != nil || b == a+1
}
