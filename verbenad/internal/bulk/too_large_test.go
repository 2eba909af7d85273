package bulk

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbenad/internal/slots"
)

// refusingSlots refuses each request for a reason.
type refusingSlots struct {
	SlotSource
	reason dispatch.Reason
}

func (s refusingSlots) Acquire(context.Context, dispatch.SlotRequest) (*slots.Slot, error) {
	return nil, &slots.RefusedError{Reason: s.reason}
}

// TestItemTooLargeForAllServers guards against items that ask for a slot until they are given up although no server can ever hold them.
func TestItemTooLargeForAllServers(t *testing.T) {
	i := newItemRun(t)
	i.owner.slots = refusingSlots{SlotSource: i.owner.slots, reason: dispatch.TooLarge}
	result, done := i.run(t.Context())
	qt.Assert(t, done, qt.IsTrue)
	qt.Assert(t, result.State, qt.Equals, bulk.Errored)
}
