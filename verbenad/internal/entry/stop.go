package entry

import "time"

// stopTimes are when Stop was called and when the requests in progress end.
type stopTimes struct{ begin, end time.Time }

// Ready reports whether requests can be served.
func (h *Handler) Ready() bool {
	return h.catalog.Load() != nil && h.stop.Load() == nil
}

// Stop withdraws readiness. From now on, only requests are begun that can be expected to end by the given time.
func (h *Handler) Stop(end time.Time) {
	h.stop.CompareAndSwap(nil, &stopTimes{begin: h.clock.Now(), end: end})
	h.announceStop()
}

// EndRequests ends the requests in progress, as if their time was over: they are answered if their response has not begun.
func (h *Handler) EndRequests() { h.endRequests() }

// timeLeft returns the time until the requests in progress end. stops is false before Stop was called.
func (h *Handler) timeLeft() (left time.Duration, stops bool) {
	if s := h.stop.Load(); s != nil {
		return s.end.Sub(h.clock.Now()), true
	}
	return 0, false
}

// stoppingFor returns the time since Stop was called, 0 before.
func (h *Handler) stoppingFor() time.Duration {
	if s := h.stop.Load(); s != nil {
		return h.clock.Now().Sub(s.begin)
	}
	return 0
}
