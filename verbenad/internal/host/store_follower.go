package host

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbenad/internal/objectfeed"
	"verbenaledge.example/verbenad/internal/owners"
	"verbenaledge.example/verbenad/internal/view"
)

// storeFollower follows objects of the store, through another host's feed where there is one.
type storeFollower struct {
	env        Environment
	gate       *view.Gate
	feed       *objectfeed.Feed
	readsStore func() bool
	publisher  *objectfeed.Publisher
	followers  map[objects.Kind]*view.Follower
	// servers follows the servers, nil until they are added.
	servers atomic.Pointer[view.Follower]
}

// newStoreFollower returns a follower without kinds. readsStore reports whether this host reads the store itself, and
// not another host's feed.
func newStoreFollower(env Environment, feed *objectfeed.Feed, readsStore func() bool) *storeFollower {
	f := &storeFollower{env: env, gate: view.NewGate(clock.System{}), feed: feed, readsStore: readsStore, followers: make(map[objects.Kind]*view.Follower)}
	f.publisher = objectfeed.NewPublisher(f.age)
	return f
}

// age returns how long ago the store last confirmed a kind, -1 if it hasn't yet.
func (f *storeFollower) age(kind objects.Kind) time.Duration {
	if v, ok := f.followers[kind]; ok {
		return v.Age()
	}
	return -1
}

// serversState returns how current the list of servers is.
func (f *storeFollower) serversState() directory.ListState {
	v := f.servers.Load()
	if v == nil {
		return directory.ListState{Age: -1} // events may come before the kinds are added
	}
	return v.ListState()
}

const (
	// catalogFeedWait is how long a host waits for updates from another host before it reads the configuration from
	// the store.
	catalogFeedWait = 300 * time.Millisecond
	// maxServersFeedWait is the same for the servers. With thousands of servers a listing takes many calls.
	maxServersFeedWait = 2 * time.Second
	// serversReadTime is left for reading the servers before new requests to one that leaves count as late.
	serversReadTime = 700 * time.Millisecond
	// fleetStartFeedWait is the same when the whole fleet starts for the first time and there are no owners yet.
	fleetStartFeedWait = 4 * time.Second
	// evacuationFeedShare is the part of the evacuation timeout for which a host waits for updates from another host before it reads
	// the evacuations from the store, evacuationWatchShare the part for which it then watches. Each call is billed.
	evacuationFeedShare  = 0.4
	evacuationWatchShare = 0.7
)

// follow adds a kind of objects. All kinds must be added before run. The owner map is read from the store at once, as it
// names the host whose feed has the others.
func (f *storeFollower) follow(kind objects.Kind, onChange func(map[string]objects.Object, objects.Revision), options ...view.Option) {
	feedWait := catalogFeedWait
	switch kind {
	case owners.KindOwners:
		feedWait = 0
	case f.env.Decoder.ServerKind():
		feedWait = serversFeedWait(f.env.Settings.DrainTimeout)
	case f.env.Decoder.EvacuationKind():
		feedWait = shareOf(f.env.Settings.EvacuationTimeout, evacuationFeedShare)
	}
	firstFeedWait := feedWait
	if f.env.Settings.Bootstrap && kind != owners.KindOwners {
		firstFeedWait = fleetStartFeedWait
	}
	changed := func(all map[string]objects.Object, revision objects.Revision) {
		f.publisher.Publish(kind, all, revision)
		onChange(all, revision)
	}
	options = append(options, view.WithFeed(f.feed, f.readsStore, firstFeedWait, feedWait))
	followed := view.NewFollower(kind, f.env.Store, clock.System{}, f.gate, changed, options...)
	f.followers[kind] = followed
	if kind == f.env.Decoder.ServerKind() {
		f.servers.Store(followed)
	}
	metrics.GetOrCreateGauge(fmt.Sprintf("verbenad_view_age_seconds{kind=%q}", kind), func() float64 { return followed.Age().Seconds() })
}

// serversFeedWait returns how long a host waits for updates of the servers from another host before it reads them from the store. A
// dispatcher without the store goes on granting servers that leave, and hosts that know return these slots: they read the servers in time
// for that.
func serversFeedWait(drainTimeout time.Duration) time.Duration {
	if drainTimeout <= 0 {
		return maxServersFeedWait
	}
	return min(maxServersFeedWait, max(catalogFeedWait, drainTimeout-objectfeed.MaxAge-serversReadTime))
}

// followEvacuations adds the evacuations of availability zones where the deployment has them.
func (f *storeFollower) followEvacuations(e *evacuations) {
	if f.env.Settings.EvacuationTimeout <= 0 {
		return
	}
	kind := f.env.Decoder.EvacuationKind()
	e.age = func() time.Duration { return f.age(kind) }
	f.follow(kind, e.changed, view.WithOwnWatch(shareOf(f.env.Settings.EvacuationTimeout, evacuationWatchShare)))
}

func shareOf(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

func (f *storeFollower) run(ctx context.Context) {
	for _, v := range f.followers {
		go v.Run(ctx)
	}
}

// followAll adds the configuration, the backend servers and the owner map.
func (f *storeFollower) followAll(
	ownerMap *owners.View, onCatalog func(*catalog.Catalog), onServers func(map[ids.BackendID]directory.Server),
) {
	env := f.env
	newest := catalog.Version(0)
	f.follow(env.Decoder.CatalogKind(), func(all map[string]objects.Object, revision objects.Revision) {
		if found := env.decodeCatalog(all); found != nil && found.Version > newest {
			newest = found.Version
			log.WithFields(log.Fields{"version": found.Version, "revision": revision, "routes": len(found.Routes)}).Info("configuration in force")
			onCatalog(found)
		}
	})
	f.follow(env.Decoder.ServerKind(), env.serverDecoder(onServers), view.KeepThroughOutage())
	f.follow(owners.KindOwners, ownerMap.Set)
}
