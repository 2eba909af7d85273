package bulk

import (
	"context"
	"testing"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenad/internal/slots"
)

// scriptedSlots grants slots when a test says so.
type scriptedSlots struct {
	SlotSource
	requests chan dispatch.SlotRequest
	grants   chan *slots.Slot
	released chan dispatch.Outcome
	// ignoresEnd makes a wait last until the grant, as one does whose grant has already been sent.
	ignoresEnd bool
}

func (s *scriptedSlots) Acquire(ctx context.Context, r dispatch.SlotRequest) (*slots.Slot, error) {
	s.requests <- r
	ended := ctx.Done()
	if s.ignoresEnd {
		ended = nil
	}
	select {
	case slot := <-s.grants:
		return slot, nil
	case <-ended:
		return nil, ctx.Err()
	}
}

func (s *scriptedSlots) Release(_ *slots.Slot, o dispatch.Outcome) { s.released <- o }

// newScriptedFixture returns a fixture whose owner has loaded shard 3 and gets its slots from a script.
func newScriptedFixture(t *testing.T, ignoresEnd bool) (*fixture, *scriptedSlots) {
	f := newFixtureWithoutShards(t, memory.New(), unreachableOwner{})
	s := &scriptedSlots{
		requests: make(chan dispatch.SlotRequest, 2*maxRunning), grants: make(chan *slots.Slot), released: make(chan dispatch.Outcome, 9),
		ignoresEnd: ignoresEnd,
	}
	prepared := make(chan struct{})
	f.owner.post(func() {
		s.SlotSource, f.owner.slots = f.owner.slots, s
		f.owner.protocol = plainProtocol{}
		close(prepared)
	})
	<-prepared
	f.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 1})
	f.eventually(func() bool { return f.call(bulk.Call{Op: bulk.ReadResults, Job: "none"}).Code == bulk.NotFound })
	return f, s
}
