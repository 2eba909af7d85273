// Package daemon assembles the parts of verbenad, and starts and stops them in order.
package daemon

import (
	"context"
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
	settings    settings.Settings
	clock       clock.Clock
	hybridClock *hlc.Clock

	timeline    *timeline.Recorder
	objects     objects.Client
	store       api.Store
	tlsFiles    *tlsfiles.Files
	loop        *control.Loop
	transport   *peer.Transport
	jobs        *jobs.Runtime
	items       *items.Runtime
	callers     *caller.Handler
	httpServers []*httpServer
	// callerServer is the one of them that serves callers.
	callerServer *httpServer
	cleanup      []func()
	serveErrors  chan error
}

// New returns a daemon that uses the given object store. Run starts it.
func New(s settings.Settings, o objects.Client) *Daemon {
	c := clock.System{}
	return &Daemon{settings: s, objects: o, clock: c, hybridClock: hlc.New(c), serveErrors: make(chan error, 8)}
}

// Run serves until the context ends, then drains the host, so that no request is cut within the drain limit.
func (d *Daemon) Run(ctx context.Context) (err error) {
	// The parts keep running after ctx ends, until the drain is complete.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer d.cleanUp()
	err = d.runSteps(workCtx, []startStep{
		openTimeline{},
		openCertificates{},
		openPlatform{},
		listenForPeers{},
		startControlLoop{},
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
	case err := <-d.serveErrors:
		return err
	}
	d.drain()
	return nil
}

// drain stops the host in an order that lets other hosts take over: it withdraws readiness and refuses new
// requests, waits for running requests and items, and then releases what the host holds.
func (d *Daemon) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.Drain.Limit))
	defer cancel()
	log.WithField("host", d.settings.Host.ID).Info("draining")
	d.loop.Post(core.Drain{})
	sleep(ctx, time.Duration(d.settings.Drain.Notice))
	for _, s := range d.httpServers {
		s.endConnections()
	}
	d.waitForCallers(ctx)
	d.items.WaitIdle(ctx)
	d.waitForItems(ctx)
	released := make(chan struct{})
	d.loop.Post(core.Release{})
	go func() {
		defer close(released)
		_ = d.loop.Query(ctx, func(*core.Core) {}) // returns once the events posted before it have been handled
	}()
	<-released
	sleep(ctx, releaseDelay)
	d.timeline.Record(timeline.Event{Kind: timeline.HostStopped})
	log.WithField("host", d.settings.Host.ID).Info("stopped")
}

// releaseDelay leaves time for the removal of the lease and the return of the last grants to reach other hosts.
const releaseDelay = 300 * time.Millisecond

const drainPollInterval = 20 * time.Millisecond

func (d *Daemon) waitForCallers(ctx context.Context) {
	for d.serving() && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
}

// serving reports whether a request is in progress, or was read and is about to be.
func (d *Daemon) serving() bool {
	return d.callers.InFlight() > 0 || d.callerServer.busy()
}

// waitForItems waits until no host runs an item of this host's jobs and every result is committed, so that the
// jobs' next owner runs no item again.
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
		time.Sleep(drainPollInterval)
	}
}

func (d *Daemon) cleanUp() {
	for i := len(d.cleanup) - 1; i >= 0; i-- {
		d.cleanup[i]()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
