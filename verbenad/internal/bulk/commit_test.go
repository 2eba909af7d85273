package bulk

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/objects/memory"
)

// slowStore holds back the results that are written to it until release is closed.
type slowStore struct {
	*memory.Store
	held    chan struct{}
	release chan struct{}
}

func (s *slowStore) Create(ctx context.Context, kind objects.Kind, name string, spec any) (objects.Object, error) {
	if kind == kindResults(3) {
		select {
		case s.held <- struct{}{}:
			<-s.release
			return objects.Object{}, objects.ErrUnknown
		default:
		}
	}
	return s.Store.Create(ctx, kind, name, spec)
}

// TestWriteOfFormerRecordEndsLate guards against results that are never written: an owner loses a shard and gets it back while a
// write of results is in flight, and that write ends only after the job has been loaded again and has results.
func TestWriteOfFormerRecordEndsLate(t *testing.T) {
	f := newFixture(t, memory.New())
	store := &slowStore{Store: f.store, held: make(chan struct{}, 1), release: make(chan struct{})}
	f.owner.post(func() { f.owner.store = store })
	f.Assert(f.submit(job(2, 10)), qt.Equals, bulk.Done)
	f.addResult("aa")
	f.eventually(func() bool { return len(store.held) == 1 })
	f.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 2})
	f.eventually(func() bool { return f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code == bulk.Done })
	f.addResult("ab")
	time.Sleep(3 * gatherTime) // this owner's report on the former record has arrived
	close(store.release)
	f.eventually(func() bool { return len(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Results) == 2 })
}
