// Package daemon joins the parts of verbenad and starts and stops them in order.
package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/hlc"
	"verbenaledge.example/verbena/objects"
	api "verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/timeline"
	"verbenaledge.example/verbenad/internal/caller"
	"verbenaledge.example/verbenad/internal/control"
	"verbenaledge.example/verbenad/internal/items"
	"verbenaledge.example/verbenad/internal/jobs"
	"verbenaledge.example/verbenad/internal/peer"
	"verbenaledge.example/verbenad/internal/settings"
	"verbenaledge.example/verbenad/internal/tlsfiles"
)

// Daemon is one verbenad process.
type Daemon struct {
	settings settings.Settings
	clock    clock.Clock
	stamps   *hlc.Clock

	timeline  *timeline.Recorder
	objects   objects.Client
	store     api.Store
	files     *tlsfiles.Files
	loop      *control.Loop
	transport *peer.Transport
	jobs      *jobs.Runtime
	items     *items.Runtime
	callers   *caller.Handler
	servers   []*http.Server
	cleanup   []func()
	failed    chan error
}

// New returns a daemon before a store; Run makes it work.
func New(s settings.Settings, o objects.Client) *Daemon {
	c := clock.System{}
	return &Daemon{settings: s, objects: o, clock: c, stamps: hlc.New(c), failed: make(chan error, 8)}
}

// Run serves until the context ends, and then stops without cutting a request.
func (d *Daemon) Run(ctx context.Context) (err error) {
	// Parts go on after the signal to stop, until nothing needs them.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer d.cleanUp()
	err = d.start(work, []step{
		openTimeline{},
		openCertificates{},
		openPlatform{},
		listenForPeers{},
		startDecisions{},
		servePeers{},
		serveOperators{},
		serveCallers{},
	})
	if err != nil {
		return err
	}
	d.timeline.Record(timeline.Event{Kind: timeline.HostStarted})
	log.WithField("host", d.settings.Host.ID).Info("started")
	select {
	case <-ctx.Done():
	case err := <-d.failed:
		return err
	}
	d.drain()
	return nil
}

// drain stops in the order in which others can take over: readiness first, then
// new requests, then running ones, then what the host holds.
func (d *Daemon) drain() {
	limit, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.Drain.Limit))
	defer cancel()
	log.WithField("host", d.settings.Host.ID).Info("draining")
	d.loop.Post(core.Drain{})
	sleep(limit, time.Duration(d.settings.Drain.Notice))
	for _, s := range d.servers {
		s.SetKeepAlivesEnabled(false)
	}
	d.waitForCallers(limit)
	d.items.WaitIdle(limit)
	d.waitForItems(limit)
	done := make(chan struct{})
	d.loop.Post(core.Release{})
	go func() {
		defer close(done)
		_ = d.loop.Query(limit, func(*core.Core) {}) // the events before it have been dealt with
	}()
	<-done
	sleep(limit, releaseWait)
	d.timeline.Record(timeline.Event{Kind: timeline.HostStopped})
	log.WithField("host", d.settings.Host.ID).Info("stopped")
}

// releaseWait lets the lease's removal and the last grants' return reach others.
const releaseWait = 300 * time.Millisecond

const drainPoll = 20 * time.Millisecond

func (d *Daemon) waitForCallers(ctx context.Context) {
	for d.callers.Running() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
}

// waitForItems waits until no manager runs an item of this host's jobs and every
// result is committed, so that a successor runs none again.
func (d *Daemon) waitForItems(ctx context.Context) {
	for ctx.Err() == nil {
		running := 0
		err := d.loop.Query(ctx, func(c *core.Core) {
			for _, p := range c.JobProgress() {
				running += p.Running + p.Finished - p.Committed
			}
		})
		if err != nil || (running == 0 && d.jobs.Uncommitted() == 0) {
			return
		}
		time.Sleep(drainPoll)
	}
}

func (d *Daemon) cleanUp() {
	for i := len(d.cleanup) - 1; i >= 0; i-- {
		d.cleanup[i]()
	}
}

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}
