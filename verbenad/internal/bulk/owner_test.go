package bulk

import (
	"context"
	"net/http"
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

func (idleProtocol) ParseRequest(http.Header) exchange.RequestInfo { return exchange.RequestInfo{} }

// fixture is an owner with its store and lease.
type fixture struct {
	*qt.C
	store *memory.Store
	lease *switchableLease
	owner *Owner
}

// unreachableOwner answers each call as unavailable.
type unreachableOwner struct{}

func (unreachableOwner) Call(context.Context, bulk.Call) bulk.Reply { return unavailable }

// newFixture returns a fixture whose owner has loaded shard 3.
func newFixture(t *testing.T, store *memory.Store) *fixture {
	f := newFixtureWithoutShards(t, store, unreachableOwner{})
	f.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 1})
	f.eventually(func() bool { return f.call(bulk.Call{Op: bulk.ReadResults, Job: "none"}).Code == bulk.NotFound })
	return f
}

func newFixtureWithoutShards(t *testing.T, store *memory.Store, others OwnerClient) *fixture {
	c := clock.System{}
	f := &fixture{C: qt.New(t), store: store, lease: &switchableLease{}}
	place := slots.NewClient("s", "z", "", c, objectfeed.NewFeed(c), func() string { return "" }, func() string { return "" })
	f.owner = New(t.Context(), "s", store, 4096, f.lease, idleProtocol{}, place, upstream.NewClient(c), c, time.Minute, others)
	go f.owner.Run()
	route := catalog.Route{Name: "r", Kind: catalog.KindBatch, Targets: []catalog.Target{{Service: "llm", Weight: 1}}, MaxAttempts: 3}
	f.owner.SetCatalog(catalog.New(1, []catalog.Route{route}, nil, nil, catalog.Limits{}))
	return f
}

func (f *fixture) eventually(holds func() bool) {
	f.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.Fatal("condition not met within 10 s")
}

func (f *fixture) call(c bulk.Call) bulk.Reply {
	c.Workspace, c.Remaining = "w", time.Second
	return f.owner.Answer(context.Background(), hostlink.JobsCall{Shard: 3, Call: c})
}

func job(items, bytes int) *bulk.Job {
	now := time.Now()
	j := &bulk.Job{ID: "a", Workspace: "w", Route: "r", Submitted: now, Due: now.Add(time.Minute), GiveUpAt: now.Add(time.Hour)}
	for n := range items {
		j.Items = append(j.Items, bulk.Item{ID: bulk.ItemID("a" + string(rune('a'+n))), Path: "/x", Body: make([]byte, bytes), Tokens: 10})
	}
	return j
}

func (f *fixture) submit(j *bulk.Job) bulk.Code {
	return f.call(bulk.Call{Op: bulk.Submit, Job: j.ID, New: j}).Code
}

func TestAcceptedJobIsInTheStore(t *testing.T) {
	f := newFixture(t, memory.New())
	f.Assert(f.submit(job(3, 10)), qt.Equals, bulk.Done)
	f.Assert(f.submit(job(3, 10)), qt.Equals, bulk.Done)
	next := newFixture(t, f.store)
	reply := next.call(bulk.Call{Op: bulk.ReadResults, Job: "a"})
	f.Assert(reply.Code, qt.Equals, bulk.Done)
	f.Assert(reply.Total, qt.Equals, 3)
}

// TestLargeJobIsSplit: a job that exceeds the store's value limit is stored in parts and read back whole.
func TestLargeJobIsSplit(t *testing.T) {
	f := newFixture(t, memory.New())
	f.Assert(f.submit(job(9, 1000)), qt.Equals, bulk.Done)
	next := newFixture(t, f.store)
	body := next.call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: "ai"})
	f.Assert(body.Code, qt.Equals, bulk.Done)
	f.Assert(body.Body, qt.HasLen, 1000)
}

// TestRefusedJobIsNotAccepted: a submission that the store refused is answered as not executed.
func TestRefusedJobIsNotAccepted(t *testing.T) {
	f := newFixture(t, memory.New())
	f.store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
	f.Assert(f.submit(job(1, 10)), qt.Equals, bulk.Unavailable)
	f.store.SetFault(nil)
	f.Assert(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.NotFound)
}

// TestLostAnswerIsResolved: a write whose answer was lost is found stored by the retry.
func TestLostAnswerIsResolved(t *testing.T) {
	f := newFixture(t, memory.New())
	var lost atomic.Bool
	f.store.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "create" && !lost.Swap(true) {
			return memory.LoseAnswer
		}
		return memory.None
	})
	f.Assert(f.submit(job(2, 10)), qt.Equals, bulk.Done)
	f.Assert(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Total, qt.Equals, 2)
}

// TestUnknownWriteIsNotReportedAsUnavailable: after a write without an answer, a refusal of the retry doesn't show
// that the first one had no effect.
func TestUnknownWriteIsNotReportedAsUnavailable(t *testing.T) {
	f := newFixture(t, memory.New())
	var calls atomic.Int64
	f.store.SetFault(func(memory.Op) memory.Fault {
		if calls.Add(1) == 1 {
			return memory.LoseCall
		}
		return memory.Refuse
	})
	f.Assert(f.submit(job(1, 10)), qt.Equals, bulk.OutcomeUnknown)
	f.Assert(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.Unavailable)
}

// TestLeaseLostDuringAccept: a successor may have listed the jobs before the write took effect, so the job is not
// reported as accepted; the caller's retry reaches the successor.
func TestLeaseLostDuringAccept(t *testing.T) {
	f := newFixture(t, memory.New())
	f.store.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "create" {
			f.lease.lost.Store(true)
		}
		return memory.None
	})
	f.Assert(f.submit(job(1, 10)), qt.Equals, bulk.OutcomeUnknown)
	next := newFixture(t, f.store)
	f.Assert(next.submit(job(1, 10)), qt.Equals, bulk.Done)
}

// TestLeaseRenewedAfterAccept: a lease that lapsed while the store was unavailable and could be renewed afterwards
// was not broken, so the job is accepted, even if its caller has left by then.
func TestLeaseRenewedAfterAccept(t *testing.T) {
	f := newFixture(t, memory.New())
	f.store.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "create" {
			f.lease.lost.Store(true)
			time.AfterFunc(100*time.Millisecond, func() { f.lease.lost.Store(false) })
		}
		return memory.None
	})
	f.Assert(f.submit(job(2, 10)), qt.Equals, bulk.Done)
	f.Assert(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Total, qt.Equals, 2)
}

// TestNewEpochReloadsShard: a shard that another host owned in between is loaded again.
func TestNewEpochReloadsShard(t *testing.T) {
	f := newFixture(t, memory.New())
	other := newFixture(t, f.store)
	f.Assert(other.submit(job(1, 10)), qt.Equals, bulk.Done)
	f.Assert(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.NotFound)
	f.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 3})
	f.eventually(func() bool { return f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code == bulk.Done })
}

// TestLeaseLostDuringEnd: a successor may have read the job as open, so its end is not confirmed.
func TestLeaseLostDuringEnd(t *testing.T) {
	f := newFixture(t, memory.New())
	f.Assert(f.submit(job(1, 10)), qt.Equals, bulk.Done)
	f.store.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "status" {
			f.lease.lost.Store(true)
		}
		return memory.None
	})
	f.Assert(f.call(bulk.Call{Op: bulk.EndJob, Job: "a"}).Code, qt.Equals, bulk.OutcomeUnknown)
	f.store.SetFault(nil)
	f.lease.lost.Store(false)
	f.Assert(f.call(bulk.Call{Op: bulk.EndJob, Job: "a"}).Code, qt.Equals, bulk.Done)
}

// TestNoNotFoundWithoutLease: a host that may have a successor doesn't report a job as not found.
func TestNoNotFoundWithoutLease(t *testing.T) {
	f := newFixture(t, memory.New())
	f.lease.lost.Store(true)
	f.Assert(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.Unavailable)
	f.Assert(f.submit(job(1, 10)), qt.Equals, bulk.Unavailable)
}

// TestEndedJobHasNoBodies: the bodies of a job's items can't be read after its end, nor after a reload.
func TestEndedJobHasNoBodies(t *testing.T) {
	f := newFixture(t, memory.New())
	f.Assert(f.submit(job(1, 10)), qt.Equals, bulk.Done)
	f.Assert(f.call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: "aa"}).Code, qt.Equals, bulk.Done)
	f.Assert(f.call(bulk.Call{Op: bulk.EndJob, Job: "a"}).Code, qt.Equals, bulk.Done)
	f.Assert(f.call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: "aa"}).Code, qt.Equals, bulk.NotFound)
	f.Assert(newFixture(t, f.store).call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: "aa"}).Code, qt.Equals, bulk.NotFound)
}

// TestFormerOwnerReturnsNoEmptyRead: a former owner doesn't know the results that its successor made visible, so
// only the shard's owner may answer that there is no result at a position yet.
func TestFormerOwnerReturnsNoEmptyRead(t *testing.T) {
	f := newFixture(t, memory.New())
	f.Assert(f.submit(job(2, 10)), qt.Equals, bulk.Done)
	f.Assert(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.Done)
	f.lease.lost.Store(true)
	f.Assert(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.Unavailable)
	// A read that has waited checks the lease when it answers, not when it arrived.
	f.lease.lost.Store(false)
	time.AfterFunc(50*time.Millisecond, func() { f.lease.lost.Store(true) })
	f.Assert(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a", Wait: 200 * time.Millisecond}).Code, qt.Equals, bulk.Unavailable)
}

// TestResultsOfFormerOwnerStayHidden: a successor may have listed the segments before a write took effect, so the
// writer makes its results visible only while no other host can own the shard.
func TestResultsOfFormerOwnerStayHidden(t *testing.T) {
	f := newFixture(t, memory.New())
	f.Assert(f.submit(job(2, 10)), qt.Equals, bulk.Done)
	f.store.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "create" {
			f.lease.lost.Store(true)
		}
		return memory.None
	})
	f.addResult("aa")
	f.eventually(func() bool { return f.segmentCount() == 1 })
	time.Sleep(2 * retryPause)
	reply := f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"})
	f.Assert(reply.Results, qt.HasLen, 0)
	f.Assert(reply.Code, qt.Equals, bulk.Unavailable)
	// The lease was not broken: the same results become visible, once.
	f.store.SetFault(nil)
	f.lease.lost.Store(false)
	f.eventually(func() bool { return len(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Results) == 1 })
	f.Assert(f.segmentCount(), qt.Equals, 1)
}

// addResult adds an item's result as its run would.
func (f *fixture) addResult(item bulk.ItemID) {
	f.owner.post(func() {
		record, _ := f.owner.ledger.Job("a", "w")
		f.owner.addResult(record, bulk.Result{Item: item, State: bulk.Completed, Output: "x"})
	})
}

// segmentCount returns the number of segments in the store.
func (f *fixture) segmentCount() int {
	l, err := f.store.List(context.Background(), kindResults(3), false)
	f.Assert(err, qt.IsNil)
	return len(l.Objects)
}
