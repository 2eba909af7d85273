package slots

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbenad/internal/hostlink"
)

const (
	// leastStall is how long a server may say nothing at least before it counts as stalled: ten events of a stream at
	// the usual speed.
	leastStall = 300 * time.Millisecond
	// stallFactor is how many usual times to a first byte that must be as well.
	stallFactor = 4
)

var stallReports = metrics.NewCounter("verbenad_server_stalls_total")

// Watch reports a server that says nothing while it should answer a request.
type StallWatch struct {
	client *Client
	clock  clock.Clock
	ticket dispatch.Ticket
	after  time.Duration
	// progressAt is the last sign of life, in Unix nanoseconds.
	progressAt atomic.Int64
	reported   atomic.Bool

	// mu orders the timer's own calls with the beginning and the end of the watch.
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// Watch begins when a request is sent to the server of a slot. It ends with Stop.
func (c *Client) WatchForStall(l *Slot) *StallWatch {
	w := &StallWatch{client: c, clock: c.clock, ticket: l.ticket, after: c.firsts.stallAfter(l.Server.Service)}
	w.begin()
	return w
}

func (w *StallWatch) begin() {
	w.progressAt.Store(w.clock.Now().UnixNano())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.after, w.look)
}

// again looks after a time, unless the watch has ended.
func (w *StallWatch) again(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(after)
	}
}

// look reports the server if nothing has come, and looks again later.
func (w *StallWatch) look() {
	silent := w.clock.Now().Sub(time.Unix(0, w.progressAt.Load()))
	if silent < 0 {
		w.again(w.after) // paused
		return
	}
	if silent < w.after {
		w.again(w.after - silent)
		return
	}
	if !w.reported.Swap(true) {
		stallReports.Inc()
	}
	w.client.report(dispatch.StallReport{Ticket: w.ticket, SilentFor: silent})
	w.again(w.after)
}

// Pause stops counting until the next sign of life: nothing is read from the server meanwhile.
func (w *StallWatch) Pause() { w.progressAt.Store(math.MaxInt64) }

// Progress notes that something has come from the server.
func (w *StallWatch) Progress() {
	w.progressAt.Store(w.clock.Now().UnixNano())
	if w.reported.Swap(false) {
		w.client.report(dispatch.StallReport{Ticket: w.ticket})
	}
}

// Stop ends the watch.
func (w *StallWatch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// report tells the seats that know of a slot what is seen of its server.
func (c *Client) report(r dispatch.StallReport) {
	c.mu.Lock()
	defer c.unlock()
	h, ok := c.held[r.Ticket]
	if !ok {
		return
	}
	if h.seat == PlacerLocal {
		c.events = append(c.events, dispatch.ServerStalled{Host: c.host, Report: r})
	}
	for _, ch := range []*channel{c.dispatcher, c.standby} {
		if ch.joined {
			ch.send(hostlink.Frame{Stall: &r})
		}
	}
}
