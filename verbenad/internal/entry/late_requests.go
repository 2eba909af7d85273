package entry

import (
	"context"
	"net/http"
	"time"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/shutdown"
	"verbenaledge.example/verbenad/internal/slots"
)

// reasonStopping is the reason of a request that isn't sent since the host stops, probably before the request would have ended.
const reasonStopping = "host_stopping"

// recordDuration records how long a request took since its first send. One whose response isn't complete would have taken longer.
// Resumed streams and responses to HEAD say nothing of whole ones.
func (h *Handler) recordDuration(req *request, state *forwardState, complete bool) {
	if state.firstSentAt.IsZero() || state.serverStatus >= http.StatusMultipleChoices || req.info.LastEventID != "" || req.httpRequest.Method == http.MethodHead {
		return
	}
	now := h.clock.Now()
	h.durations.observe(now, shutdown.Ended{
		Route: req.route.Name, Size: req.info.OutputTokens, Took: now.Sub(state.firstSentAt), Complete: complete, Unbuffered: state.unbuffered,
	})
}

// latestStart returns how long the request may wait for its send, negative if it isn't to be sent any more since the host stops.
// bounded is false if only the request's own time limits that, as it does once its response has begun.
func (h *Handler) latestStart(req *request, p sendProgress) (wait time.Duration, bounded bool) {
	left, stops := h.timeLeft()
	if !stops || p.begun {
		return 0, false
	}
	r := h.shutdownRequest(req)
	r.Repeatable, r.Sent = req.route.Kind == catalog.KindIdempotent, p.rateCounted
	return h.durations.latestStart(h.clock.Now(), r, left), true
}

func (h *Handler) shutdownRequest(req *request) shutdown.Request {
	return shutdown.Request{Route: req.route.Name, Size: req.info.OutputTokens, Remaining: req.deadline.Sub(h.clock.Now())}
}

// unbufferedEndsInTime reports whether a response can be expected to end before the host does that is forwarded as it arrives.
func (h *Handler) unbufferedEndsInTime(req *request) bool {
	left, stops := h.timeLeft()
	return !stops || h.durations.latestStart(h.clock.Now(), h.shutdownRequest(req), left) >= 0
}

// untilLatestStart returns a context that ends when the request isn't to be sent any more, also if the host is stopped
// only later.
func (h *Handler) untilLatestStart(ctx context.Context, req *request, p sendProgress) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	detach := context.AfterFunc(h.stopCtx, func() {
		if wait, bounded := h.latestStart(req, p); bounded {
			clock.Sleep(ctx, wait)
			cancel()
		}
	})
	return ctx, func() {
		detach()
		cancel()
	}
}

// endsInTime reports whether the request can be expected to end before the host does.
func (h *Handler) endsInTime(req *request, p sendProgress) bool {
	wait, bounded := h.latestStart(req, p)
	return !bounded || wait >= 0
}

// answerTooLate answers a request that this host has no time for. slot is one that it got meanwhile, or nil. One that has not run is
// refused; its caller can repeat it at once, at another host.
func (h *Handler) answerTooLate(req *request, state *forwardState, slot *slots.Slot) {
	if slot != nil {
		h.slots.Release(slot, dispatch.Outcome{Result: dispatch.Cancelled, NotSent: true})
	}
	h.dropReserved(state)
	state.reason = reasonStopping
	if state.mayHaveRun {
		h.answerFailed(req.httpRequest.Context(), req, state)
		return
	}
	h.refuse(req, http.StatusServiceUnavailable, 0, state.reason)
}
