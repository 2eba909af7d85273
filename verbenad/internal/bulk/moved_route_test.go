package bulk

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/slots"
)

// testTimeout is longer than any step of these tests takes on a busy machine.
const testTimeout = 10 * time.Second

// movedRouteFixture runs an item whose route leads to the service llm.
type movedRouteFixture struct {
	*fixture
	slots *scriptedSlots
}

func newMovedRouteFixture(t *testing.T, ignoresEnd bool) *movedRouteFixture {
	f, s := newScriptedFixture(t, ignoresEnd)
	f.Assert(f.submit(job(1, 10)), qt.Equals, bulk.Done)
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
