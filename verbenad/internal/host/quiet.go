package host

import (
	stdlog "log"

	"github.com/VictoriaMetrics/metrics"
)

var callerFaults = metrics.NewCounter("verbenad_caller_connection_faults_total")

// faultCounter counts what the HTTP library says of callers' connections; each is a broken peer.
type faultCounter struct{}

func (faultCounter) Write(p []byte) (int, error) {
	callerFaults.Inc()
	return len(p), nil
}

func quietLog() *stdlog.Logger {
	return stdlog.New(faultCounter{}, "", 0)
}
