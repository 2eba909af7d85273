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
	"verbenaledge.example/verbena/ownership"
	"verbenaledge.example/verbenad/internal/bulk"
	"verbenaledge.example/verbenad/internal/hostlink"
	"verbenaledge.example/verbenad/internal/objectfeed"
	"verbenaledge.example/verbenad/internal/owners"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

const (
	// lookEvery is the time between looks at which units this host owns.
	lookEvery = 50 * time.Millisecond
	// handOver is how long a stopping host waits for others to take its units: two rounds of their leases.
	handOver = 2500 * time.Millisecond
	// passTime is how long it then waits for new owners to take what it knows of their jobs.
	passTime = 800 * time.Millisecond
)

// storage is a host that owns shared state.
type storage struct {
	world      World
	view       owners.View
	keeper     *owners.Coordinator
	dispatcher *slots.Dispatcher
	place      *slots.Client
	owner      *bulk.Owner
	// retiring is set while this host is asked to hand over for good.
	retiring atomic.Bool
}

// Storage owns units of shared state until the context ends, then hands them over.
func Storage(ctx context.Context, w World) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("own shared state: %w", err)
		}
	}()
	limitMemory(w.Settings)
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	sys := clock.System{}
	s := &storage{world: w}
	s.keeper = owners.NewCoordinator(w.Settings.Host, w.Settings.Zone, w.Settings.PeerAddress(), w.Store, &s.view)
	feed := objectfeed.NewFeed(sys)
	known := newKnowledge(w, feed, s.direct)
	stopping := newDrains(sys)
	s.dispatcher = slots.NewDispatcher(sys, known.news, s.role, s.view.AsUpdate, slots.WithDrainNotices(stopping), slots.WithoutMechanisms(w.Without))
	s.place = slots.NewClient(
		w.Settings.Host, w.Settings.Zone, "", sys, feed,
		func() string { return s.view.Address(ownership.Dispatch) }, s.view.StandbyAddress, slots.WithDrainNotices(stopping), slots.WithoutMechanisms(w.Without),
	)
	stopping.use, stopping.up, stopping.down = s.dispatcher.SetServers, s.place.ReportDrainNotices, s.dispatcher.BroadcastDrainNotices
	client := upstream.NewClient(sys, upstream.OnDraining(stopping.answered))
	s.owner = bulk.New(
		work, w.Settings.Host, w.Store, w.Settings.StoreValueBytes, s.keeper, w.Protocol, s.place, client, sys, w.Settings.ResultRetention,
		owners.NewJobsClient(&s.view, hostlink.NewRPCClient(w.Settings.Host, s.place.Relays)),
	)
	var listed atomic.Pointer[map[ids.BackendID]directory.Server]
	// Hosts are taken once configuration and servers are known: a dispatcher without them would refuse all.
	var first firsts
	go s.dispatcher.Run(work)
	go s.owner.Run()
	go s.place.Run(work)
	go serveMetrics(work, w.Settings.MetricsAddress())
	go sweep(work, client, &listed)
	known.followAll(&s.view, func(c *catalog.Catalog) {
		s.dispatcher.SetRates(ratesOf(c))
		s.owner.SetCatalog(c)
		first.catalog()
	}, func(servers map[ids.BackendID]directory.Server) {
		listed.Store(&servers)
		stopping.list(servers)
		first.servers()
	})
	known.follow(w.Source.RetirementKind(), s.retirements)
	known.run(work)
	go s.keeper.Run(work)
	go s.look(work)
	select {
	case err := <-s.takeHosts(work, &first):
		return err
	case <-ctx.Done():
	}
	s.leave()
	return nil
}

// takeHosts serves other hosts once this one knows enough. The channel tells the fault that ended it.
func (s *storage) takeHosts(ctx context.Context, known *firsts) <-chan error {
	failed := make(chan error, 1)
	address := s.world.Settings.PeerAddress()
	go func() {
		if !known.wait(ctx) {
			return
		}
		log.WithField("address", address).Info("taking hosts")
		failed <- hostlink.Listen(ctx, address, &s.view, func(l *hostlink.Link, first hostlink.Frame) {
			hostlink.Serve(ctx, l, first, s.dispatcher, s.owner)
		})
	}()
	return failed
}

// direct tells whether this host reads the store itself: it dispatches, or hosts that can't reach the
// dispatching one rely on it.
func (s *storage) direct() bool {
	return s.keeper.IsMapped(ownership.Dispatch) || s.dispatcher.HasHosts()
}

// leave hands all units over before the process ends.
func (s *storage) leave() {
	log.Info("stopping: units are handed over")
	s.keeper.SetLeaving(true)
	for end := time.Now().Add(min(handOver, s.world.Settings.GracePeriod/2)); time.Now().Before(end) && !s.keeper.OwnsNothing(); {
		time.Sleep(lookEvery)
	}
	time.Sleep(2 * lookEvery) // the hosts hear of the new owners, and this one of what it has given up
	ctx, cancel := context.WithTimeout(context.Background(), passTime)
	defer cancel()
	for ctx.Err() == nil && !s.owner.ProgressSent(ctx) {
		clock.Sleep(ctx, lookEvery)
	}
}

// retirements hands this host's units over when the operator asks for it, and tells when it is done.
func (s *storage) retirements(all map[string]objects.Object, _ objects.Revision) {
	_, asked := all[string(s.world.Settings.Host)]
	s.keeper.SetLeaving(asked)
	if s.retiring.Swap(asked) || !asked {
		return // this host's own status is a change too
	}
	log.Info("asked to hand over for good")
	go s.retire()
}

const (
	// retireEvery is the time between looks at whether all units are handed over.
	retireEvery = 200 * time.Millisecond
	// retireSettle lets other hosts hear of the new owners.
	retireSettle = time.Second
)

func (s *storage) retire() {
	if !s.tell(false) {
		return
	}
	for !s.keeper.OwnsNothing() {
		time.Sleep(retireEvery)
	}
	time.Sleep(retireSettle)
	if s.tell(true) {
		log.Info("handed over for good")
	}
}

// tell writes the status of this host's retirement.
func (s *storage) tell(completed bool) bool {
	w := s.world
	for {
		ctx, cancel := context.WithTimeout(context.Background(), handOver)
		_, err := w.Store.SetStatus(ctx, w.Source.RetirementKind(), string(w.Settings.Host), 0, w.Source.RetirementStatus(completed))
		cancel()
		if err == nil || errors.Is(err, objects.ErrNotFound) {
			return err == nil
		}
		log.WithError(err).Warn("retirement's status not written yet")
		time.Sleep(retireEvery)
	}
}
