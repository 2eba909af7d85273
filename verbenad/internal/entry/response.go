package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

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
	buffer, err := h.bufferResponse(response)
	defer buffer.release()
	if err != nil || !buffer.complete || response.HasEmbeddedResponse(buffer.body) {
		state.reason = "answer_lost"
		return
	}
	state.failure = &serverFailure{status: response.Status, header: response.Header, body: buffer.body}
	state.reason = "server_failure"
}

func (f *serverFailure) write(h *Handler, q *request) {
	h.writeHead(q, f.status, f.header, len(f.body))
	_, _ = q.w.Write(f.body) // the caller may be gone; http.Server closes the connection
}

// writeHead writes the status and the forwarded headers of a server's response. length is negative if it isn't known.
func (h *Handler) writeHead(q *request, status int, header http.Header, length int) {
	out := q.w.Header()
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
	}
	q.w.WriteHeader(status)
}

// relay forwards a response once all of it has been buffered; one that exceeds the buffer is forwarded as it arrives.
func (h *Handler) relay(
	ctx context.Context, q *request, state *forwardState, response *upstream.Response, o dispatch.Outcome,
) (nextStep, dispatch.Outcome) {
	buffer, err := h.bufferResponse(response)
	defer buffer.release()
	if err == nil && response.HasEmbeddedResponse(buffer.body) {
		err = upstream.ErrRequestIDMismatch
	}
	if err != nil {
		o.Result = dispatch.Broken
		state.reason = "answer_cut"
		if ctx.Err() != nil {
			o.Result = dispatch.Cancelled
			return stepFail, o
		}
		return h.afterFailure(q, state, false), o
	}
	if !buffer.complete {
		return h.relayLong(q, state, response, buffer.body, o)
	}
	length := len(buffer.body)
	if q.r.Method == http.MethodHead {
		length = int(response.Length)
	}
	h.writeHead(q, response.Status, response.Header, length)
	h.recordFirstByte(q, state)
	_, _ = q.w.Write(buffer.body) // the caller may be gone; http.Server closes the connection
	o.Result, o.StreamEvents, o.Elapsed = dispatch.Served, nonStreamEvents, response.TimeToHeaders
	if response.Status >= http.StatusInternalServerError {
		o.Result = dispatch.Failed
		state.reason = "server_failure"
	}
	return stepDone, o
}

// relayLong forwards the buffered beginning of a response, then the rest as it arrives.
func (h *Handler) relayLong(
	q *request, state *forwardState, response *upstream.Response, buffered []byte, o dispatch.Outcome,
) (nextStep, dispatch.Outcome) {
	h.writeHead(q, response.Status, response.Header, int(response.Length))
	state.responseStarted = true
	if _, err := q.w.Write(buffered); err != nil {
		o.Result = dispatch.Cancelled
		return stepFail, o
	}
	n, err := io.Copy(q.w, io.LimitReader(response, responseLimit))
	if err == nil && n == responseLimit {
		err = errResponseTooLong
	}
	if err != nil {
		o.Result = dispatch.Broken
		state.reason = "answer_cut"
		if errors.Is(err, errResponseTooLong) {
			state.reason = "answer_too_long"
		}
		return stepFail, o
	}
	o.Result = dispatch.Served
	return stepDone, o
}

// relayStream forwards complete events as they arrive.
func (h *Handler) relayStream(
	ctx context.Context, q *request, state *forwardState, response *upstream.Response, o dispatch.Outcome, watch *silenceWatch,
) (nextStep, dispatch.Outcome) {
	events := upstream.NewEvents(response)
	start := h.clock.Now()
	flusher := http.NewResponseController(q.w)
	for {
		batch, err := events.Next()
		if errors.Is(err, io.EOF) {
			h.startResponse(q, state, response)
			o.Result, o.Elapsed = dispatch.Served, h.clock.Now().Sub(start)
			return stepDone, o
		}
		if err != nil {
			return h.streamFailed(ctx, q, state, o, err, watch)
		}
		if upstream.HasEvent(batch) {
			watch.progress() // comments are no sign of progress
		}
		if response.HasEmbeddedResponse(batch) {
			state.reason = "answer_cut"
			o.Result = dispatch.Broken
			return h.afterFailure(q, state, false), o
		}
		if !mayFollow(state.lastEventID, upstream.FirstID(batch)) {
			state.reason = "events_out_of_order"
			o.Result = dispatch.Broken
			return stepFail, o
		}
		h.startResponse(q, state, response)
		watch.stall.Pause() // a caller may be slow to read
		if _, err := q.w.Write(batch); err != nil {
			o.Result = dispatch.Cancelled
			state.reason = "caller_left"
			return stepFail, o
		}
		_ = flusher.Flush() // if the caller is gone, the next write fails
		watch.stall.Progress()
		id, n := upstream.LastID(batch)
		if id != "" {
			state.lastEventID = id
		}
		state.events += n
		o.StreamEvents += n
	}
}

// startResponse writes the headers before the first event. Servers that resume the stream add none.
func (h *Handler) startResponse(q *request, state *forwardState, response *upstream.Response) {
	if state.responseStarted {
		return
	}
	state.responseStarted = true
	h.recordFirstByte(q, state)
	h.writeHead(q, response.Status, response.Header, -1)
}

// recordFirstByte records the time from the request to the first byte of its response.
func (h *Handler) recordFirstByte(q *request, state *forwardState) {
	state.timeToFirstByte = h.clock.Now().Sub(q.start)
	firstByteSeconds.With(string(q.service)).Update(state.timeToFirstByte.Seconds())
}

// streamFailed decides what to do after a stream ended with an error.
func (h *Handler) streamFailed(
	ctx context.Context, q *request, state *forwardState, o dispatch.Outcome, err error, watch *silenceWatch,
) (nextStep, dispatch.Outcome) {
	o.Result = dispatch.Broken
	state.reason = "stream_cut"
	if watch.expired.Load() {
		state.reason = "server_silent"
	}
	if errors.Is(err, upstream.ErrEventTooLong) {
		state.reason = "event_too_long"
		return stepFail, o
	}
	if ctx.Err() != nil {
		o.Result = dispatch.Cancelled
		return stepFail, o
	}
	next := h.afterFailure(q, state, false)
	if next == stepRetry {
		resumedStreams.Inc()
	}
	return next, o
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
