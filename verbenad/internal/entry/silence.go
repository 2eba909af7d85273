package entry

import (
	"context"
	"sync/atomic"
	"time"

	"verbenaledge.example/verbenad/internal/bounded"
	"verbenaledge.example/verbenad/internal/slots"
)

const (
	// leastSilence is how long a server may say nothing at least before another one tries: well above the
	// time to a first byte under load, also on routes with a short objective.
	leastSilence = 600 * time.Millisecond
	// leastGap is the same between the events of a stream, and gapFactor how many of the route's longest timely
	// pauses it may last: a slow stream that is sound goes on, and a caller waits longer before it leaves.
	leastGap  = time.Second
	gapFactor = 4
	// retryShare is the share of answered requests that may be given to another server because one is silent,
	// so that servers that are all slow don't get each request several times. retryReserve is for the first moments.
	retryShare   = 0.1
	retryReserve = 10
	// thousandths of a retry are counted, for whole numbers.
	thousandths = 1000
)

var silences = bounded.Counters("verbenad_entry_silent_servers_total", mostServiceSeries, "service")

// retries is how many requests may yet go to another server because one is silent.
type retries struct{ left atomic.Int64 }

func newRetries() *retries {
	r := &retries{}
	r.left.Store(retryReserve * thousandths)
	return r
}

// earn counts a request that was answered.
func (r *retries) earn() {
	if r.left.Add(retryShare*thousandths) > retryReserve*thousandths {
		r.left.Store(retryReserve * thousandths)
	}
}

func (r *retries) spend() bool {
	if r.left.Add(-thousandths) >= 0 {
		return true
	}
	r.left.Add(thousandths)
	return false
}

// silence ends a send whose server says nothing for too long, if another server may try, and reports the server.
type silence struct {
	timer *time.Timer
	stall *slots.StallWatch
	// gap is how long the server may say nothing after an event.
	gap   time.Duration
	ended atomic.Bool
}

// watch begins when a request is sent. A request that may run once, or for which no further server may
// try, waits for as long as it has time.
func (h *Handler) watch(q *request, j *journey, l *slots.Slot, end context.CancelFunc) *silence {
	s := &silence{gap: max(leastGap, gapFactor*q.route.MaxEventGap), stall: h.slots.WatchForStall(l)}
	if !q.route.Repeatable() || j.sends+1 >= q.route.MaxAttempts {
		return s
	}
	s.timer = time.AfterFunc(max(leastSilence, q.route.Objective), func() {
		if h.retries.spend() {
			s.ended.Store(true)
			silences.With(string(q.service)).Inc()
			end()
		}
	})
	return s
}

// progress begins the wait again.
func (s *silence) progress() {
	s.stall.Progress()
	if s.timer != nil && !s.ended.Load() {
		s.timer.Reset(s.gap)
	}
}

// over ends the watch.
func (s *silence) over() {
	s.stall.Stop()
	if s.timer != nil {
		s.timer.Stop()
	}
}
