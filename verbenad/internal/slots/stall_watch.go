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
	// minStallTimeout is the shortest time without data after which a server counts as stalled: ten events of a stream
	// at the usual speed.
	minStallTimeout = 300 * time.Millisecond
	// stallFactor is how many average times to first byte must have passed as well.
	stallFactor = 4
)

var stallReports = metrics.NewCounter("verbenad_server_stalls_total")

// StallWatch reports a server that sends nothing while it should answer a request.
type StallWatch struct {
	client  *Client
	clock   clock.Clock
	ticket  dispatch.Ticket
	timeout time.Duration
	// begin is when the watch began. Times since then don't change when the time of day is set.
	begin time.Time
	// progressAt is how long after begin data last came, a time.Duration; it lies in the far future while the watch is paused.
	progressAt atomic.Int64
	reported   atomic.Bool

	// mu serializes the timer's callbacks with the start and the end of the watch.
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// WatchForStall watches the server of a slot from the moment at which a request is sent to it. The watch ends with Stop.
func (c *Client) WatchForStall(slot *Slot) *StallWatch {
	w := &StallWatch{client: c, clock: c.clock, ticket: slot.ticket, timeout: c.firstBytes.stallTimeout(slot.Server.Service)}
	w.start()
	return w
}

func (w *StallWatch) start() {
	w.begin = w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.timeout, w.check)
}

// elapsed returns how long ago the watch began.
func (w *StallWatch) elapsed() time.Duration { return w.clock.Now().Sub(w.begin) }

// schedule sets the time until the next check, unless the watch has ended.
func (w *StallWatch) schedule(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(after)
	}
}

// check reports the server if nothing has come within the timeout, and schedules the next check.
func (w *StallWatch) check() {
	silent := w.elapsed() - time.Duration(w.progressAt.Load())
	if silent < 0 {
		w.schedule(w.timeout) // paused
		return
	}
	if silent < w.timeout {
		w.schedule(w.timeout - silent)
		return
	}
	if !w.reported.Swap(true) {
		stallReports.Inc()
	}
	w.client.reportStall(dispatch.StallReport{Ticket: w.ticket, SilentFor: silent})
	w.schedule(w.timeout)
}

// Pause suspends the watch until the next Progress: nothing is read from the server meanwhile.
func (w *StallWatch) Pause() { w.progressAt.Store(math.MaxInt64) }

// Progress records that data has come from the server.
func (w *StallWatch) Progress() {
	w.progressAt.Store(int64(w.elapsed()))
	if w.reported.Swap(false) {
		w.client.reportStall(dispatch.StallReport{Ticket: w.ticket})
	}
}

// Stop ends the watch.
func (w *StallWatch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// reportStall sends a stall report to the placers that know the slot.
func (c *Client) reportStall(r dispatch.StallReport) {
	c.mu.Lock()
	defer c.unlockAndEnqueue()
	h, ok := c.held[r.Ticket]
	if !ok {
		return
	}
	if h.placer == PlacerLocal {
		c.localEvents = append(c.localEvents, dispatch.ServerStalled{Host: c.host, Report: r})
	}
	for _, conn := range []*placerConn{c.dispatcher, c.standby} {
		if conn.registered {
			conn.send(hostlink.Frame{Stall: &r})
		}
	}
}
