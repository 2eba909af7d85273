package retry_test

import (
	"strconv"
	"testing"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/retry"
	"verbenaledge.example/verbena/scripted"
)

func TestScripts(t *testing.T) {
	scripted.Run(t, func() scripted.Step {
		b := retry.NewBudget(0.25, 2)
		return func(t *testing.T, words scripted.Words) []string {
			workspace := ids.WorkspaceID(words.At(1))
			switch words.At(0) {
			case "earn":
				b.Earn(workspace)
				return nil
			case "spend":
				return []string{strconv.FormatBool(b.Spend(workspace))}
			}
			t.Fatalf("unknown event %v", words)
			return nil
		}
	})
}
