// Package host assembles and runs the two roles of a process: entry hosts (the role "front") serve callers, storage hosts
// own shared state.
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
	"verbenaledge.example/verbena/cold"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/node"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbenad/internal/bulk"
	"verbenaledge.example/verbenad/internal/entry"
	"verbenaledge.example/verbenad/internal/serverrelay"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

const (
	// memoryPercent is the heap's share of the host's memory; stacks, kernel buffers and code need the rest.
	memoryPercent = 60
	// gcPercent is how much the heap may grow between garbage collections; a small heap is cheap to collect.
	gcPercent = 60
	// headerTimeout, idleTimeout and maxHeaderBytes bound callers whatever the configuration says; the guard of their connections
	// applies its limits, which are lower.
	headerTimeout  = 10 * time.Minute
	idleTimeout    = time.Hour
	maxHeaderBytes = 1 << 20
	// toolTimeout bounds a request of the operator's tools, toolIdleTimeout how long their idle connections are kept.
	toolTimeout     = 10 * time.Second
	toolIdleTimeout = 90 * time.Second
	// closeUnusedInterval is the time between checks for unused connections to backend servers.
	closeUnusedInterval = 500 * time.Millisecond
)

// Protocol parses and writes the messages of callers and backend servers.
type Protocol interface {
	bulk.Protocol
	entry.JobProtocol
}

// Decoder decodes the store's objects that the deployment's operator and servers write.
type Decoder interface {
	CatalogKind() objects.Kind
	ServerKind() objects.Kind
	RetirementKind() objects.Kind
	EvacuationKind() objects.Kind
	// EvacuatedZone returns the availability zone that an object asks to evacuate.
	EvacuatedZone(o objects.Object) ids.ZoneID
	// Catalog returns nil for an object that is not a configuration.
	Catalog(o objects.Object) (*catalog.Catalog, error)
	Server(o objects.Object) (directory.Server, error)
	// RetirementStatus returns the status that a retiring host reports to the operator.
	RetirementStatus(completed bool) any
}

// Environment holds what a deployment provides.
type Environment struct {
	Settings node.Settings
	Store    objects.Client
	Decoder  Decoder
	Protocol Protocol
	// DisabledMechanisms lists the scheduling mechanisms that are disabled, for measurements.
	DisabledMechanisms []dispatch.Mechanism
	// ServerDialer connects to backend servers; nil stands for the network.
	ServerDialer upstream.Dialer
}

// newServerClient returns the client of backend servers. It connects over the hosts that the dispatcher names for this purpose
// to servers that this host doesn't reach.
func (e Environment) newServerClient(c clock.Clock, notices *drainNotices, slotClient *slots.Client) *upstream.Client {
	options := []upstream.Option{
		upstream.OnDraining(notices.fromServer), upstream.WithRelays(serverrelay.NewDialer(c, slotClient.Relays)), upstream.OnCutOff(slotClient.SetCutOff),
	}
	if e.ServerDialer != nil {
		options = append(options, upstream.WithDialer(e.ServerDialer))
	}
	return upstream.NewClient(c, options...)
}

// newEvacuations returns the evacuations of the deployment's availability zones.
func (e Environment) newEvacuations(c clock.Clock) *evacuations {
	return newEvacuations(c, e.Settings.EvacuationTimeout > 0, e.Decoder.EvacuatedZone)
}

// Apply applies those changed settings that a running process can change: the memory limit.
func Apply(s node.Settings) {
	limitMemory(s)
}

func limitMemory(s node.Settings) {
	if s.MemoryMB <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryPercent / 100)
	debug.SetGCPercent(gcPercent)
}

// decodeCatalog returns the configuration among the objects, or nil if there is none that can be decoded.
func (e Environment) decodeCatalog(all map[string]objects.Object) (found *catalog.Catalog) {
	for _, o := range all {
		c, err := e.Decoder.Catalog(o)
		if err != nil {
			log.WithError(err).Error("cannot decode the configuration, keeping the current one")
			continue
		}
		if c != nil {
			found = c
		}
	}
	return found
}

// serverDecoder returns a function that decodes the servers' registrations and calls onChange with the list. A
// registration that can't be decoded is skipped, and logged once per revision.
func (e Environment) serverDecoder(onChange func(map[ids.BackendID]directory.Server)) func(map[string]objects.Object, objects.Revision) {
	type decoded struct {
		revision objects.Revision
		server   directory.Server
		err      error
	}
	cache := make(map[string]decoded)
	previous := make(map[ids.BackendID]directory.Server)
	return func(all map[string]objects.Object, revision objects.Revision) {
		list := make(map[ids.BackendID]directory.Server, len(all))
		for n, o := range all {
			entry, ok := cache[n]
			if !ok || entry.revision != o.Revision {
				entry.revision = o.Revision
				if entry.server, entry.err = e.Decoder.Server(o); entry.err != nil {
					log.WithError(entry.err).Warn("cannot decode a server's registration, skipping it")
				}
				cache[n] = entry
			}
			if entry.err == nil {
				list[entry.server.ID] = entry.server
			}
		}
		for n := range cache {
			if _, ok := all[n]; !ok {
				delete(cache, n)
			}
		}
		logServers(previous, list, revision)
		previous = list
		onChange(list)
	}
}

// maxServerLines is by how many servers the list may grow or shrink at once and still be logged with a line per server.
const maxServerLines = 5

// logServers logs each server that was added or removed, or that started or stopped draining.
func logServers(old, now map[ids.BackendID]directory.Server, revision objects.Revision) {
	logColdServers(old, now, revision)
	if len(now)-len(old) > maxServerLines || len(old)-len(now) > maxServerLines {
		log.WithFields(log.Fields{"before": len(old), "servers": len(now), "revision": revision}).Info("servers listed")
		return
	}
	for id, s := range now {
		if o, ok := old[id]; !ok || o.Draining != s.Draining {
			log.WithFields(log.Fields{"server": id, "service": s.Service, "address": s.Address, "draining": s.Draining, "revision": revision}).Info("server listed")
		}
	}
	for id := range old {
		if _, ok := now[id]; !ok {
			log.WithFields(log.Fields{"server": id, "revision": revision}).Info("server gone")
		}
	}
}

// workspaceRates returns the rates of all workspaces that have one.
func workspaceRates(c *catalog.Catalog) map[ids.WorkspaceID]dispatch.Rate {
	rates := make(map[ids.WorkspaceID]dispatch.Rate, len(c.Workspaces))
	for _, w := range c.Workspaces {
		if w.RatePerSecond > 0 || w.Burst > 0 {
			rates[w.ID] = dispatch.Rate{PerSecond: w.RatePerSecond, Burst: w.Burst}
		}
	}
	return rates
}

// serviceTraits returns the traits of all services.
func (e Environment) serviceTraits(c *catalog.Catalog) map[ids.ServiceName]dispatch.ServiceTraits {
	traits := make(map[ids.ServiceName]dispatch.ServiceTraits, len(c.Services))
	for _, s := range c.Services {
		traits[s.Name] = dispatch.ServiceTraits{
			Cold: cold.Bound{
				PerSecond: s.ColdPerSecond, MaxInSecond: s.ColdPerSecond*max(1, e.Settings.ColdExcess) + e.Settings.ColdSlack,
			},
			ColdTime: s.ColdTime, MemoryTokens: s.MemoryTokens,
		}
	}
	return traits
}

// serveMetrics serves the metrics until the context ends.
func serveMetrics(ctx context.Context, address string) {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	ln, err := listen(ctx, address)
	if err == nil {
		err = newGuardedServer(ctx, mux).serve(ln)
	}
	if err != nil && ctx.Err() == nil {
		log.WithError(err).WithField("address", address).Error("cannot serve metrics")
	}
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}}
	return lc.Listen(ctx, "tcp", address)
}
