// Package host puts the parts of a process together: what runs on hosts that take callers, and on
// hosts that own shared state.
package host

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/node"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbenad/internal/bulk"
	"verbenaledge.example/verbenad/internal/entry"
	"verbenaledge.example/verbenad/internal/objectfeed"
	"verbenaledge.example/verbenad/internal/owners"
	"verbenaledge.example/verbenad/internal/view"
)

const (
	// memoryShare of the host's memory is for the heap, in percent; stacks, buffers of the kernel and code need the rest.
	memoryShare = 60
	// collectAt is how much the heap may grow between collections, in percent; a small heap is cheap to collect.
	collectAt = 60
	// headerTime bounds how long a caller's headers may take.
	headerTime = 10 * time.Second
	// headerBytes bounds a caller's headers; each connection may hold as much.
	headerBytes = 64 << 10
	// idleTime is how long an idle connection of a caller is kept; callers leave sooner.
	idleTime = 90 * time.Second
	// sweepEvery is the time between looks at idle connections to backend servers.
	sweepEvery = 500 * time.Millisecond
)

// Protocol spells everything that callers and backend servers say.
type Protocol interface {
	bulk.Protocol
	entry.JobProtocol
}

// Source reads the objects that the deployment's operator and servers write.
type Source interface {
	CatalogKind() objects.Kind
	ServerKind() objects.Kind
	RetirementKind() objects.Kind
	// Catalog returns nil for an object that is no configuration.
	Catalog(o objects.Object) (*catalog.Catalog, error)
	Server(o objects.Object) (directory.Server, error)
	// RetirementStatus is what the operator is told of a host that hands over.
	RetirementStatus(completed bool) any
}

// World is what the deployment brings.
type World struct {
	Settings node.Settings
	Store    objects.Client
	Source   Source
	Protocol Protocol
	// Without names parts of the decisions that are switched off, for measurements.
	Without []dispatch.Mechanism
}

// Apply puts changed settings in force as far as a running process can.
func Apply(s node.Settings) {
	limitMemory(s)
}

func limitMemory(s node.Settings) {
	if s.MemoryMB <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryShare / 100)
	debug.SetGCPercent(collectAt)
}

// knowledge is what a process follows in the store, through another host where there is one.
type knowledge struct {
	world  World
	gate   *view.Gate
	feed   *objectfeed.Feed
	direct func() bool
	news   *objectfeed.Publisher
	kinds  map[objects.Kind]*view.Kind
}

// newKnowledge returns what is known through a feed; direct tells whether this host is its source.
func newKnowledge(w World, feed *objectfeed.Feed, direct func() bool) *knowledge {
	k := &knowledge{world: w, gate: view.NewGate(clock.System{}), feed: feed, direct: direct, kinds: make(map[objects.Kind]*view.Kind)}
	k.news = objectfeed.NewPublisher(k.age)
	return k
}

func (k *knowledge) age(kind objects.Kind) time.Duration {
	if v, ok := k.kinds[kind]; ok {
		return v.Age()
	}
	return -1
}

const (
	// feedPatience is how long a host without news of others waits for them before it reads the configuration.
	feedPatience = 300 * time.Millisecond
	// serversPatience is the same for the servers, which a host needs only while it decides alone. With
	// thousands of servers a listing is many calls; a server that leaves serves on for as long.
	serversPatience = 2 * time.Second
	// firstPatience is the same at the start of the whole fleet, when owners are still to be found.
	firstPatience = 4 * time.Second
)

// follow adds a kind. All are added before any runs. The map of owners comes first: it leads to the
// host that passes the others on.
func (k *knowledge) follow(kind objects.Kind, on func(map[string]objects.Object, objects.Revision), options ...view.Option) {
	patience := feedPatience
	switch kind {
	case owners.KindOwners:
		patience = 0
	case k.world.Source.ServerKind():
		patience = serversPatience
	}
	starting := patience
	if k.world.Settings.First && kind != owners.KindOwners {
		starting = firstPatience
	}
	changed := func(all map[string]objects.Object, at objects.Revision) {
		k.news.Publish(kind, all, at)
		on(all, at)
	}
	options = append(options, view.Through(k.feed, k.direct, starting, patience))
	followed := view.NewKind(kind, k.world.Store, clock.System{}, k.gate, changed, options...)
	k.kinds[kind] = followed
	metrics.GetOrCreateGauge(fmt.Sprintf("verbenad_view_age_seconds{kind=%q}", kind), func() float64 { return followed.Age().Seconds() })
}

func (k *knowledge) run(ctx context.Context) {
	for _, v := range k.kinds {
		go v.Run(ctx)
	}
}

// followAll follows the configuration, the backend servers and the owners.
func (k *knowledge) followAll(
	v *owners.View, onCatalog func(*catalog.Catalog), onServers func(map[ids.BackendID]directory.Server),
) {
	w := k.world
	newest := catalog.Version(0)
	k.follow(w.Source.CatalogKind(), func(all map[string]objects.Object, at objects.Revision) {
		if found := w.catalog(all); found != nil && found.Version > newest {
			newest = found.Version
			log.WithFields(log.Fields{"version": found.Version, "revision": at, "routes": len(found.Routes)}).Info("configuration in force")
			onCatalog(found)
		}
	})
	k.follow(w.Source.ServerKind(), w.servers(onServers), view.KeepThroughOutage())
	k.follow(owners.KindOwners, v.Set)
}

func (w World) catalog(all map[string]objects.Object) (found *catalog.Catalog) {
	for _, o := range all {
		c, err := w.Source.Catalog(o)
		if err != nil {
			log.WithError(err).Error("configuration can't be read; the present one stays")
			continue
		}
		if c != nil {
			found = c
		}
	}
	return found
}

// servers decodes registrations. An entry that can't be read names no server and is logged once a revision.
func (w World) servers(on func(map[ids.BackendID]directory.Server)) func(map[string]objects.Object, objects.Revision) {
	type decoded struct {
		at     objects.Revision
		server directory.Server
		err    error
	}
	cache := make(map[string]decoded)
	known := make(map[ids.BackendID]directory.Server)
	return func(all map[string]objects.Object, at objects.Revision) {
		list := make(map[ids.BackendID]directory.Server, len(all))
		for name, o := range all {
			d, ok := cache[name]
			if !ok || d.at != o.Revision {
				d.at = o.Revision
				if d.server, d.err = w.Source.Server(o); d.err != nil {
					log.WithError(d.err).Warn("registration left out")
				}
				cache[name] = d
			}
			if d.err == nil {
				list[d.server.ID] = d.server
			}
		}
		for name := range cache {
			if _, ok := all[name]; !ok {
				delete(cache, name)
			}
		}
		logServers(known, list, at)
		known = list
		on(list)
	}
}

// manyServers is how many servers that come or go at once share a line.
const manyServers = 5

// logServers writes a line for each server that comes, goes or leaves.
func logServers(old, now map[ids.BackendID]directory.Server, at objects.Revision) {
	if len(now)-len(old) > manyServers || len(old)-len(now) > manyServers {
		log.WithFields(log.Fields{"before": len(old), "servers": len(now), "revision": at}).Info("servers listed")
		return
	}
	for id, s := range now {
		if o, ok := old[id]; !ok || o.Draining != s.Draining {
			log.WithFields(log.Fields{"server": id, "service": s.Service, "address": s.Address, "draining": s.Draining, "revision": at}).Info("server listed")
		}
	}
	for id := range old {
		if _, ok := now[id]; !ok {
			log.WithFields(log.Fields{"server": id, "revision": at}).Info("server gone")
		}
	}
}

// ratesOf returns the rates of a configuration.
func ratesOf(c *catalog.Catalog) map[ids.WorkspaceID]dispatch.Rate {
	rates := make(map[ids.WorkspaceID]dispatch.Rate, len(c.Workspaces))
	for _, w := range c.Workspaces {
		if w.RatePerSecond > 0 || w.Burst > 0 {
			rates[w.ID] = dispatch.Rate{PerSecond: w.RatePerSecond, Burst: w.Burst}
		}
	}
	return rates
}

// serveMetrics serves counters until the context ends.
func serveMetrics(ctx context.Context, address string) {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	s := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: headerTime}
	context.AfterFunc(ctx, func() { _ = s.Close() }) // the process is ending
	if err := s.ListenAndServe(); err != nil && ctx.Err() == nil {
		log.WithError(err).WithField("address", address).Error("metrics are not served")
	}
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}}
	return lc.Listen(ctx, "tcp", address)
}
