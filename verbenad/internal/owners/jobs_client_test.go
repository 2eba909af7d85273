package owners

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/ownership"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// stoppingOwner executes calls, and replies too late: only once its host has stopped.
type stoppingOwner struct {
	executed chan bulk.Op
	stopped  chan struct{}
}

func (s stoppingOwner) Answer(_ context.Context, q hostlink.JobsCall) bulk.Reply {
	s.executed <- q.Call.Op
	<-s.stopped
	return bulk.Reply{Code: bulk.Done}
}

// constantOwner replies the same to all calls.
type constantOwner bulk.Code

func (c constantOwner) Answer(context.Context, hostlink.JobsCall) bulk.Reply {
	return bulk.Reply{Code: bulk.Code(c)}
}

// listenAsOwner serves calls at an address until the context ends.
func listenAsOwner(ctx context.Context, address string, v *View, owner hostlink.JobsOwner) (ended chan error) {
	ended = make(chan error, 1)
	go func() {
		ended <- hostlink.Listen(ctx, address, v, func(l *hostlink.Link, first hostlink.Frame) {
			hostlink.Serve(ctx, l, first, nil, owner)
		})
	}()
	return ended
}

// viewOf returns a view in which one address owns a shard.
func viewOf(t *testing.T, s bulk.Shard, address string) *View {
	spec, err := json.Marshal(ownership.Map{Units: map[ownership.Unit]ownership.Owner{ownership.Unit(s.Name()): {Address: address}}})
	qt.Assert(t, err, qt.IsNil)
	v := &View{}
	v.update(objects.Object{Name: mapName, Revision: 1, Spec: spec})
	return v
}

// TestCallCutByStop guards against callers that are told that a job wasn't accepted although the host that stopped had executed the
// call: neither its end nor the refusal of the next owner says that. If the next owner knows the outcome, callers get it.
func TestCallCutByStop(t *testing.T) {
	for _, op := range []bulk.Op{bulk.Submit, bulk.EndJob} {
		qt.Check(t, callCutByStop(t, op, constantOwner(bulk.Unavailable)).Code, qt.Equals, bulk.OutcomeUnknown)
		qt.Check(t, callCutByStop(t, op, constantOwner(bulk.Done)).Code, qt.Equals, bulk.Done)
	}
}

// TestSubmissionCutByStopIsNotRefusedOverCap guards against a refusal of a job that the host that stopped may have stored: the next
// owner, which has listed the jobs before, finds no room for it, and runs it once it lists them again.
func TestSubmissionCutByStopIsNotRefusedOverCap(t *testing.T) {
	qt.Check(t, callCutByStop(t, bulk.Submit, constantOwner(bulk.OverCap)).Code, qt.Equals, bulk.OutcomeUnknown)
}

// handedOverOwner replies to the first call that the outcome is unknown, as a host that hands its units over, and to later ones as
// the next owner.
type handedOverOwner struct {
	asked *atomic.Bool
	next  constantOwner
}

func (h handedOverOwner) Answer(ctx context.Context, q hostlink.JobsCall) bulk.Reply {
	if !h.asked.Swap(true) {
		return bulk.Reply{Code: bulk.OutcomeUnknown}
	}
	return h.next.Answer(ctx, q)
}

// TestUnknownOutcomeIsAskedOfNextOwner guards against the reply that the outcome is unknown while the next owner knows
// it and their time isn't over.
func TestUnknownOutcomeIsAskedOfNextOwner(t *testing.T) {
	for _, op := range []bulk.Op{bulk.Submit, bulk.EndJob} {
		qt.Check(t, callHandedOver(t, op, constantOwner(bulk.Done)).Code, qt.Equals, bulk.Done)
		qt.Check(t, callHandedOver(t, op, constantOwner(bulk.Unavailable)).Code, qt.Equals, bulk.OutcomeUnknown)
	}
	qt.Check(t, callHandedOver(t, bulk.Submit, constantOwner(bulk.OverCap)).Code, qt.Equals, bulk.OutcomeUnknown)
}

// unusedAddress returns an address that stays free until the test listens on it. Its IP address is this process's own, and not that of
// the loopback connections that other processes open.
func unusedAddress(t *testing.T) string {
	pid := os.Getpid() // at most 22 bits
	ip := net.IPv4(127, byte(64+pid>>16), byte(pid>>8), byte(pid))
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Assert(t, ln.Close(), qt.IsNil) }()
	return ln.Addr().String()
}

// callHandedOver returns the reply to a call whose owner hands its units over to another one.
func callHandedOver(t *testing.T, op bulk.Op, next constantOwner) bulk.Reply {
	call := bulk.Call{Op: op, Workspace: "w", Job: "j"}
	address := unusedAddress(t)
	v := viewOf(t, bulk.ShardOf(call.Workspace), address)
	listenCtx, stop := context.WithCancel(t.Context())
	ended := listenAsOwner(listenCtx, address, v, handedOverOwner{asked: &atomic.Bool{}, next: next})
	ctx, cancel := context.WithTimeout(t.Context(), 2*unreachableTimeout)
	defer cancel()
	reply := NewJobsClient(v, hostlink.NewRPCClient("h", func() []string { return nil })).Call(ctx, call)
	stop()
	qt.Assert(t, <-ended, qt.IsNil)
	return reply
}

// callCutByStop returns the reply to a call whose owner stops once it has executed it; the next owner has the same address.
func callCutByStop(t *testing.T, op bulk.Op, next hostlink.JobsOwner) bulk.Reply {
	call := bulk.Call{Op: op, Workspace: "w", Job: "j"}
	address := unusedAddress(t)
	v := viewOf(t, bulk.ShardOf(call.Workspace), address)
	stopping := stoppingOwner{executed: make(chan bulk.Op, 1), stopped: make(chan struct{})}
	defer close(stopping.stopped)
	stopCtx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := listenAsOwner(stopCtx, address, v, stopping)
	client := NewJobsClient(v, hostlink.NewRPCClient("h", func() []string { return nil }))
	ctx, cancel := context.WithTimeout(t.Context(), 2*unreachableTimeout)
	defer cancel()
	reply := make(chan bulk.Reply, 1)
	go func() { reply <- client.Call(ctx, call) }()
	qt.Assert(t, <-stopping.executed, qt.Equals, op)
	stop()
	qt.Assert(t, <-ended, qt.IsNil)
	nextCtx, stopNext := context.WithCancel(t.Context())
	nextEnded := listenAsOwner(nextCtx, address, v, next)
	r := <-reply
	stopNext()
	qt.Assert(t, <-nextEnded, qt.IsNil)
	return r
}
