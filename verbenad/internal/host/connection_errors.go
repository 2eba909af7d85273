package host

import (
	stdlog "log"

	"github.com/VictoriaMetrics/metrics"
)

var callerConnectionErrors = metrics.NewCounter("verbenad_caller_connection_faults_total")

// connectionErrorCounter counts the lines that net/http logs about callers' connections. They report faults of callers,
// but also panics of the handler.
type connectionErrorCounter struct{}

func (connectionErrorCounter) Write(p []byte) (int, error) {
	callerConnectionErrors.Inc()
	return len(p), nil
}

// newConnectionErrorLog returns a logger that only counts lines.
func newConnectionErrorLog() *stdlog.Logger {
	return stdlog.New(connectionErrorCounter{}, "", 0)
}
