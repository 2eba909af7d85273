package bulk

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// showEvery is how old the gauges may be; a scrape comes every few seconds.
const showEvery = time.Second

var (
	shardsOwned    = metrics.NewGauge("verbenad_shards_owned", nil)
	jobsOpen       = metrics.NewGauge("verbenad_jobs_open", nil)
	itemsWaiting   = metrics.NewGauge(`verbenad_items{state="waiting"}`, nil)
	itemsRunning   = metrics.NewGauge(`verbenad_items{state="running"}`, nil)
	itemsUnwritten = metrics.NewGauge(`verbenad_items{state="unwritten"}`, nil)
)

// show tells how far the jobs of this host's shards are.
func (o *Owner) show(now time.Time) {
	if now.Sub(o.shown) < showEvery {
		return
	}
	o.shown = now
	c := o.ledger.Stats()
	shardsOwned.Set(float64(len(o.shards)))
	jobsOpen.Set(float64(c.Open))
	itemsWaiting.Set(float64(c.Waiting))
	itemsRunning.Set(float64(c.Running))
	itemsUnwritten.Set(float64(c.Unwritten))
}
