package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/slots"
)

// nextSlot returns the slot that was reserved while the last server was silent, or waits for one.
func (h *Handler) nextSlot(ctx context.Context, req *request, state *forwardState, fingerprint uint64) (slot *slots.Slot, err error) {
	if slot = state.reserved; slot != nil {
		state.reserved = nil
		return slot, nil
	}
	ctx, cancel := h.untilLatestStart(ctx, req, state.progress())
	defer cancel()
	return h.slots.Acquire(ctx, h.slotRequest(req, state.progress(), fingerprint))
}

// dropReserved gives back a reserved slot that isn't needed.
func (h *Handler) dropReserved(state *forwardState) {
	if state.reserved != nil {
		h.slots.Release(state.reserved, dispatch.Outcome{Result: dispatch.Cancelled})
		state.reserved = nil
	}
}

// minAskAgainPause is the shortest pause before a refused request that may have run asks for a slot again.
const minAskAgainPause = 100 * time.Millisecond

// askAgain waits, and reports whether to ask for a slot again: a request that a server may have run, or a stream that has
// begun, isn't ended by a lack of slots while its caller waits. Its end would be no refusal, which the caller could repeat.
func (h *Handler) askAgain(ctx context.Context, req *request, state *forwardState, err error) bool {
	refused, ok := slots.AsRefusedError(err)
	switch {
	case !ok || !refused.Reason.IsTemporary() || !state.mayHaveRun:
		return false
	case state.failure != nil || state.stream.MayEnd() || !h.mayRepeat(req, state):
		return false
	}
	pause := max(refused.RetryAfter, minAskAgainPause)
	if req.deadline.Sub(h.clock.Now()) <= pause {
		return false
	}
	log.WithFields(log.Fields{
		"request_id": req.info.ID, "reason": refused.Reason.String(), "placed_by": refused.Placer.String(), "sends": state.sends,
		"events": state.events, "pause_ms": pause.Milliseconds(), "outcome": "asks_again",
	}).Info("no slot for a further send")
	clock.Sleep(ctx, pause)
	return ctx.Err() == nil
}

// sendProgress is what a slot request depends on besides the request itself.
type sendProgress struct {
	// begun is set once the caller has the beginning of the response, resumes if the caller has events.
	begun, resumes bool
	rateCounted    bool
	exclude        []ids.BackendID
}

func (s *forwardState) progress() sendProgress {
	return sendProgress{begun: s.responseStarted, resumes: s.lastEventID != "", rateCounted: s.rateCounted, exclude: s.exclude}
}

// slotRequest returns the request for a slot. Until a stream begins, the caller waits only for the route's first-event
// timeout, and a host that stops only for as long as the request still ends in time.
func (h *Handler) slotRequest(req *request, p sendProgress, fingerprint uint64) dispatch.SlotRequest {
	now := h.clock.Now()
	remaining, routeTimeout := req.deadline.Sub(now), min(req.longestTimeout, req.route.Timeout)
	if firstEvent := req.route.FirstEventTimeout(); firstEvent > 0 && !p.begun {
		remaining, routeTimeout = min(remaining, firstEvent-now.Sub(req.start)), min(routeTimeout, firstEvent)
	}
	if wait, bounded := h.latestStart(req, p); bounded && 0 < wait && wait < remaining {
		// The share of its time that a request has left shows whether its caller was refused before.
		routeTimeout = time.Duration(float64(routeTimeout) * float64(wait) / float64(remaining))
		remaining = wait
	}
	r := dispatch.SlotRequest{
		Service: req.service, Workspace: req.workspaceID(), Class: dispatch.Online, Priority: req.route.PriorityOf(req.workspace),
		Objective: req.route.Objective - callerNetworkTime - now.Sub(req.start), Remaining: remaining, FirstAttemptTime: routeTimeout,
		StreamEvents: nonStreamEvents, Metered: !p.rateCounted, Retry: p.rateCounted, Exclude: p.exclude, Fingerprint: fingerprint,
		Parts: req.info.SharedParts, PartTokens: req.info.SharedPartTokens, PromptTokens: req.info.PromptTokens, OutputTokens: req.info.OutputTokens,
	}
	if req.route.Kind == catalog.KindStream {
		r.StreamEvents = max(1, req.info.OutputTokens)
		if p.resumes {
			r.Resumption = req.resumption()
		}
	}
	return r
}

// answerNoSlot answers a request that got no slot.
func (h *Handler) answerNoSlot(ctx context.Context, req *request, state *forwardState, err error) {
	refused, ok := slots.AsRefusedError(err)
	if !ok {
		state.reason = "no_slot_in_time"
		h.answerFailed(ctx, req, state)
		return
	}
	state.reason, state.placer, state.inputs = refused.Reason.String(), refused.Placer, refused.Inputs
	if refused.Reason == dispatch.CrashingPart {
		log.WithFields(log.Fields{"request_id": req.info.ID, "crashing_parts": refused.Parts, "crashes": refused.Crashes}).Info("prompt part is blocked")
	}
	if state.mayHaveRun || state.responseStarted {
		h.answerFailed(ctx, req, state)
		return
	}
	h.refuse(req, refusalStatus(refused.Reason), refused.RetryAfter, state.reason, decisionFields(state)...)
}

// refusalStatus returns the status of a refusal. One that is final must not ask the caller to repeat the request.
func refusalStatus(r dispatch.Reason) int {
	switch r {
	case dispatch.OverRate:
		return http.StatusTooManyRequests
	case dispatch.TooLarge:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

// decisionFields returns the log fields with the inputs of the slot decision.
func decisionFields(state *forwardState) []logField {
	return []logField{
		{"free_slots", state.inputs.Free},
		{"slots", state.inputs.Slots},
		{"queue", state.inputs.Queue},
		{"batch_slots", state.inputs.Batch},
		{"limited_servers", state.inputs.Limited},
		{"slots_held_back", state.inputs.HeldBack},
		{"workspace_share", state.inputs.Share.String()},
		{"placed_by", state.placer.String()},
	}
}
