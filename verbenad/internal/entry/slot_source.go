package entry

import (
	"context"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
	"verbenaledge.example/verbena/origin"
	"verbenaledge.example/verbenad/internal/slots"
)

// SlotSource grants slots on backend servers, and gets reports on what the servers do.
type SlotSource interface {
	// Acquire waits for a slot. It returns a *slots.RefusedError if the request is refused.
	Acquire(ctx context.Context, r dispatch.SlotRequest) (*slots.Slot, error)
	// Release gives a slot back with the outcome of the send to its server.
	Release(s *slots.Slot, o dispatch.Outcome)
	// WatchForStall watches the server of a slot until the watch is stopped.
	WatchForStall(s *slots.Slot) *slots.StallWatch
	// ReportAnswerBegan reports that the server of a slot has begun to answer.
	ReportAnswerBegan(s *slots.Slot)
	// ReportStreamBegan reports where a stream runs.
	ReportStreamBegan(r origin.Record)
	// ReportLimit reports what the server of a slot says of its limit, KnownLimit returns what is known of that of a server.
	ReportLimit(s *slots.Slot, l limit.Statement, late bool)
	KnownLimit(id ids.BackendID) limit.Statement
}
