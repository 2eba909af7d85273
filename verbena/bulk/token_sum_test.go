package bulk

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTokensNeverOverflow guards against jobs that are accepted whatever the cap is, since their sums of tokens are negative.
func TestTokensNeverOverflow(t *testing.T) {
	half := Item{ID: "a", Tokens: math.MaxInt64/2 + 2}
	for _, items := range [][]Item{{half, half}, {half, half, half, half}, {{Tokens: math.MaxInt64}, {Tokens: 1}}, {{Tokens: math.MaxInt64}}} {
		l := NewLedger()
		qt.Check(t, l.ReserveTokens(&Job{ID: "j", Workspace: "w", Route: "r", Items: items}, 1000), qt.IsFalse)
		qt.Check(t, l.WaitingTokens("w", "r"), qt.Equals, int64(0))
		qt.Check(t, l.ReserveTokens(&Job{ID: "k", Workspace: "w", Route: "r", Items: []Item{{Tokens: 900}}}, 1000), qt.IsTrue)
		qt.Check(t, l.ReserveTokens(&Job{ID: "j", Workspace: "w", Route: "r", Items: items}, 1000), qt.IsFalse)
	}
}
