// Package host puts the parts of a process together: what runs on hosts that take callers, and on
// hosts that own shared state.
package host

import (
	"context"
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
	// idleTime is how long an idle connection of a caller is kept; callers leave sooner.
	idleTime = 90 * time.Second
	// sweepEvery is the time between looks at idle connections to backend servers.
	sweepEvery = 500 * time.Millisecond
)

// Protocol spells everything that callers and backend servers say.
type Protocol interface {
	bulk.Protocol
	entry.JobCalls
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

// follow keeps what this process knows up to date.
func (w World) follow(
	ctx context.Context, v *owners.View, onCatalog func(*catalog.Catalog), onServers func(map[ids.BackendID]directory.Server),
) {
	c := clock.System{}
	newest := catalog.Version(0)
	kinds := []*view.Kind{
		view.NewKind(w.Source.CatalogKind(), w.Store, c, func(all map[string]objects.Object, at objects.Revision) {
			if found := w.catalog(all); found != nil && found.Version > newest {
				newest = found.Version
				log.WithFields(log.Fields{"version": found.Version, "revision": at, "routes": len(found.Routes)}).Info("configuration in force")
				onCatalog(found)
			}
		}),
		view.NewKind(w.Source.ServerKind(), w.Store, c, w.servers(onServers), view.KeepThroughOutage()),
		view.NewKind(owners.KindOwners, w.Store, c, v.Set),
	}
	for _, k := range kinds {
		go k.Run(ctx)
	}
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
	bad := make(map[string]objects.Revision)
	known := make(map[ids.BackendID]directory.Server)
	return func(all map[string]objects.Object, at objects.Revision) {
		list := make(map[ids.BackendID]directory.Server, len(all))
		for name, o := range all {
			s, err := w.Source.Server(o)
			if err == nil {
				list[s.ID] = s
				continue
			}
			if bad[name] != o.Revision {
				bad[name] = o.Revision
				log.WithError(err).Warn("registration left out")
			}
		}
		logServers(known, list, at)
		known = list
		on(list)
	}
}

// logServers writes a line for each server that comes, goes or leaves.
func logServers(old, now map[ids.BackendID]directory.Server, at objects.Revision) {
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
