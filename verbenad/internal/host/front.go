package host

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/ownership"
	"verbenaledge.example/verbenad/internal/entry"
	"verbenaledge.example/verbenad/internal/hostlink"
	"verbenaledge.example/verbenad/internal/objectfeed"
	"verbenaledge.example/verbenad/internal/owners"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

// Front takes callers' requests until the context ends, then finishes what it has.
func Front(ctx context.Context, w World) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("serve callers: %w", err)
		}
	}()
	limitMemory(w.Settings)
	// What serves requests outlives the signal to stop.
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	sys := clock.System{}
	var v owners.View
	feed := objectfeed.NewFeed(sys)
	stopping := newDrains(sys)
	place := slots.NewClient(
		w.Settings.Host, w.Settings.Zone, w.Settings.PeerAddress(), sys, feed,
		func() string { return v.Address(ownership.Dispatch) }, v.StandbyAddress, slots.WithDrainNotices(stopping), slots.WithoutMechanisms(w.Without),
	)
	stopping.use, stopping.up = place.SetServers, place.ReportDrainNotices
	client := upstream.NewClient(sys, upstream.OnDraining(stopping.answered))
	jobs := owners.NewJobsClient(&v, hostlink.NewRPCClient(w.Settings.Host, place.Relays))
	handler := entry.New(w.Protocol, w.Protocol, jobs, place, client, sys, w.Settings.MemoryMB)
	var listed atomic.Pointer[map[ids.BackendID]directory.Server]
	go place.Run(work)
	go serveMetrics(work, w.Settings.MetricsAddress())
	go sweep(work, client, &listed)
	known := newKnowledge(w, feed, func() bool { return false })
	known.followAll(&v, func(c *catalog.Catalog) {
		handler.SetCatalog(c)
		place.SetRates(ratesOf(c))
	}, func(s map[ids.BackendID]directory.Server) {
		listed.Store(&s)
		stopping.list(s)
	})
	known.run(work)
	go passOn(work, w.Settings.PeerAddress(), &v)
	go v.FetchFromSeeds(work, w.Settings.Seeds)
	if err := serveReady(work, w.Settings.ReadyAddress, handler); err != nil {
		return err
	}
	return serveCallers(ctx, w, handler, place)
}

func sweep(ctx context.Context, c *upstream.Client, listed *atomic.Pointer[map[ids.BackendID]directory.Server]) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			servers := listed.Load()
			c.CloseUnused(func(id ids.BackendID) bool {
				if servers == nil {
					return true
				}
				_, ok := (*servers)[id]
				return ok
			})
		}
	}
}

func serveReady(ctx context.Context, address string, h *entry.Handler) error {
	ln, err := listen(ctx, address)
	if err != nil {
		return err
	}
	s := &http.Server{ReadHeaderTimeout: headerTime, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	context.AfterFunc(ctx, func() { _ = s.Close() }) // the process is ending
	go func() {
		if err := s.Serve(ln); err != nil && ctx.Err() == nil {
			log.WithError(err).Error("readiness is not served")
		}
	}()
	return nil
}

// passOn connects hosts that can't reach an owner themselves.
func passOn(ctx context.Context, address string, v *owners.View) {
	err := hostlink.Listen(ctx, address, v, func(l *hostlink.Link, _ hostlink.Frame) { l.Close() })
	if err != nil {
		log.WithError(err).WithField("address", address).Error("connections of other hosts are not passed on")
	}
}
