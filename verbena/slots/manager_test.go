package slots_test

import (
	"fmt"
	"testing"
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/scripted"
	"verbenaledge.example/verbena/slots"
)

func TestScripts(t *testing.T) {
	scripted.Run(t, func() scripted.Step {
		m := slots.NewManager(slots.Policy{Max: 32, Shared: 2, QuietPeriod: time.Second, DoublingTime: time.Second})
		return func(t *testing.T, words scripted.Words) []string {
			switch words.At(1) {
			case "report":
				m.ReportOnline(words.Time(), ids.HostID(words.At(2)), uint64(words.Number(3)), words.Number(4))
				return nil
			case "slots":
				return []string{fmt.Sprint(m.Slots(words.Time()))}
			case "online":
				return []string{fmt.Sprint(m.Online(words.Time()))}
			}
			t.Fatalf("unknown event %v", words)
			return nil
		}
	})
}
