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

// switched is a lease that a test takes away.
type switched struct{ lost atomic.Bool }

func (s *switched) Owns(bulk.Shard) bool { return !s.lost.Load() }

// silent spells nothing: no item of these tests gets a slot.
type silent struct{ exchange.Protocol }

func (silent) ItemRequest(i bulk.Item) (id ids.RequestID, header map[string][]string) {
	return ids.RequestID(i.ID), nil
}

type rig struct {
	*qt.C
	store *memory.Store
	lease *switched
	owner *Owner
}

// nobody owns no shard.
type nobody struct{}

func (nobody) Call(context.Context, bulk.Call) bulk.Reply { return unavailable }

func newRig(t *testing.T, store *memory.Store) *rig {
	r := newOwner(t, store, nobody{})
	r.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 1})
	r.eventually(func() bool { return r.call(bulk.Call{Op: bulk.ReadResults, Job: "none"}).Code == bulk.NotFound })
	return r
}

func newOwner(t *testing.T, store *memory.Store, others OwnerClient) *rig {
	c := clock.System{}
	r := &rig{C: qt.New(t), store: store, lease: &switched{}}
	place := slots.NewClient("s", "z", "", c, objectfeed.NewFeed(c), func() string { return "" }, func() string { return "" })
	r.owner = New(t.Context(), "s", store, 4096, r.lease, silent{}, place, upstream.NewClient(c), c, time.Minute, others)
	go r.owner.Run()
	route := catalog.Route{Name: "r", Kind: catalog.KindBatch, Targets: []catalog.Target{{Service: "llm", Weight: 1}}, MaxAttempts: 3}
	r.owner.SetCatalog(catalog.New(1, []catalog.Route{route}, nil, nil, catalog.Limits{}))
	return r
}

func (r *rig) eventually(holds func() bool) {
	r.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	r.Fatal("never")
}

func (r *rig) call(c bulk.Call) bulk.Reply {
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

func (r *rig) submit(j *bulk.Job) bulk.Code {
	return r.call(bulk.Call{Op: bulk.Submit, Job: j.ID, New: j}).Code
}

func TestAcceptedJobIsInTheStore(t *testing.T) {
	r := newRig(t, memory.New())
	r.Assert(r.submit(job(3, 10)), qt.Equals, bulk.Done)
	r.Assert(r.submit(job(3, 10)), qt.Equals, bulk.Done)
	next := newRig(t, r.store)
	reply := next.call(bulk.Call{Op: bulk.ReadResults, Job: "a"})
	r.Assert(reply.Code, qt.Equals, bulk.Done)
	r.Assert(reply.Total, qt.Equals, 3)
}

// TestLargeJobIsSplit: a job over the store's value limit is kept in parts and read back whole.
func TestLargeJobIsSplit(t *testing.T) {
	r := newRig(t, memory.New())
	r.Assert(r.submit(job(9, 1000)), qt.Equals, bulk.Done)
	next := newRig(t, r.store)
	body := next.call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: "ai"})
	r.Assert(body.Code, qt.Equals, bulk.Done)
	r.Assert(body.Body, qt.HasLen, 1000)
}

// TestRefusedJobIsNotAccepted: what the store refused was not done, and is told so.
func TestRefusedJobIsNotAccepted(t *testing.T) {
	r := newRig(t, memory.New())
	r.store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
	r.Assert(r.submit(job(1, 10)), qt.Equals, bulk.Unavailable)
	r.store.SetFault(nil)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.NotFound)
}

// TestLostAnswerIsSettled: a write whose answer was lost is found by the next one.
func TestLostAnswerIsSettled(t *testing.T) {
	r := newRig(t, memory.New())
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

// TestUnknownWriteIsNeverCalledNotRun: after a call without an answer a refusal says nothing of it.
func TestUnknownWriteIsNeverCalledNotRun(t *testing.T) {
	r := newRig(t, memory.New())
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

// TestLeaseLostDuringAccept: a successor may have listed the jobs before the write took effect, so the
// caller isn't told that the job is accepted; its repeat reaches the successor.
func TestLeaseLostDuringAccept(t *testing.T) {
	r := newRig(t, memory.New())
	r.store.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "create" {
			r.lease.lost.Store(true)
		}
		return memory.None
	})
	r.Assert(r.submit(job(1, 10)), qt.Equals, bulk.OutcomeUnknown)
	next := newRig(t, r.store)
	r.Assert(next.submit(job(1, 10)), qt.Equals, bulk.Done)
}

// TestLeaseBackAfterAccept: a lease that lapsed while the store was away and was renewed after all was
// broken by nobody, so the job is accepted, though its caller may have left by then.
func TestLeaseBackAfterAccept(t *testing.T) {
	r := newRig(t, memory.New())
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

// TestNewEpochIsReadAgain: a shard that was another host's meanwhile is read again.
func TestNewEpochIsReadAgain(t *testing.T) {
	r := newRig(t, memory.New())
	other := newRig(t, r.store)
	r.Assert(other.submit(job(1, 10)), qt.Equals, bulk.Done)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.NotFound)
	r.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 3})
	r.eventually(func() bool { return r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code == bulk.Done })
}

// TestLeaseLostDuringEnd: a successor may have read the job as open.
func TestLeaseLostDuringEnd(t *testing.T) {
	r := newRig(t, memory.New())
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

// TestWithoutLeaseNothingIsMissing: a host that may have a successor doesn't say that a job doesn't exist.
func TestWithoutLeaseNothingIsMissing(t *testing.T) {
	r := newRig(t, memory.New())
	r.lease.lost.Store(true)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.Unavailable)
	r.Assert(r.submit(job(1, 10)), qt.Equals, bulk.Unavailable)
}

// TestEndedJobGivesNoBody: what was listed stays listed; bodies go with the end.
func TestEndedJobGivesNoBody(t *testing.T) {
	r := newRig(t, memory.New())
	r.Assert(r.submit(job(1, 10)), qt.Equals, bulk.Done)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: "aa"}).Code, qt.Equals, bulk.Done)
	r.Assert(r.call(bulk.Call{Op: bulk.EndJob, Job: "a"}).Code, qt.Equals, bulk.Done)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: "aa"}).Code, qt.Equals, bulk.NotFound)
	r.Assert(newRig(t, r.store).call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: "aa"}).Code, qt.Equals, bulk.NotFound)
}

// TestFormerOwnerGivesNoEmptyRead: results that a successor made visible are not in a former owner's log,
// so only the shard's owner says that there is nothing at a position yet.
func TestFormerOwnerGivesNoEmptyRead(t *testing.T) {
	r := newRig(t, memory.New())
	r.Assert(r.submit(job(2, 10)), qt.Equals, bulk.Done)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.Done)
	r.lease.lost.Store(true)
	r.Assert(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code, qt.Equals, bulk.Unavailable)
	// A read that has waited asks for the lease when it answers, not when it came.
	r.lease.lost.Store(false)
	time.AfterFunc(50*time.Millisecond, func() { r.lease.lost.Store(true) })
	r.Assert(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a", Wait: 200 * time.Millisecond}).Code, qt.Equals, bulk.Unavailable)
}

// TestResultsOfFormerOwnerStayHidden: a successor may have listed the results before a write took effect,
// so its writer shows them only while nobody else can own the shard.
func TestResultsOfFormerOwnerStayHidden(t *testing.T) {
	r := newRig(t, memory.New())
	r.Assert(r.submit(job(2, 10)), qt.Equals, bulk.Done)
	r.store.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "create" {
			r.lease.lost.Store(true)
		}
		return memory.None
	})
	r.finish("aa")
	r.eventually(func() bool { return r.written() == 1 })
	time.Sleep(2 * retryAfter)
	reply := r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"})
	r.Assert(reply.Results, qt.HasLen, 0)
	r.Assert(reply.Code, qt.Equals, bulk.Unavailable)
	// Nobody broke the lease: the same results become visible, once.
	r.store.SetFault(nil)
	r.lease.lost.Store(false)
	r.eventually(func() bool { return len(r.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Results) == 1 })
	r.Assert(r.written(), qt.Equals, 1)
}

// finish gives an item a result as its run would.
func (r *rig) finish(item bulk.ItemID) {
	r.owner.post(func() {
		record, _ := r.owner.ledger.Job("a", "w")
		r.owner.finish(record, bulk.Result{Item: item, State: bulk.Completed, Output: "x"})
	})
}

// written counts the segments in the store.
func (r *rig) written() int {
	l, err := r.store.List(context.Background(), kindResults(3), false)
	r.Assert(err, qt.IsNil)
	return len(l.Objects)
}
