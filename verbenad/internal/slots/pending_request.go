package slots

import (
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/limit"
)

// pendingRequest is a slot request that is neither granted nor refused yet.
type pendingRequest struct {
	request dispatch.SlotRequest
	sentAt  time.Time
	placer  Placer
	replies chan reply
	// timer moves the request to the next placer if no reply comes in time.
	timer *time.Timer
	// waitedForPlacer is set once the request has waited for the dispatcher, because this host alone couldn't decide on it.
	waitedForPlacer bool
}

// reply is a grant, or a refusal if refused is set.
type reply struct {
	ticket  dispatch.Ticket
	server  directory.Server
	waited  time.Duration
	inputs  dispatch.Inputs
	placer  Placer
	refused *RefusedError
	yielded chan struct{}
	trial   bool
	// resumption is set for a resumed stream by placers that resolve where it began.
	resumption       *dispatch.ResumptionInputs
	versionUncertain bool
	// limit is the server's limit, as far as the placer knows it, heldSince when the slot was granted.
	limit     limit.Statement
	heldSince time.Time
}

// needsRecords reports whether only a placer may know where the request's stream began.
func (p *pendingRequest) needsRecords() bool {
	return p.request.Resumption != nil && !p.request.Resumption.Known
}

func (p *pendingRequest) stopTimer() {
	if p.timer != nil {
		p.timer.Stop()
	}
}

// subtractElapsed subtracts the time since the request was sent from its durations.
func (p *pendingRequest) subtractElapsed(now time.Time) {
	elapsed := now.Sub(p.sentAt)
	p.request.Objective -= elapsed
	p.request.Remaining -= elapsed
	p.sentAt = now
}

func (r reply) slot() (*Slot, error) {
	if r.refused != nil {
		return nil, r.refused
	}
	return &Slot{
		Server: r.server, Yielded: r.yielded, Waited: r.waited, Inputs: r.inputs, Placer: r.placer, Trial: r.trial, Resumption: r.resumption,
		VersionUncertain: r.versionUncertain, ticket: r.ticket, limit: r.limit, heldSince: r.heldSince,
	}, nil
}
