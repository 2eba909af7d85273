package slots

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/fairness"
)

// The schedulers whose decisions are counted.
const (
	countedByDispatcher = "dispatcher"
	countedByHost       = "host"
)

// countShortRoom counts a grant or a refusal that was decided while room was short, by whether the workspace was within its
// share. The labels are few, whatever the workspaces.
func countShortRoom(by string, cmd dispatch.Command) {
	decision, share := "", fairness.None
	switch cmd := cmd.(type) {
	case dispatch.Grant:
		decision, share = "granted", cmd.Inputs.Share
	case dispatch.Refuse:
		decision, share = "refused", cmd.Inputs.Share
	}
	if share != fairness.Within && share != fairness.Beyond {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("verbenad_dispatch_short_room_total{by=%q,decision=%q,share=%q}", by, decision, share)).Inc()
}
