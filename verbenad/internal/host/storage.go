package host

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/origin"
	"verbenaledge.example/verbena/ownership"
	"verbenaledge.example/verbenad/internal/bulk"
	"verbenaledge.example/verbenad/internal/hostlink"
	"verbenaledge.example/verbenad/internal/objectfeed"
	"verbenaledge.example/verbenad/internal/owners"
	"verbenaledge.example/verbenad/internal/slots"
)

const (
	// ownershipPollInterval is the time between checks of this host's role and units.
	ownershipPollInterval = 50 * time.Millisecond
	// handOverTime is how long a stopping host waits for others to take over its units: two renewals of their leases.
	handOverTime = 2500 * time.Millisecond
	// progressTime is how long it then waits at least for the new owners to accept the progress of their jobs.
	progressTime = 800 * time.Millisecond
	// endTime is the part of the grace period that is left to a stopping host once it has passed on its progress: it ends its
	// requests and connections.
	endTime = 400 * time.Millisecond
)

// storage is a host that owns shared state.
type storage struct {
	env         Environment
	ownerMap    owners.View
	coordinator *owners.Coordinator
	dispatcher  *slots.Dispatcher
	slotClient  *slots.Client
	jobOwner    *bulk.Owner
	// retiring is set while the operator asks this host to hand over permanently.
	retiring atomic.Bool
}

// RunStorage runs a storage host: it owns units of shared state until the context ends, then hands them over.
func RunStorage(ctx context.Context, env Environment) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("own shared state: %w", err)
		}
	}()
	limitMemory(env.Settings)
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	systemClock := clock.System{}
	s := &storage{env: env}
	s.coordinator = owners.NewCoordinator(env.Settings.Host, env.Settings.Zone, env.Settings.PeerAddress(), env.Store, &s.ownerMap)
	feed := objectfeed.NewFeed(systemClock)
	follower := newStoreFollower(env, feed, s.readsStore)
	notices := newDrainNotices(systemClock)
	evacuated := env.newEvacuations(systemClock)
	crashReports := newStoredCrashReports(env.Store, systemClock)
	versions := newStoredVersions(env.Store, systemClock, func() bool { return s.role() == slots.RoleDispatcher }, env.Settings.MaxClockSkew)
	s.dispatcher = slots.NewDispatcher(
		systemClock, follower.publisher, s.role, s.ownerMap.AsUpdate, slots.WithDrainNotices(notices), slots.WithDisabledMechanisms(env.DisabledMechanisms),
		slots.WithCrashReportsSaved(crashReports.save), slots.WithStandby(s.ownerMap.Standby), slots.WithListState(follower.serversState),
		slots.WithVersionsSaved(versions.save),
	)
	s.slotClient = slots.NewClient(
		env.Settings.Host, env.Settings.Zone, "", systemClock, feed,
		func() string { return s.ownerMap.Address(ownership.Dispatch) }, s.ownerMap.StandbyAddress,
		slots.WithDrainNotices(notices), slots.WithDisabledMechanisms(env.DisabledMechanisms), s.dispatcher.WithKnowledgeReceived(),
		slots.WithEvacuations(evacuated.IsEvacuated),
	)
	notices.apply, notices.notifyDispatcher, notices.notifyHosts = s.dispatcher.SetServers, s.slotClient.ReportDrainNotices, s.dispatcher.BroadcastDrainNotices
	client := env.newServerClient(systemClock, notices, s.slotClient)
	s.jobOwner = bulk.New(
		workCtx, env.Settings.Host, env.Store, env.Settings.StoreValueBytes, s.coordinator, env.Protocol, s.slotClient, client, systemClock,
		env.Settings.ResultRetention, owners.NewJobsClient(&s.ownerMap, hostlink.NewRPCClient(env.Settings.Host, s.slotClient.Relays)),
		bulk.WithMaxClockSkew(env.Settings.MaxClockSkew),
	)
	var listed atomic.Pointer[map[ids.BackendID]directory.Server]
	// Hosts are accepted once configuration and servers are known: a dispatcher without them would refuse all requests.
	var initial initialState
	s.runParts(workCtx, crashReports, versions)
	go closeUnusedConnections(workCtx, client, &listed)
	follower.followAll(&s.ownerMap, func(c *catalog.Catalog) {
		s.setCatalog(c)
		initial.catalogReceived()
	}, evacuated.setServers)
	evacuated.apply = func(servers map[ids.BackendID]directory.Server) {
		listed.Store(&servers)
		s.setServers(servers, notices)
		initial.serversReceived()
	}
	follower.followEvacuations(evacuated)
	follower.follow(env.Decoder.RetirementKind(), s.retirementsChanged)
	follower.run(workCtx)
	s.runOwnership(workCtx)
	select {
	case err := <-s.acceptHosts(workCtx, &initial):
		return err
	case <-ctx.Done():
	}
	s.handOver()
	return nil
}

// runOwnership takes part in the distribution of units, and applies what this host owns.
func (s *storage) runOwnership(ctx context.Context) {
	go s.coordinator.Run(ctx)
	go s.pollOwnership(ctx)
}

// setCatalog passes the configuration on to the parts that use it.
func (s *storage) setCatalog(c *catalog.Catalog) {
	s.dispatcher.SetRates(workspaceRates(c))
	s.dispatcher.SetServices(s.env.serviceTraits(c))
	s.jobOwner.SetCatalog(c)
}

// setServers passes the listed servers on to the parts that use them.
func (s *storage) setServers(servers map[ids.BackendID]directory.Server, notices *drainNotices) {
	notices.setServers(servers)
	s.slotClient.SetListed(servers)
	s.jobOwner.SetServers(servers)
}

// runParts runs the parts that decide, serve and store.
func (s *storage) runParts(ctx context.Context, crashReports *storedCrashReports, versions *storedVersions) {
	go s.dispatcher.Run(ctx)
	s.runStoredObjects(ctx, crashReports, versions)
	go s.jobOwner.Run()
	go s.slotClient.Run(ctx)
	go serveMetrics(ctx, s.env.Settings.MetricsAddress())
}

// runStoredObjects passes on what outlived the loss of all hosts, and then stores changes of it.
func (s *storage) runStoredObjects(ctx context.Context, crashReports *storedCrashReports, versions *storedVersions) {
	go crashReports.run(ctx, s.dispatcher.AddCrashReports)
	go versions.run(ctx, func(h origin.History) { s.dispatcher.AddOrigins(nil, &h) })
}

// acceptHosts serves other hosts once the initial state has been received. The channel gets the error that ends it.
func (s *storage) acceptHosts(ctx context.Context, initial *initialState) <-chan error {
	failed := make(chan error, 1)
	address := s.env.Settings.PeerAddress()
	go func() {
		if !initial.wait(ctx) {
			return
		}
		log.WithField("address", address).Info("accepting hosts")
		failed <- hostlink.Listen(ctx, address, &s.ownerMap, func(l *hostlink.Link, first hostlink.Frame) {
			hostlink.Serve(ctx, l, first, s.dispatcher, s.jobOwner)
		})
	}()
	return failed
}

// readsStore reports whether this host reads the store itself: it dispatches, or hosts that can't reach the dispatcher
// depend on it.
func (s *storage) readsStore() bool {
	return s.coordinator.IsMapped(ownership.Dispatch) || s.dispatcher.HasHosts()
}

// handOver hands all units over before the process ends.
func (s *storage) handOver() {
	log.Info("stopping: units are handed over")
	start := time.Now()
	s.coordinator.SetLeaving(true)
	for !s.coordinator.OwnsNothing() && s.waitsForSuccessor(time.Since(start)) {
		time.Sleep(ownershipPollInterval)
	}
	time.Sleep(2 * ownershipPollInterval) // other hosts learn the new owners, and this one which shards it has given up
	left := s.env.Settings.GracePeriod - endTime - time.Since(start)
	ctx, cancel := context.WithTimeout(context.Background(), max(left, progressTime))
	defer cancel()
	for ctx.Err() == nil && !s.jobOwner.ProgressSent(ctx) {
		clock.Sleep(ctx, ownershipPollInterval)
	}
}

// waitsForSuccessor reports whether this host still waits for others to take over its units. While the store is unavailable, which
// delays all of them, it waits for as long as its grace period allows: the progress of its jobs would be lost.
func (s *storage) waitsForSuccessor(stopping time.Duration) bool {
	grace := s.env.Settings.GracePeriod
	if stopping < min(handOverTime, grace/2) {
		return true
	}
	return s.coordinator.AwaitsSuccessor() && stopping < grace-endTime-progressTime-3*ownershipPollInterval
}

// retirementsChanged hands this host's units over when the operator asks for it, and then reports the completion.
func (s *storage) retirementsChanged(all map[string]objects.Object, _ objects.Revision) {
	_, requested := all[string(s.env.Settings.Host)]
	s.coordinator.SetLeaving(requested)
	if s.retiring.Swap(requested) || !requested {
		return // already retiring: writing the status calls this again
	}
	log.Info("asked to hand over for good")
	go s.retire()
}

const (
	// retirePollInterval is the time between checks whether all units are handed over.
	retirePollInterval = 200 * time.Millisecond
	// mapSpreadTime is how long other hosts may take to learn the new owners.
	mapSpreadTime = time.Second
)

// retire reports the start of the retirement, waits until all units are handed over, and reports the completion.
func (s *storage) retire() {
	if !s.writeRetirementStatus(false) {
		return
	}
	for !s.coordinator.OwnsNothing() {
		time.Sleep(retirePollInterval)
	}
	time.Sleep(mapSpreadTime)
	if s.writeRetirementStatus(true) {
		log.Info("handed over for good")
	}
}

// writeRetirementStatus writes the status of this host's retirement. It returns false if the request was withdrawn.
func (s *storage) writeRetirementStatus(completed bool) bool {
	env := s.env
	for {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTime)
		_, err := env.Store.SetStatus(ctx, env.Decoder.RetirementKind(), string(env.Settings.Host), 0, env.Decoder.RetirementStatus(completed))
		cancel()
		if err == nil || errors.Is(err, objects.ErrNotFound) {
			return err == nil
		}
		log.WithError(err).Warn("cannot write the retirement's status, will retry")
		time.Sleep(retirePollInterval)
	}
}
