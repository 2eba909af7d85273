// Package metric holds the daemon's metrics.
package metric

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// The metrics named verbenad_control_ count the work of coordinating hosts.
var (
	ControlSteps      = metrics.NewCounter("verbenad_control_steps_total")
	ControlSeconds    = metrics.NewFloatCounter("verbenad_control_seconds_total")
	PeerCalls         = metrics.NewCounter("verbenad_control_peer_calls_total")
	PeerCallsFailed   = metrics.NewCounter("verbenad_control_peer_calls_failed_total")
	PeerCallsServed   = metrics.NewCounter("verbenad_control_peer_served_total")
	PeerBytesSent     = metrics.NewCounter("verbenad_control_peer_sent_bytes_total")
	PeerBytesReceived = metrics.NewCounter("verbenad_control_peer_received_bytes_total")
	PeerDataBytes     = metrics.NewCounter("verbenad_data_peer_bytes_total")
	RequestsAnswered  = metrics.NewCounter("verbenad_requests_answered_total")
	RequestsRetried   = metrics.NewCounter("verbenad_requests_retried_total")
	StreamsResumed    = metrics.NewCounter("verbenad_streams_resumed_total")
	TokensForwarded   = metrics.NewCounter("verbenad_tokens_passed_total")
	ItemsDone         = metrics.NewCounter("verbenad_batch_items_done_total")
	ItemsYielded      = metrics.NewCounter("verbenad_batch_items_yielded_total")
	ItemsRetried      = metrics.NewCounter("verbenad_batch_items_returned_total")
	SegmentsWritten   = metrics.NewCounter("verbenad_batch_segments_written_total")
	SegmentsRefused   = metrics.NewCounter("verbenad_batch_segments_refused_total")
	FirstToken        = metrics.NewHistogram("verbenad_first_token_seconds")
)

// PlatformCall counts a call to the platform.
func PlatformCall(op string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("verbenad_control_platform_calls_total{op=%q}", op)).Inc()
}

// RequestRefused counts a refusal.
func RequestRefused(code string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("verbenad_requests_refused_total{code=%q}", code)).Inc()
}

// DocumentApplied counts a document whose new version took effect.
func DocumentApplied(name string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("verbenad_control_documents_total{name=%q}", name)).Inc()
}

// Write writes all metrics in the Prometheus text format.
func Write(w io.Writer) {
	metrics.WritePrometheus(w, true)
}
