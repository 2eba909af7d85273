package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"verbenaledge.example/verbenad/internal/bounded"
)

// Routes and services come from the configuration, so their series are bounded: some 20 outcomes and
// reasons for each of 100 routes, and one histogram a service.
const (
	mostRouteSeries   = 2000
	mostServiceSeries = 200
)

var (
	requests  = bounded.Counters("verbenad_requests_total", mostRouteSeries, "route", "service", "outcome", "reason")
	firstByte = bounded.Histograms("verbenad_entry_first_byte_seconds", mostServiceSeries, "service")
	waited    = bounded.Histograms("verbenad_entry_slot_wait_seconds", mostServiceSeries, "service")

	served    = metrics.NewCounter("verbenad_entry_served_total")
	resumed   = metrics.NewCounter("verbenad_entry_streams_resumed_total")
	retried   = metrics.NewCounter("verbenad_entry_retries_total")
	cut       = metrics.NewCounter("verbenad_entry_cut_total")
	callsLeft = metrics.NewCounter("verbenad_entry_callers_left_total")
)

func refused(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("verbenad_entry_refused_total{reason=%q}", reason))
}

func failed(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("verbenad_entry_failed_total{reason=%q}", reason))
}
