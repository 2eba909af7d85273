package slots

import (
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
)

// pending is an ask without an answer.
type pending struct {
	ask   dispatch.SlotRequest
	sent  time.Time
	seat  Placer
	reply chan reply
	// timer moves the ask to the next seat if no word comes.
	timer *time.Timer
	// waitedForStart is set when the ask has waited for the dispatching host of a host that knows no servers yet.
	waitedForStart bool
}

type reply struct {
	ticket  dispatch.Ticket
	server  directory.Server
	waited  time.Duration
	inputs  dispatch.Inputs
	seat    Placer
	refused *RefusedError
	yielded chan struct{}
}

func (p *pending) stop() {
	if p.timer != nil {
		p.timer.Stop()
	}
}

// spend takes the time since the ask was sent from what it has.
func (p *pending) spend(now time.Time) {
	spent := now.Sub(p.sent)
	p.ask.Objective -= spent
	p.ask.Remaining -= spent
	p.sent = now
}

func (r reply) lease() (*Slot, error) {
	if r.refused != nil {
		return nil, r.refused
	}
	return &Slot{Server: r.server, Yielded: r.yielded, Waited: r.waited, Inputs: r.inputs, Placer: r.seat, ticket: r.ticket}, nil
}
