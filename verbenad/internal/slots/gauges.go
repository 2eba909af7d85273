package slots

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"verbenaledge.example/verbena/dispatch"
)

const (
	// showEvery is how old the gauges of a busy machine may be; a scrape comes every few seconds.
	showEvery = time.Second
	// mostServices bounds the services that have gauges.
	mostServices = 200
)

// gauges show what a machine's services do. by tells the dispatcher's machine from a host's own.
type gauges struct {
	by    string
	shown time.Time
	known map[string]bool
}

func (g *gauges) show(now time.Time, m *dispatch.Scheduler) {
	if now.Sub(g.shown) < showEvery {
		return
	}
	g.shown = now
	if g.known == nil {
		g.known = make(map[string]bool)
	}
	for name, u := range m.Usage(now) {
		service := string(name)
		if !g.known[service] && len(g.known) >= mostServices {
			continue
		}
		g.known[service] = true
		g.set("slots", service, u.Slots)
		g.set("slots_used", service, u.Used)
		g.set("slots_of_batch", service, u.Batch)
		g.set("waiting", service, u.Waiting)
		g.set("servers", service, u.Servers)
		g.set("servers_ejected", service, u.Ejected)
	}
}

func (g *gauges) set(what, service string, n int) {
	metrics.GetOrCreateGauge(fmt.Sprintf("verbenad_dispatch_%s{by=%q,service=%q}", what, g.by, service), nil).Set(float64(n))
}
