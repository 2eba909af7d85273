package entry

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbenad/internal/bounded"
	"verbenaledge.example/verbenad/internal/slots"
)

const (
	// minSilence is how long a server may send nothing before another one is tried, if the route's objective is shorter.
	// It is well above the time to a first byte under load.
	minSilence = 600 * time.Millisecond
	// minEventGap is how long a pause between the events of a stream may last in any case, eventGapFactor how many times
	// the route's MaxEventGap: a slow but healthy stream isn't cut, and callers wait longer than that.
	minEventGap    = time.Second
	eventGapFactor = 4
	// retryShare is how many retries because of a silent server each answered request allows, so that servers that are
	// all slow don't get each request several times. retryReserve is how many such retries are available at the start,
	// and at most.
	retryShare   = 0.1
	retryReserve = 10
	// thousandths is how many units one retry counts, so that a share of a retry is an integer.
	thousandths = 1000
)

var silentServers = bounded.Counters("verbenad_entry_silent_servers_total", maxServiceSeries, "service")

// retryBudget limits how many requests are sent to another server because one is silent.
type retryBudget struct{ available atomic.Int64 }

func newRetryBudget() *retryBudget {
	r := &retryBudget{}
	r.available.Store(retryReserve * thousandths)
	return r
}

// earn adds a share of a retry for a request that was answered.
func (r *retryBudget) earn() {
	if r.available.Add(retryShare*thousandths) > retryReserve*thousandths {
		r.available.Store(retryReserve * thousandths)
	}
}

// spend takes a retry from the budget. It returns false, and takes nothing, if none is available.
func (r *retryBudget) spend() bool {
	if r.available.Add(-thousandths) >= 0 {
		return true
	}
	r.available.Add(thousandths)
	return false
}

// refund gives a retry back that wasn't used.
func (r *retryBudget) refund() { r.available.Add(thousandths) }

// silenceWatch moves a request to another server if its own sends nothing for too long. A silent server may be sound and go on,
// so its send is cancelled only once the request has a slot elsewhere. Its stall watch reports the server to the dispatcher.
type silenceWatch struct {
	handler *Handler
	server  directory.Server
	stall   *slots.StallWatch
	// request returns the request for a slot at another server, mayMove whether the caller's request may begin there.
	request func(p sendProgress) dispatch.SlotRequest
	mayMove func(p sendProgress) bool
	// cancelSend ends the send; expired is set before.
	cancelSend context.CancelFunc
	expired    atomic.Bool
	// maxGap is how long the server may send nothing after an event.
	maxGap time.Duration
	// untilEvent is set if only the first event is awaited.
	untilEvent bool

	// mu guards the fields below. timer is nil if the send is never cancelled.
	mu    sync.Mutex
	ctx   context.Context
	timer *time.Timer
	// progressed is what the caller has of the response.
	progressed sendProgress
	// stopAsking ends the wait for a slot at another server; nil if there is none. ended is set once the watch has ended.
	stopAsking context.CancelFunc
	ended      bool
	// reserved is the slot at another server, for which the send was cancelled. It may be read once the watch has ended.
	reserved *slots.Slot
}

// watchForSilence starts the watch of a send. A request that must run at most once, or that no other server may get,
// is never cancelled by it: it waits until its deadline. The exception is a server that is asked whether a stream is
// complete: without its answer the stream ends where it is, so nothing is sent once more.
func (h *Handler) watchForSilence(
	ctx context.Context, req *request, state *forwardState, slot *slots.Slot, fingerprint uint64, cancel context.CancelFunc,
) *silenceWatch {
	s := &silenceWatch{
		handler: h, server: slot.Server, ctx: ctx, cancelSend: cancel, stall: h.slots.WatchForStall(slot),
		maxGap: max(minEventGap, eventGapFactor*req.route.MaxEventGap), progressed: state.progress(),
	}
	last := !req.route.Repeatable() || state.sends+1 >= req.route.MaxAttempts
	s.untilEvent = last && state.stream.MayEnd()
	if last && !s.untilEvent {
		return s
	}
	exclude := append(slices.Clip(state.exclude), slot.Server.ID)
	s.request = func(p sendProgress) dispatch.SlotRequest {
		p.exclude, p.rateCounted = exclude, true
		return h.slotRequest(req, p, fingerprint)
	}
	s.mayMove = func(p sendProgress) bool {
		p.rateCounted = true
		return h.endsInTime(req, p)
	}
	s.timer = time.AfterFunc(max(minSilence, req.route.Objective), s.onSilence)
	return s
}

// onSilence asks for a slot at another server, if the budget of retries allows.
func (s *silenceWatch) onSilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ended || s.stopAsking != nil:
	case s.untilEvent:
		s.expire()
	case !s.mayMove(s.progressed), !s.handler.retryBudget.spend():
		s.timer.Reset(minAskAgainPause)
	default:
		ctx, stop := context.WithCancel(s.ctx)
		s.stopAsking = stop
		go s.moveTo(ctx, s.request(s.progressed))
	}
}

// expire cancels the send. The caller holds mu.
func (s *silenceWatch) expire() {
	s.expired.Store(true)
	silentServers.With(string(s.server.Service)).Inc()
	s.cancelSend()
}

// moveTo waits for a slot at another server and then cancels the send, unless the server has sent something or the send has
// ended meanwhile. Without a slot the send goes on, and another one is asked for later, unless this host has lost its path to the server.
func (s *silenceWatch) moveTo(ctx context.Context, request dispatch.SlotRequest) {
	slot, err := s.handler.slots.Acquire(ctx, request)
	pathFailed := err != nil && ctx.Err() == nil && s.handler.client.PathFailed(s.server, false, net.ErrClosed)
	s.mu.Lock()
	defer s.mu.Unlock()
	stopped := ctx.Err() != nil
	if !stopped {
		s.stopAsking()
		s.stopAsking = nil
	}
	switch {
	case slot != nil && stopped:
		s.handler.slots.Release(slot, dispatch.Outcome{Result: dispatch.Cancelled})
	case slot != nil:
		s.reserved = slot
		s.expire()
		return
	case pathFailed && !stopped:
		s.expire()
		return
	case !stopped:
		s.timer.Reset(askAgainPause(err))
	}
	s.handler.retryBudget.refund()
}

// askAgainPause returns when to ask for a slot again after a refusal.
func askAgainPause(err error) time.Duration {
	if refused, ok := slots.AsRefusedError(err); ok {
		return max(refused.RetryAfter, minAskAgainPause)
	}
	return minAskAgainPause
}

// progress restarts the wait after an event.
func (s *silenceWatch) progress() {
	s.stall.Progress()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endAsking()
	switch {
	case s.timer == nil || s.ended || s.expired.Load():
	case s.untilEvent:
		s.timer.Stop()
	default:
		s.timer.Reset(s.maxGap)
	}
}

// setProgress records what the caller has of the response.
func (s *silenceWatch) setProgress(p sendProgress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progressed = p
}

// endAsking ends the wait for a slot at another server. The caller holds mu.
func (s *silenceWatch) endAsking() {
	if s.stopAsking != nil {
		s.stopAsking()
		s.stopAsking = nil
	}
}

// stop ends the watch.
func (s *silenceWatch) stop() {
	s.stall.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.endAsking()
	if s.timer != nil {
		s.timer.Stop()
	}
}
