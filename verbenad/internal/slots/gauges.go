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
	}
}

func (g *gauges) set(name, service string, n int) {
	metrics.GetOrCreateGauge(fmt.Sprintf("verbenad_dispatch_%s{by=%q,service=%q}", name, g.by, service), nil).Set(float64(n))
}
