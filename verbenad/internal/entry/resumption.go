package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/origin"
	"verbenaledge.example/verbenad/internal/slots"
)

// streamID returns the id of the request's stream: that of the caller's attempt that brought its first event.
func (r *request) streamID() origin.StreamID {
	first := r.info.ID
	if r.info.LastEventID != "" && r.info.Resumes != "" {
		first = r.info.Resumes
	}
	return origin.NewStreamID(r.workspaceID(), first)
}

// resumption returns what a slot request says of a stream of which the caller has events already.
func (r *request) resumption() *dispatch.Resumption {
	resumed := &dispatch.Resumption{Stream: r.streamID()}
	for _, t := range r.route.Targets {
		if t.Weight > 0 {
			resumed.Services = append(resumed.Services, t.Service)
		}
	}
	return resumed
}

// reportEvents reports that events of the stream come from the server of the present slot. It is called before the caller
// gets them, since the caller may come back to any host at once.
func (h *Handler) reportEvents(state *forwardState, first bool) {
	if first {
		h.slots.ReportAnswerBegan(state.slot)
	}
	now := h.clock.Now()
	if !first && now.Sub(state.streamReportedAt) < origin.RenewInterval {
		return
	}
	state.streamReportedAt = now
	s := state.slot.Server
	h.slots.ReportStreamBegan(origin.Record{
		Stream: state.streamID, Origin: origin.Origin{Service: s.Service, Version: s.SoftwareVersion}, Server: s.ID, Incarnation: s.Incarnation,
		Unconfirmed: state.slot.VersionUncertain,
	})
}

func resumptions(by string, e dispatch.Evidence, outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("verbenad_entry_resumptions_total{by=%q,evidence=%q,outcome=%q}", by, e, outcome))
}

// logResumption logs and counts the decision on a stream that its caller, or this host within one answer, resumes.
func (h *Handler) logResumption(req *request, state *forwardState, slot *slots.Slot, err error) {
	by := "host"
	if req.info.LastEventID != "" && !state.responseStarted {
		by = "caller"
	}
	var in *dispatch.ResumptionInputs
	outcome, server, placer := "no_slot", ids.BackendID(""), slots.PlacerLocal
	if refused, ok := slots.AsRefusedError(err); ok {
		in, outcome, placer = refused.Resumption, refused.Reason.String(), refused.Placer
	}
	if slot != nil {
		in, outcome, server, placer = slot.Resumption, "placed", slot.Server.ID, slot.Placer
	}
	if in == nil {
		in = &dispatch.ResumptionInputs{}
	}
	resumptions(by, in.Evidence, outcome).Inc()
	log.WithFields(log.Fields{
		"request_id": req.info.ID, "resumed_by": by, "resumes": req.resumesText(), "resume_after": state.lastEventIDText(), "evidence": in.Evidence.String(),
		"service": in.Origin.Service, "version": in.Origin.Version, "age_ms": in.Age.Round(time.Millisecond).Milliseconds(), "versions": in.Versions,
		"server": server, "placed_by": placer.String(), "outcome": outcome,
	}).Info("stream resumed")
}

// lastEventIDText returns the id of the last event for a log line.
func (s *forwardState) lastEventIDText() string {
	return s.lastEventID[:min(len(s.lastEventID), maxLoggedIDBytes)]
}
