package entry

import (
	"net/http"
	"sync"
	"time"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/shutdown"
	"verbenaledge.example/verbenad/internal/slots"
)

// reasonStopping is the reason of a request that isn't sent since the host stops, probably before the request would have ended.
const reasonStopping = "host_stopping"

// durations are the durations of requests, from the first send on.
type durations struct {
	mu     sync.Mutex
	recent *shutdown.Durations
}

func newDurations() *durations { return &durations{recent: shutdown.NewDurations()} }

// recordDuration records how long an answered request took.
func (h *Handler) recordDuration(req *request, state *forwardState) {
	if state.serverStatus >= http.StatusMultipleChoices {
		return
	}
	now := h.clock.Now()
	h.durations.mu.Lock()
	defer h.durations.mu.Unlock()
	h.durations.recent.Observe(now, req.route.Name, req.info.OutputTokens, now.Sub(state.firstSentAt))
}

// latestStart returns how long the request may wait for its send, negative if it isn't to be sent any more since the host stops.
// bounded is false if only the request's own time limits that, as it does once its response has begun.
func (h *Handler) latestStart(req *request, p sendProgress) (wait time.Duration, bounded bool) {
	left, stops := h.timeLeft()
	if !stops || p.begun {
		return 0, false
	}
	now := h.clock.Now()
	r := shutdown.Request{
		Route: req.route.Name, Size: req.info.OutputTokens, Remaining: req.deadline.Sub(now), Repeatable: req.route.Kind == catalog.KindIdempotent,
	}
	h.durations.mu.Lock()
	defer h.durations.mu.Unlock()
	return h.durations.recent.LatestStart(now, r, left), true
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
		h.slots.Release(slot, dispatch.Outcome{Result: dispatch.Cancelled})
	}
	h.dropReserved(state)
	state.reason = reasonStopping
	if state.mayHaveRun {
		h.answerFailed(req.httpRequest.Context(), req, state)
		return
	}
	h.refuse(req, http.StatusServiceUnavailable, 0, state.reason)
}
