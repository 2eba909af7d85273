package callerconn

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/callerguard"
)

// countClosed counts and logs a connection that this host refused or closed. The log limits its lines of each kind.
func countClosed(r callerguard.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("verbenad_caller_connections_closed_total{reason=%q}", r)).Inc()
	if r != callerguard.IdleTooLong {
		log.WithField("reason", string(r)).Info("caller connection closed")
	}
}
