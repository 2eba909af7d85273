package slots

import (
	"fmt"

	"github.com/apex/log"

	"verbenaledge.example/verbena/dispatch"
)

// logBrokenSend logs that a scheduler of this host counted a broken send against a request.
func logBrokenSend(cmd dispatch.BrokenSendCounted) {
	log.WithFields(log.Fields{
		"peer": cmd.Key.Host, "server": cmd.Server, "fingerprint": fmt.Sprintf("%016x", cmd.Fingerprint), "count": cmd.Count,
	}).Info("broken send counted")
}
