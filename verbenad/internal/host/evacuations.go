package host

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
)

// evacuationsWait is how long the servers are held back until the evacuations are known. An unavailable store must not keep
// a host from serving.
const evacuationsWait = 2 * time.Second

// evacuations marks the servers of evacuated availability zones, for all parts of the process that send to servers.
type evacuations struct {
	clock clock.Clock
	// zoneOf returns the zone that an object asks to evacuate.
	zoneOf func(objects.Object) ids.ZoneID
	// age returns how long ago the store confirmed the evacuations.
	age func() time.Duration

	// applyMu is held while a list is marked and applied, so that an older one isn't applied after a newer one.
	applyMu sync.Mutex
	apply   func(map[ids.BackendID]directory.Server)
	servers map[ids.BackendID]directory.Server

	mu sync.Mutex
	// known is set once the evacuations are known, or have been waited for in vain.
	known   bool
	waiting bool
	zones   directory.Evacuations
}

// newEvacuations returns a set without evacuations. Unless it is enabled, the evacuations count as known.
func newEvacuations(c clock.Clock, enabled bool, zoneOf func(objects.Object) ids.ZoneID) *evacuations {
	e := &evacuations{
		clock: c, known: !enabled, zoneOf: zoneOf, age: func() time.Duration { return -1 }, apply: func(map[ids.BackendID]directory.Server) {},
	}
	metrics.GetOrCreateGauge("verbenad_evacuated_zones", func() float64 { return float64(e.count()) })
	return e
}

func (e *evacuations) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.zones.Count()
}

// IsEvacuated reports whether nothing new may be sent to a zone's servers.
func (e *evacuations) IsEvacuated(zone ids.ZoneID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.zones.Contains(zone)
}

// setServers marks and applies the store's list of servers.
func (e *evacuations) setServers(servers map[ids.BackendID]directory.Server) {
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	e.servers = servers
	e.applyLocked()
}

// applyLocked is called with applyMu held.
func (e *evacuations) applyLocked() {
	if e.servers == nil {
		return
	}
	e.mu.Lock()
	known, firstWait := e.known, !e.waiting
	e.waiting = true
	marked := e.zones.Mark(e.servers)
	e.mu.Unlock()
	if known {
		e.apply(marked)
		return
	}
	if firstWait {
		time.AfterFunc(evacuationsWait, e.endWait)
	}
}

// endWait applies the servers although the evacuations aren't known.
func (e *evacuations) endWait() {
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	e.mu.Lock()
	late := !e.known
	e.known = true
	e.mu.Unlock()
	if !late {
		return
	}
	log.WithField("waited_ms", evacuationsWait.Milliseconds()).Warn("evacuations are not known, serving without them")
	e.applyLocked()
}

// changed applies the store's objects that ask for evacuations.
func (e *evacuations) changed(all map[string]objects.Object, _ objects.Revision) {
	requested := make(map[ids.ZoneID]uint64, len(all))
	for _, o := range all {
		requested[e.zoneOf(o)] = uint64(o.Revision)
	}
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	now := e.clock.Now()
	e.mu.Lock()
	begun, ended := e.zones.Set(now, requested)
	first := !e.known
	e.known = true
	e.mu.Unlock()
	for _, b := range begun {
		log.WithFields(log.Fields{"zone": b.Zone, "revision": b.Revision, "list_age_ms": e.age().Milliseconds()}).Info("availability zone evacuated")
	}
	for _, b := range ended {
		log.WithFields(log.Fields{
			"zone": b.Zone, "revision": b.Revision, "list_age_ms": e.age().Milliseconds(), "lasted_ms": now.Sub(b.LearnedAt).Milliseconds(),
		}).Info("evacuation ended")
	}
	if first || len(begun)+len(ended) > 0 {
		e.applyLocked()
	}
}
