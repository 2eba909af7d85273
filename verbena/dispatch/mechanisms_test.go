package dispatch

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestParseMechanisms(t *testing.T) {
	c := qt.New(t)
	got, err := ParseMechanisms("stalls,batch_plan")
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, []Mechanism{Stalls, BatchPlan})
	_, err = ParseMechanisms("stalls,stall")
	c.Assert(err, qt.ErrorMatches, `mechanism "stall" is unknown; there are none, batch_plan, .*stalls.*`)
}
