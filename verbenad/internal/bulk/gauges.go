package bulk

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// gaugeInterval is how often the gauges are updated; they are scraped every few seconds.
const gaugeInterval = time.Second

var (
	shardsOwned    = metrics.NewGauge("verbenad_shards_owned", nil)
	jobsOpen       = metrics.NewGauge("verbenad_jobs_open", nil)
	itemsWaiting   = metrics.NewGauge(`verbenad_items{state="waiting"}`, nil)
	itemsRunning   = metrics.NewGauge(`verbenad_items{state="running"}`, nil)
	itemsUnwritten = metrics.NewGauge(`verbenad_items{state="unwritten"}`, nil)
)

// updateGauges sets the gauges to the state of this host's jobs.
func (o *Owner) updateGauges(now time.Time) {
	if now.Sub(o.gaugesUpdated) < gaugeInterval {
		return
	}
	o.gaugesUpdated = now
	c := o.ledger.Stats()
	shardsOwned.Set(float64(len(o.shards)))
	jobsOpen.Set(float64(c.Open))
	itemsWaiting.Set(float64(c.Waiting))
	itemsRunning.Set(float64(c.Running))
	itemsUnwritten.Set(float64(c.Unwritten))
}
