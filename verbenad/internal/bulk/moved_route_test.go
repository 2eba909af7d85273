package bulk

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenad/internal/slots"
)

// testTimeout is longer than any step of these tests takes on a busy machine.
const testTimeout = 10 * time.Second

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

// movedRouteFixture runs an item whose route leads to the service llm.
type movedRouteFixture struct {
	*fixture
	slots *scriptedSlots
}

func newMovedRouteFixture(t *testing.T, ignoresEnd bool) *movedRouteFixture {
	f := newFixtureWithoutShards(t, memory.New(), unreachableOwner{})
	s := &scriptedSlots{
		requests: make(chan dispatch.SlotRequest, 9), grants: make(chan *slots.Slot), released: make(chan dispatch.Outcome, 9), ignoresEnd: ignoresEnd,
	}
	j := job(1, 10)
	prepared := make(chan struct{})
	f.owner.post(func() {
		s.SlotSource, f.owner.slots = f.owner.slots, s
		f.owner.protocol = plainProtocol{}
		close(prepared)
	})
	<-prepared
	f.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 1})
	f.eventually(func() bool { return f.submit(j) == bulk.Done })
	return &movedRouteFixture{fixture: f, slots: s}
}

// moveRoute makes the route lead to another service.
func (f *movedRouteFixture) moveRoute() {
	route := catalog.Route{Name: "r", Kind: catalog.KindBatch, Targets: []catalog.Target{{Service: "other", Weight: 1}}, MaxAttempts: 3}
	f.owner.SetCatalog(catalog.New(2, []catalog.Route{route}, nil, nil, catalog.Limits{}))
}

func (f *movedRouteFixture) checkNextRequest(service ids.ServiceName) {
	f.Helper()
	select {
	case r := <-f.slots.requests:
		f.Assert(r.Service, qt.Equals, service)
	case <-time.After(testTimeout):
		f.Fatalf("no slot of the service %s was asked for", service)
	}
}

// TestWaitForFormerServiceEnds guards against an item that goes on waiting for a slot of the service that its route led to
// before, while the present one has free slots.
func TestWaitForFormerServiceEnds(t *testing.T) {
	f := newMovedRouteFixture(t, false)
	f.checkNextRequest("llm")
	f.moveRoute()
	f.checkNextRequest("other")
}

// TestSlotOfFormerServiceIsNotUsed guards against an item that is sent to the service that its route led to before.
func TestSlotOfFormerServiceIsNotUsed(t *testing.T) {
	f := newMovedRouteFixture(t, true)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	accepted := make(chan struct{}, 1)
	go func() {
		if conn, err := ln.Accept(); err == nil {
			_ = conn.Close()
			accepted <- struct{}{}
		}
	}()
	f.checkNextRequest("llm")
	f.moveRoute()
	former := directory.Server{ID: "a", Service: "llm", SoftwareVersion: "1", Incarnation: 1, Address: ln.Addr().String()}
	f.slots.grants <- &slots.Slot{Server: former, Yielded: make(chan struct{})}
	f.checkNextRequest("other")
	f.Assert((<-f.slots.released).Result, qt.Equals, dispatch.Cancelled)
	select {
	case <-accepted:
		f.Fatal("the item was sent to the former service")
	default:
	}
}
