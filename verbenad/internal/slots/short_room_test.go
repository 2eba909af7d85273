package slots

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/fairness"
)

// TestCountShortRoom guards against decisions that are counted although there was room, or under the wrong share, and against
// labels from what another build sends.
func TestCountShortRoom(t *testing.T) {
	c := qt.New(t)
	for range 2 {
		countShortRoom("test", dispatch.Grant{Inputs: dispatch.Inputs{Share: fairness.Within}})
	}
	countShortRoom("test", dispatch.Refuse{Inputs: dispatch.Inputs{Share: fairness.Beyond}})
	for _, cmd := range []dispatch.Command{
		dispatch.Grant{}, dispatch.Refuse{}, dispatch.Yield{}, dispatch.Refuse{Inputs: dispatch.Inputs{Share: 77}},
	} {
		countShortRoom("test", cmd)
	}
	got := make(map[string]uint64)
	for _, decision := range []string{"granted", "refused"} {
		for _, share := range []string{"within", "beyond", "none"} {
			name := `verbenad_dispatch_short_room_total{by="test",decision="` + decision + `",share="` + share + `"}`
			if n := metrics.GetOrCreateCounter(name).Get(); n > 0 {
				got[decision+" "+share] = n
			}
		}
	}
	c.Assert(got, qt.DeepEquals, map[string]uint64{"granted within": 2, "refused beyond": 1})
}
