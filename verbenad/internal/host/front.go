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
	"verbenaledge.example/verbenad/internal/callerconn"
	"verbenaledge.example/verbenad/internal/entry"
	"verbenaledge.example/verbenad/internal/hostlink"
	"verbenaledge.example/verbenad/internal/objectfeed"
	"verbenaledge.example/verbenad/internal/owners"
	"verbenaledge.example/verbenad/internal/serverrelay"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

// RunFront runs an entry host: it serves callers until the context ends, then finishes the requests in progress.
func RunFront(ctx context.Context, env Environment) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("serve callers: %w", err)
		}
	}()
	limitMemory(env.Settings)
	// The parts that serve requests run on after the signal to stop.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	systemClock := clock.System{}
	var ownerMap owners.View
	feed := objectfeed.NewFeed(systemClock)
	notices := newDrainNotices(systemClock)
	evacuated := env.newEvacuations(systemClock)
	follower := newStoreFollower(env, feed, func() bool { return false })
	slotClient := slots.NewClient(
		env.Settings.Host, env.Settings.Zone, env.Settings.PeerAddress(), systemClock, feed,
		func() string { return ownerMap.Address(ownership.Dispatch) }, ownerMap.StandbyAddress,
		slots.WithDrainNotices(notices), slots.WithDisabledMechanisms(env.DisabledMechanisms),
		slots.WithListState(follower.serversState), slots.WithEvacuations(evacuated.IsEvacuated),
	)
	notices.apply, notices.notifyDispatcher = slotClient.SetServers, slotClient.ReportDrainNotices
	client := env.newServerClient(systemClock, notices, slotClient)
	jobs := owners.NewJobsClient(&ownerMap, hostlink.NewRPCClient(env.Settings.Host, slotClient.Relays))
	handler := entry.New(env.Protocol, env.Protocol, jobs, slotClient, client, systemClock, env.Settings.MemoryMB)
	var listed atomic.Pointer[map[ids.BackendID]directory.Server]
	go slotClient.Run(workCtx)
	go serveMetrics(workCtx, env.Settings.MetricsAddress())
	go closeUnusedConnections(workCtx, client, &listed)
	guard := callerconn.NewGuard(env.Settings.MemoryMB, env.Settings.MaxOpenFiles, handler.EndSlowestBody)
	follower.followAll(&ownerMap, func(c *catalog.Catalog) {
		handler.SetCatalog(c)
		guard.SetLimits(callerLimits(c))
		slotClient.SetRates(workspaceRates(c))
		slotClient.SetServices(env.serviceTraits(c))
	}, evacuated.setServers)
	evacuated.apply = func(s map[ids.BackendID]directory.Server) {
		listed.Store(&s)
		notices.setServers(s)
	}
	follower.followEvacuations(evacuated)
	follower.run(workCtx)
	relay := serverrelay.NewRelay(&relayedServers{Client: client, listed: &listed})
	go relayConnections(workCtx, env.Settings.PeerAddress(), &ownerMap, relay)
	go ownerMap.FetchFromSeeds(workCtx, env.Settings.Seeds)
	if err := serveReady(workCtx, env.Settings.ReadyAddress, handler); err != nil {
		return err
	}
	return serveCallers(ctx, env, handler, guard, slotClient, relay)
}

// closeUnusedConnections closes unused connections to backend servers at intervals, until the context ends.
func closeUnusedConnections(ctx context.Context, c *upstream.Client, listed *atomic.Pointer[map[ids.BackendID]directory.Server]) {
	t := time.NewTicker(closeUnusedInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			servers := listed.Load()
			if servers == nil {
				continue // nothing was sent yet
			}
			c.CloseUnused(len(*servers), func(id ids.BackendID) bool {
				_, ok := (*servers)[id]
				return ok
			})
		}
	}
}

// callerLimits returns a configuration's limits of callers' connections.
func callerLimits(c *catalog.Catalog) callerconn.Limits {
	return callerconn.Limits{HeaderBytes: c.Limits.HeaderBytes, HeaderTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout}
}

// serveReady serves the readiness check until the context ends.
func serveReady(ctx context.Context, address string, h *entry.Handler) error {
	ln, err := listen(ctx, address)
	if err != nil {
		return err
	}
	s := newGuardedServer(ctx, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	go func() {
		if err := s.serve(ln); err != nil && ctx.Err() == nil {
			log.WithError(err).Error("cannot serve readiness")
		}
	}()
	return nil
}

// relayConnections relays the connections of hosts that can't reach an owner or a backend server directly.
func relayConnections(ctx context.Context, address string, ownerMap *owners.View, relay *serverrelay.Relay) {
	err := hostlink.Listen(ctx, address, ownerMap, func(l *hostlink.Link, _ hostlink.Frame) { l.Close() }, hostlink.WithServerRelay(relay))
	if err != nil {
		log.WithError(err).WithField("address", address).Error("cannot relay connections of other hosts")
	}
}
