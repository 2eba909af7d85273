package bulk

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/catalog"
)

// TestLoweredAttemptsEndItems guards against items that are errored by a configuration that allows fewer attempts than the one under which
// their job was accepted, in either order, and against more than three times as many failures as the newer one allows.
func TestLoweredAttemptsEndItems(t *testing.T) {
	for _, tc := range []struct {
		name              string
		accepted, present int
		version           catalog.Version
		want              int
	}{
		{"unchanged", 3, 3, 9, 3},
		{"lowered to a third", 3, 1, 10, 3},
		{"lowered further", 5, 1, 10, 3},
		{"raised", 1, 3, 10, 3},
		{"raised further", 1, 5, 10, 5},
		{"not recorded", 0, 2, 10, 2},
		{"an owner with an older configuration that allows fewer", 5, 1, 7, 5},
		{"an owner with an older configuration that allows more", 1, 5, 7, 3},
	} {
		j := Job{Configuration: 9, MaxAttempts: tc.accepted}
		qt.Check(t, j.EndingFailures(tc.present, tc.version), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}
