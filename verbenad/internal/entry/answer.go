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

// keptAnswer is a server's failure that is passed on if no other server does better.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// keep reads a server's own failure to its end; one that is cut or long is dropped.
func (h *Handler) keep(j *journey, a *upstream.Response) {
	b, err := h.hold(a)
	defer b.free()
	if err != nil || !b.whole || a.HasEmbeddedResponse(b.body) {
		j.reason = "answer_lost"
		return
	}
	j.kept = &keptAnswer{status: a.Status, header: a.Header, body: b.body}
	j.reason = "server_failure"
}

func (k *keptAnswer) write(h *Handler, q *request) {
	h.head(q, k.status, k.header, len(k.body))
	_, _ = q.w.Write(k.body) // the caller may be gone; its server closes the connection
}

// head writes the status and headers of a server's answer unchanged. length is negative if it isn't known.
func (h *Handler) head(q *request, status int, header http.Header, length int) {
	out := q.w.Header()
	for k, v := range h.protocol.ResponseHeaders(header) {
		out[k] = v
	}
	for _, k := range []string{"Date", "Content-Type"} {
		if _, ok := out[k]; !ok {
			out[k] = nil // the library would add one of its own
		}
	}
	out.Del("Content-Length")
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	q.w.WriteHeader(status)
}

// whole passes an answer on once all of it is there; a long one as it arrives.
func (h *Handler) whole(ctx context.Context, q *request, j *journey, a *upstream.Response, o dispatch.Outcome) (step, dispatch.Outcome) {
	b, err := h.hold(a)
	defer b.free()
	if err == nil && a.HasEmbeddedResponse(b.body) {
		err = upstream.ErrForeign
	}
	if err != nil {
		o.Result = dispatch.Broken
		j.reason = "answer_cut"
		if ctx.Err() != nil {
			o.Result = dispatch.Cancelled
			return over, o
		}
		return h.retry(q, j, false), o
	}
	if !b.whole {
		return h.long(q, j, a, b.body, o)
	}
	length := len(b.body)
	if q.r.Method == http.MethodHead {
		length = int(a.Length)
	}
	h.head(q, a.Status, a.Header, length)
	h.firstByte(q, j)
	_, _ = q.w.Write(b.body) // the caller may be gone; its server closes the connection
	o.Result, o.StreamEvents, o.Elapsed = dispatch.Served, plainUnits, a.TimeToHeaders
	if a.Status >= http.StatusInternalServerError {
		o.Result = dispatch.Failed
		j.reason = "server_failure"
	}
	return finished, o
}

// long passes an answer on of which no more is held back.
func (h *Handler) long(q *request, j *journey, a *upstream.Response, head []byte, o dispatch.Outcome) (step, dispatch.Outcome) {
	h.head(q, a.Status, a.Header, int(a.Length))
	j.started = true
	if _, err := q.w.Write(head); err != nil {
		o.Result = dispatch.Cancelled
		return over, o
	}
	n, err := io.Copy(q.w, io.LimitReader(a, answerLimit))
	if err == nil && n == answerLimit {
		err = errAnswerTooLong
	}
	if err != nil {
		o.Result = dispatch.Broken
		j.reason = "answer_cut"
		if errors.Is(err, errAnswerTooLong) {
			j.reason = "answer_too_long"
		}
		return over, o
	}
	o.Result = dispatch.Served
	return finished, o
}

// stream passes whole events on as they arrive.
func (h *Handler) stream(
	ctx context.Context, q *request, j *journey, a *upstream.Response, o dispatch.Outcome, quiet *silence,
) (step, dispatch.Outcome) {
	events := upstream.NewEvents(a)
	start := h.clock.Now()
	flusher := http.NewResponseController(q.w)
	for {
		batch, err := events.Next()
		if errors.Is(err, io.EOF) {
			h.begin(q, j, a)
			o.Result, o.Elapsed = dispatch.Served, h.clock.Now().Sub(start)
			return finished, o
		}
		if err != nil {
			return h.streamBroken(ctx, q, j, o, err, quiet)
		}
		if upstream.HasEvent(batch) {
			quiet.progress() // comments say nothing of the server's work
		}
		if a.HasEmbeddedResponse(batch) {
			j.reason = "answer_cut"
			o.Result = dispatch.Broken
			return h.retry(q, j, false), o
		}
		if !follows(j.lastEvent, upstream.FirstID(batch)) {
			j.reason = "events_out_of_order"
			o.Result = dispatch.Broken
			return over, o
		}
		h.begin(q, j, a)
		quiet.stall.Pause() // a caller may be slow to read
		if _, err := q.w.Write(batch); err != nil {
			o.Result = dispatch.Cancelled
			j.reason = "caller_left"
			return over, o
		}
		_ = flusher.Flush() // a caller that is gone shows at the next write
		quiet.stall.Progress()
		id, n := upstream.LastID(batch)
		if id != "" {
			j.lastEvent = id
		}
		j.events += n
		o.StreamEvents += n
	}
}

// begin writes the headers of the first server's answer.
func (h *Handler) begin(q *request, j *journey, a *upstream.Response) {
	if j.started {
		return
	}
	j.started = true
	h.firstByte(q, j)
	h.head(q, a.Status, a.Header, -1)
}

// firstByte notes when an answer begins.
func (h *Handler) firstByte(q *request, j *journey) {
	j.first = h.clock.Now().Sub(q.start)
	firstByte.With(string(q.service)).Update(j.first.Seconds())
}

func (h *Handler) streamBroken(
	ctx context.Context, q *request, j *journey, o dispatch.Outcome, err error, quiet *silence,
) (step, dispatch.Outcome) {
	o.Result = dispatch.Broken
	j.reason = "stream_cut"
	if quiet.ended.Load() {
		j.reason = "server_silent"
	}
	if errors.Is(err, upstream.ErrLongEvent) {
		j.reason = "event_too_long"
		return over, o
	}
	if ctx.Err() != nil {
		o.Result = dispatch.Cancelled
		return over, o
	}
	next := h.retry(q, j, false)
	if next == again {
		resumed.Inc()
	}
	return next, o
}

// follows tells whether an event may come after another one. Ids that are no numbers are not compared.
func follows(last, next string) bool {
	if last == "" || next == "" {
		return true
	}
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(next, 10, 64)
	return errA != nil || errB != nil || b == a+1
}
