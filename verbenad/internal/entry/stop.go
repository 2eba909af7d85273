package entry

import "time"

// Ready reports whether requests can be served.
func (h *Handler) Ready() bool {
	return h.catalog.Load() != nil && !h.stopping()
}

// Stop withdraws readiness.
func (h *Handler) Stop() {
	now := h.clock.Now()
	h.stoppingSince.CompareAndSwap(nil, &now)
}

// EndRequests ends the requests in progress, as if their time was over: they are answered if their response has not begun.
func (h *Handler) EndRequests() { h.endRequests() }

func (h *Handler) stopping() bool { return h.stoppingSince.Load() != nil }

// stoppingFor returns the time since Stop was called, 0 before.
func (h *Handler) stoppingFor() time.Duration {
	if since := h.stoppingSince.Load(); since != nil {
		return h.clock.Now().Sub(*since)
	}
	return 0
}
