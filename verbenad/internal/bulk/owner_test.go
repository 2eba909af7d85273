package bulk

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenad/internal/hostlink"
	"verbenaledge.example/verbenad/internal/objectfeed"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

// switchableLease is a lease that a test can take away and give back.
type switchableLease struct{ lost atomic.Bool }

func (s *switchableLease) Owns(bulk.Shard) bool { return !s.lost.Load() }

// idleProtocol encodes no requests: no item of these tests gets a slot.
type idleProtocol struct{ exchange.Protocol }

func (idleProtocol) ItemRequest(i bulk.Item) (id ids.RequestID, header map[string][]string) {
	return ids.RequestID(i.ID), nil
}

type fixture struct {
	*qt.C
	store *memory.Store
	lease *switchableLease
	owner *Owner
}

// unreachableOwner answers each call as unavailable.
type unreachableOwner struct{}

func (unreachableOwner) Call(context.Context, bulk.Call) bulk.Reply { return unavailable }

func newFixture(t *testing.T, store *memory.Store) *fixture {
	r := newOwner(t, store, unreachableOwner{})
	r.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 1})
	r.eventually(func() bool { return r.call(bulk.Call{Op: bulk.ReadResults, Job: "none"}).Code == bulk.NotFound })
	return r
}

func newOwner(t *testing.T, store *memory.Store, others OwnerClient) *fixture {
	c := clock.System{}
	r := &fixture{C: qt.New(t), store: store, lease: &switchableLease{}}
	place := slots.NewClient("s", "z", "", c, objectfeed.NewFeed(c), func() string { return "" }, func() string { return "" })
	r.owner = New(t.Context(), "s", store, 4096, r.lease, idleProtocol{}, place, upstream.NewClient(c), c, time.Minute, others)
	go r.owner.Run()
	route := catalog.Route{Name: "r", Kind: catalog.KindBatch, Targets: []catalog.Target{{Service: "llm", Weight: 1}}, MaxAttempts: 3}
	r.owner.SetCatalog(catalog.New(1, []catalog.Route{route}, nil, nil, catalog.Limits{}))
	return r
}

func (r *fixture) eventually(holds func() bool) {
	r.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	r.Fatal("condition not met within 10 s")
}

func (r *fixture) call(c bulk.Call) bulk.Reply {
	c.Workspace, c.Remaining = "w", time.Second
	return r.owner.Answer(context.Background(), hostlink.JobsCall{Shard: 3, Call: c})
}

func job(items, bytes int) *bulk.Job {
	now := time.Now()
	j := &bulk.Job{ID: "a", Workspace: "w", Route: "r", Submitted: now, Due: now.Add(time.Minute), GiveUpAt: now.Add(time.Hour)}
	for n := range items {
		j.Items = append(j.Items, bulk.Item{ID: bulk.ItemID("a" + string(rune('a'+n))), Path: "/x", Body: make([]byte, bytes), Tokens: 10})
	}
	return j
}

func (r *fixture) submit(j *bulk.Job) bulk.Code {
	return r.call(bulk.Call{Op: bulk.Submit, Job: j.ID, New: j}).Code
}

func TestAcceptedJobIsInTheStore(t *testing.T) {
	r := newFixture(t, memory.New())
	r.Assert(r.submit(job(3, 10)), qt.Equals, bulk.Done)
	r.Assert(r.submit(job(3, 10)), qt.Equals, bulk.Done)
	next := newFixture(t, r.store)
	reply := next.call(bulk.Call{Op: bulk.ReadResults, Job: "a"})
	r.Assert(reply.Code, qt.Equals, bulk.Done)
	r.Assert(reply.Total, qt.Equals, 3)
}

// TestLargeJobIsSplit: a job that exceeds the store's value limit is stored in parts and read back whole.
func TestLargeJobIsSplit(t *testing.T) {
	r := newFixture(t, memory.New())
	r.Assert(r.submit(job(9, 1000)), qt.Equals, bulk.Done)
	next := newFixture(t, r.store)
	body := next.call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: "ai"})
	r.Assert(body.Code, qt.Equals, bulk.Done)
	r.Assert(body.Body, qt.HasLen, 1000)
}

// TestRefusedJobIsNotAccepted: a submission that the store refused is answered as not executed.
func TestRefusedJobIsNotAccepted(t *testing.T) {
	r := newFixture(t, memory.New())
	r.store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
	r.Assert(r.submit(job(1, 10)), qt.Equals, bulk.Unavailable)
	r.store.SetFault(nil)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.NotFound)
}

// TestLostAnswerIsResolved: a write whose answer was lost is found stored by the retry.
func TestLostAnswerIsResolved(t *testing.T) {
	r := newFixture(t, memory.New())
	var lost atomic.Bool
	r.store.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "create" && !lost.Swap(true) {
			return memory.LoseAnswer
		}
		return memory.None
	})
	r.Assert(r.submit(job(2, 10)), qt.Equals, bulk.Done)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Total, qt.Equals, 2)
}

// TestUnknownWriteIsNotReportedAsUnavailable: after a write without an answer, a refusal of the retry doesn't show
// that the first one had no effect.
func TestUnknownWriteIsNotReportedAsUnavailable(t *testing.T) {
	r := newFixture(t, memory.New())
	var calls atomic.Int64
	r.store.SetFault(func(memory.Op) memory.Fault {
		if calls.Add(1) == 1 {
			return memory.LoseCall
		}
		return memory.Refuse
	})
	r.Assert(r.submit(job(1, 10)), qt.Equals, bulk.OutcomeUnknown)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.Unavailable)
}

// TestLeaseLostDuringAccept: a successor may have listed the jobs before the write took effect, so the job is not
// reported as accepted; the caller's retry reaches the successor.
func TestLeaseLostDuringAccept(t *testing.T) {
	r := newFixture(t, memory.New())
	r.store.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "create" {
			r.lease.lost.Store(true)
		}
		return memory.None
	})
	r.Assert(r.submit(job(1, 10)), qt.Equals, bulk.OutcomeUnknown)
	next := newFixture(t, r.store)
	r.Assert(next.submit(job(1, 10)), qt.Equals, bulk.Done)
}

// TestLeaseRenewedAfterAccept: a lease that lapsed while the store was unavailable and could be renewed afterwards
// was not broken, so the job is accepted, even if its caller has left by then.
func TestLeaseRenewedAfterAccept(t *testing.T) {
	r := newFixture(t, memory.New())
	r.store.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "create" {
			r.lease.lost.Store(true)
			time.AfterFunc(100*time.Millisecond, func() { r.lease.lost.Store(false) })
		}
		return memory.None
	})
	r.Assert(r.submit(job(2, 10)), qt.Equals, bulk.Done)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Total, qt.Equals, 2)
}

// TestNewEpochReloadsShard: a shard that another host owned in between is loaded again.
func TestNewEpochReloadsShard(t *testing.T) {
	r := newFixture(t, memory.New())
	other := newFixture(t, r.store)
	r.Assert(other.submit(job(1, 10)), qt.Equals, bulk.Done)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.NotFound)
	r.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 3})
	r.eventually(func() bool { return r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code == bulk.Done })
}

// TestLeaseLostDuringEnd: a successor may have read the job as open, so its end is not confirmed.
func TestLeaseLostDuringEnd(t *testing.T) {
	r := newFixture(t, memory.New())
	r.Assert(r.submit(job(1, 10)), qt.Equals, bulk.Done)
	r.store.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "status" {
			r.lease.lost.Store(true)
		}
		return memory.None
	})
	r.Assert(r.call(bulk.Call{Op: bulk.EndJob, Job: "a"}).Code, qt.Equals, bulk.OutcomeUnknown)
	r.store.SetFault(nil)
	r.lease.lost.Store(false)
	r.Assert(r.call(bulk.Call{Op: bulk.EndJob, Job: "a"}).Code, qt.Equals, bulk.Done)
}

// TestNoNotFoundWithoutLease: a host that may have a successor doesn't report a job as not found.
func TestNoNotFoundWithoutLease(t *testing.T) {
	r := newFixture(t, memory.New())
	r.lease.lost.Store(true)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.Unavailable)
	r.Assert(r.submit(job(1, 10)), qt.Equals, bulk.Unavailable)
}

// TestEndedJobHasNoBodies: the bodies of a job's items can't be read after its end, nor after a reload.
func TestEndedJobHasNoBodies(t *testing.T) {
	r := newFixture(t, memory.New())
	r.Assert(r.submit(job(1, 10)), qt.Equals, bulk.Done)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: "aa"}).Code, qt.Equals, bulk.Done)
	r.Assert(r.call(bulk.Call{Op: bulk.EndJob, Job: "a"}).Code, qt.Equals, bulk.Done)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: "aa"}).Code, qt.Equals, bulk.NotFound)
	r.Assert(newFixture(t, r.store).call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: "aa"}).Code, qt.Equals, bulk.NotFound)
}

// TestFormerOwnerReturnsNoEmptyRead: a former owner doesn't know the results that its successor made visible, so
// only the shard's owner may answer that there is no result at a position yet.
func TestFormerOwnerReturnsNoEmptyRead(t *testing.T) {
	r := newFixture(t, memory.New())
	r.Assert(r.submit(job(2, 10)), qt.Equals, bulk.Done)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.Done)
	r.lease.lost.Store(true)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.Unavailable)
	// A read that has waited checks the lease when it answers, not when it arrived.
	r.lease.lost.Store(false)
	time.AfterFunc(50*time.Millisecond, func() { r.lease.lost.Store(true) })
	r.Assert(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a", Wait: 200 * time.Millisecond}).Code, qt.Equals, bulk.Unavailable)
}

// TestResultsOfFormerOwnerStayHidden: a successor may have listed the segments before a write took effect, so the
// writer makes its results visible only while no other host can own the shard.
func TestResultsOfFormerOwnerStayHidden(t *testing.T) {
	r := newFixture(t, memory.New())
	r.Assert(r.submit(job(2, 10)), qt.Equals, bulk.Done)
	r.store.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "create" {
			r.lease.lost.Store(true)
		}
		return memory.None
	})
	r.addResult("aa")
	r.eventually(func() bool { return r.segmentCount() == 1 })
	time.Sleep(2 * retryPause)
	reply := r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"})
	r.Assert(reply.Results, qt.HasLen, 0)
	r.Assert(reply.Code, qt.Equals, bulk.Unavailable)
	// The lease was not broken: the same results become visible, once.
	r.store.SetFault(nil)
	r.lease.lost.Store(false)
	r.eventually(func() bool { return len(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Results) == 1 })
	r.Assert(r.segmentCount(), qt.Equals, 1)
}

// addResult adds an item's result as its run would.
func (r *fixture) addResult(item bulk.ItemID) {
	r.owner.post(func() {
		record, _ := r.owner.ledger.Job("a", "w")
		r.owner.addResult(record, bulk.Result{Item: item, State: bulk.Completed, Output: "x"})
	})
}

// segmentCount returns the number of segments in the store.
func (r *fixture) segmentCount() int {
	l, err := r.store.List(context.Background(), kindResults(3), false)
	r.Assert(err, qt.IsNil)
	return len(l.Objects)
}
