package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestProcessesShareNoNetwork guards against fleets that don't start because the fleet of another process has taken an address.
func TestProcessesShareNoNetwork(t *testing.T) {
	first, err := claimNetwork()
	qt.Assert(t, err, qt.IsNil)
	second, err := claimNetwork()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, first.number, qt.Not(qt.Equals), second.number)
	qt.Check(t, first.claim.Close(), qt.IsNil)
	qt.Check(t, second.claim.Close(), qt.IsNil)
}
