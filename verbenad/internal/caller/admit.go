package caller

import (
	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/quota"
	"verbenaledge.example/verbena/refusal"
)

// admit waits for a rate-limit token of the workspace and service.
func (h *Handler) admit(c *call, w ids.WorkspaceID, s ids.ServiceName, f poison.Fingerprint) *refusal.Refusal {
	cmd, err := h.loop.PostAndWait(c.Context(), func(t core.Ticket) core.Event {
		return core.AdmissionRequested{Ticket: t, Bucket: quota.Bucket{Workspace: w, Service: s}, Fingerprint: f}
	})
	if err != nil {
		return refusal.New(refusal.DeadlineExceeded, 0, "the caller has gone")
	}
	if refused, ok := cmd.(core.Refused); ok {
		return refused.Refusal
	}
	return nil
}
