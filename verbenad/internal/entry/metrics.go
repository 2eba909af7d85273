package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"verbenaledge.example/verbenad/internal/bounded"
)

// Routes and services come from the configuration, so their series are limited: some 20 outcomes and reasons for each
// of 100 routes, and one histogram per service.
const (
	maxRouteSeries   = 2000
	maxServiceSeries = 200
)

var (
	requests         = bounded.Counters("verbenad_requests_total", maxRouteSeries, "route", "service", "outcome", "reason")
	firstByteSeconds = bounded.Histograms("verbenad_entry_first_byte_seconds", maxServiceSeries, "service")
	answers          = bounded.Counters("verbenad_entry_answers_total", maxServiceSeries, "service", "framing")
	slotWaitSeconds  = bounded.Histograms("verbenad_entry_slot_wait_seconds", maxServiceSeries, "service")

	servedRequests  = metrics.NewCounter("verbenad_entry_served_total")
	resumedStreams  = metrics.NewCounter("verbenad_entry_streams_resumed_total")
	unconfirmedEnds = metrics.NewCounter("verbenad_entry_unconfirmed_ends_total")
	retriedRequests = metrics.NewCounter("verbenad_entry_retries_total")
	cutResponses    = metrics.NewCounter("verbenad_entry_cut_total")
	departedCallers = metrics.NewCounter("verbenad_entry_callers_left_total")
)

func refusals(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("verbenad_entry_refused_total{reason=%q}", reason))
}

func failures(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("verbenad_entry_failed_total{reason=%q}", reason))
}
