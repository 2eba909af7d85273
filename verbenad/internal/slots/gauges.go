package slots

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"verbenaledge.example/verbena/dispatch"
)

const (
	// gaugeInterval is the least time between updates of a scheduler's gauges; they are scraped every few seconds.
	gaugeInterval = time.Second
	// maxGaugeServices bounds the services that have gauges.
	maxGaugeServices = 200
)

// gauges exports the usage of a scheduler's services. by distinguishes the dispatcher's scheduler from a host's
// local one.
type gauges struct {
	by        string
	updatedAt time.Time
	services  map[string]bool
	roomLog   roomLog
}

func (g *gauges) update(now time.Time, scheduler *dispatch.Scheduler) {
	if now.Sub(g.updatedAt) < gaugeInterval {
		return
	}
	g.updatedAt = now
	if g.services == nil {
		g.services = make(map[string]bool)
	}
	for name, u := range scheduler.Usage(now) {
		service := string(name)
		if !g.services[service] && len(g.services) >= maxGaugeServices {
			continue
		}
		g.services[service] = true
		g.set("slots", service, u.Slots)
		g.set("slots_used", service, u.Used)
		g.set("slots_of_batch", service, u.Batch)
		g.set("waiting", service, u.Waiting)
		g.set("servers", service, u.Servers)
		g.set("servers_ejected", service, u.Ejected)
		g.set("servers_cold", service, u.Cold)
		g.set("workspaces_beyond_share", service, u.BeyondShare)
		g.setLimits(service, u)
		for _, p := range u.Paces {
			g.histogram("server_pace_percent", service).Update(float64(p))
		}
		for _, share := range u.HeldMemory {
			g.histogram("memory_held_share", service).Update(share)
		}
		g.roomLog.record(now, name, u)
		g.set("part_tokens_held", service, u.PartTokens.Held)
		g.set("part_tokens_held_elsewhere", service, u.PartTokens.HeldElsewhere)
		g.set("part_tokens_new", service, u.PartTokens.New)
	}
}

// histogram returns one of the servers of a service, each of which counts once in gaugeInterval.
func (g *gauges) histogram(name, service string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf("verbenad_dispatch_%s{by=%q,service=%q}", name, g.by, service))
}

func (g *gauges) set(name, service string, n int) { g.setFloat(name, service, float64(n)) }

func (g *gauges) setFloat(name, service string, v float64) {
	metrics.GetOrCreateGauge(fmt.Sprintf("verbenad_dispatch_%s{by=%q,service=%q}", name, g.by, service), nil).Set(v)
}

// setLimits exports what servers name, and what they are sent.
func (g *gauges) setLimits(service string, u dispatch.Usage) {
	g.set("servers_limited", service, u.Limited)
	g.setFloat("limit_per_second", service, float64(u.LimitPerSecond))
	g.set("limited_grants", service, u.LimitedGrants)
	g.set("held_back_by_limits", service, u.HeldBack)
}
