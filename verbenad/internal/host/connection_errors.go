package host

import "github.com/VictoriaMetrics/metrics"

// callerConnectionErrors counts the lines that net/http logs about callers' connections. They report faults of callers,
// but also panics of the handler.
var callerConnectionErrors = metrics.NewCounter("verbenad_caller_connection_faults_total")
