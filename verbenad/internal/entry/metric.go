package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	served    = metrics.NewCounter("verbenad_entry_served_total")
	resumed   = metrics.NewCounter("verbenad_entry_streams_resumed_total")
	retried   = metrics.NewCounter("verbenad_entry_retries_total")
	cut       = metrics.NewCounter("verbenad_entry_cut_total")
	callsLeft = metrics.NewCounter("verbenad_entry_callers_left_total")
	firstByte = metrics.NewHistogram("verbenad_entry_first_byte_seconds")
	waited    = metrics.NewHistogram("verbenad_entry_slot_wait_seconds")
)

func refused(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("verbenad_entry_refused_total{reason=%q}", reason))
}

func failed(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("verbenad_entry_failed_total{reason=%q}", reason))
}
