package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/lease"
	api "verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/quota"
	"verbenaledge.example/verbena/slots"
	"verbenaledge.example/verbena/timeline"
	"verbenaledge.example/verbenad/internal/backend"
	"verbenaledge.example/verbenad/internal/caller"
	"verbenaledge.example/verbenad/internal/control"
	"verbenaledge.example/verbenad/internal/items"
	"verbenaledge.example/verbenad/internal/jobs"
	"verbenaledge.example/verbenad/internal/metric"
	"verbenaledge.example/verbenad/internal/operator"
	"verbenaledge.example/verbenad/internal/peer"
	"verbenaledge.example/verbenad/internal/platform"
	"verbenaledge.example/verbenad/internal/tlsfiles"
)

const (
	readHeaderTimeout = 10 * time.Second
	// shutdownTimeout is how long an HTTP server waits at exit for requests that have outlasted the drain limit.
	shutdownTimeout = time.Second
	// transitMargin is added to the lease duration to bound the transit time of a token request. A host that was
	// paused for longer than its lease sends no reply.
	transitMargin = 2 * time.Second
)

type openTimeline struct{}

func (openTimeline) String() string { return "open the timeline" }

func (openTimeline) Run(_ context.Context, d *Daemon) error {
	var opts []timeline.Option
	if name := d.settings.Timeline.File; name != "" {
		f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
		if err != nil {
			return err
		}
		d.cleanup = append(d.cleanup, func() { _ = f.Close() }) // nothing is buffered, so no line is lost
		opts = append(opts, timeline.WithWriter(f))
	}
	d.timeline = timeline.NewRecorder(d.settings.Host.ID, d.hybridClock, opts...)
	return nil
}

type openCertificates struct{}

func (openCertificates) String() string { return "open the certificates" }

func (openCertificates) Run(ctx context.Context, d *Daemon) (err error) {
	p := d.settings.Peer
	d.tlsFiles, err = tlsfiles.Open(p.CertFile, p.KeyFile, p.CAFile)
	if err != nil {
		return err
	}
	go d.reloadCertificates(ctx)
	return nil
}

func (d *Daemon) reloadCertificates(ctx context.Context) {
	for {
		sleep(ctx, time.Duration(d.settings.Peer.Reload))
		if ctx.Err() != nil {
			return
		}
		changed, err := d.tlsFiles.Reload()
		switch {
		case err != nil:
			log.WithError(err).Error("certificates can't be reloaded, the old ones stay in use")
		case changed:
			log.Info("certificates reloaded")
			d.timeline.Record(timeline.Event{Kind: timeline.CertificateRenewed})
		}
	}
}

type openPlatform struct{}

func (openPlatform) String() string { return "open the platform" }

func (openPlatform) Run(_ context.Context, d *Daemon) error {
	d.store = api.NewStore(d.objects, api.WithTimeout(time.Duration(d.settings.Platform.Timeout)), api.WithCallHook(metric.PlatformCall))
	return nil
}

type listenForPeers struct{}

func (listenForPeers) String() string { return "listen for peers" }

func (listenForPeers) Run(_ context.Context, d *Daemon) (err error) {
	d.transport, err = peer.New(d.settings.Host.ID, d.settings.Peer.Listen, d.tlsFiles, d.timeline)
	if err != nil {
		return err
	}
	d.cleanup = append(d.cleanup, func() { _ = d.transport.Close() }) // the process exits anyway
	return nil
}

type startControlLoop struct{}

func (startControlLoop) String() string { return "start the control loop" }

func (startControlLoop) Run(ctx context.Context, d *Daemon) error {
	s := d.settings
	d.loop = control.NewLoop(core.New(coreConfig(d), d.clock.Now()), d.clock)
	client := backend.NewClient(time.Duration(s.Backend.ConnectTimeout), time.Duration(s.Backend.StallTimeout))
	runner := backend.NewRunner(d.loop, client, s.Backend.Attempts)
	d.jobs = jobs.NewRuntime(jobs.Config{
		Shards: s.Lease.Shards, FlushDelay: time.Duration(s.Batch.Flush), PollInterval: time.Duration(s.Batch.Poll),
		MaxHeldBytes: s.Batch.MaxHeldBytes,
	}, d.store, d.loop, d.timeline)
	x := newExecutor(ctx, d)
	d.items = items.NewRuntime(ctx, runner, x)
	d.callers = caller.NewHandler(d.loop, runner, d.store, x, s.Lease.Shards,
		caller.WithTimeline(d.timeline), caller.WithLimits(caller.Limits{
			MaxBodyBytes: s.Caller.MaxBodyBytes, MaxFileBytes: s.Caller.MaxFileBytes, MaxConcurrent: s.Caller.MaxConcurrent,
		}))
	x.platform = platform.NewExecutor(d.store, d.clock, d.loop, platform.LeaseHolder{
		Host: s.Host.ID, Zone: s.Host.Zone, Address: s.Peer.Listen,
	})
	d.loop.SetExecutor(x)
	go d.loop.Run(ctx)
	return nil
}

func coreConfig(d *Daemon) core.Config {
	s := d.settings
	c := core.DefaultConfig()
	c.Host, c.Zone = s.Host.ID, s.Host.Zone
	c.Seed = uint64(d.clock.Now().UnixNano())
	c.Seeds = map[ids.HostID]string{}
	for _, p := range s.Peer.Seeds {
		c.Seeds[p.ID] = p.Address
	}
	c.Shards = s.Lease.Shards
	c.Lease = lease.Timing{
		Duration: time.Duration(s.Lease.Duration), Margin: time.Duration(s.Lease.Margin), Renew: time.Duration(s.Lease.Renew),
	}
	c.Quota = quota.Timing{
		GrantTTL: time.Duration(s.Quota.GrantTTL), ShareTTL: time.Duration(s.Quota.ShareTTL),
		MaxTransit: time.Duration(s.Lease.Duration) + transitMargin, Margin: time.Duration(s.Quota.Margin),
	}
	c.QuotaTimeout = time.Duration(s.Quota.Timeout)
	c.Slots = slots.Policy{
		Max: s.Batch.MaxSlots, Shared: s.Batch.SharedSlots, Fixed: s.Batch.FixedSlots,
		QuietPeriod: time.Duration(s.Batch.Quiet), DoublingTime: time.Duration(s.Batch.Growth),
	}
	c.PackLimit = s.Backend.Pack
	c.RecordAdmissions = s.Timeline.Admissions
	c.ItemAttempts = s.Batch.Attempts
	c.ItemTimeout = time.Duration(s.Batch.ItemTimeout)
	c.RetryShare, c.RetryReserve = s.Backend.RetryShare, s.Backend.RetryReserve
	return c
}

type servePeers struct{}

func (servePeers) String() string { return "serve peers" }

func (servePeers) Run(ctx context.Context, d *Daemon) error {
	x, _ := d.loop.Executor().(*executor)
	go func() {
		if err := d.transport.Serve(ctx, x.handlePeer); err != nil {
			d.serveErrors <- err
		}
	}()
	return nil
}

type serveOperators struct{}

func (serveOperators) String() string { return "serve operators" }

func (serveOperators) Run(_ context.Context, d *Daemon) error {
	token, err := os.ReadFile(d.settings.Operator.TokenFile)
	if err != nil {
		return err
	}
	h := operator.NewHandler(d.loop, d.timeline, strings.TrimSpace(string(token)), d.callers.InFlight)
	_, err = d.serveHTTP(d.settings.Operator.Listen, h.Routes())
	return err
}

type serveCallers struct{}

func (serveCallers) String() string { return "serve callers" }

func (serveCallers) Run(_ context.Context, d *Daemon) (err error) {
	d.callerServer, err = d.serveHTTP(d.settings.Caller.Listen, d.callers.Routes())
	return err
}

func (d *Daemon) serveHTTP(address string, h http.Handler) (s *httpServer, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s = newHTTPServer(listener, h)
	d.httpServers = append(d.httpServers, s)
	d.cleanup = append(d.cleanup, func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = s.http.Shutdown(ctx) // requests that outlast the drain limit are cut off
	})
	go func() {
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			d.serveErrors <- fmt.Errorf("serve %s: %w", address, err)
		}
	}()
	return s, nil
}
