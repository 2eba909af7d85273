package host

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/node"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbena/origin"
)

// versionsHost runs the stored history of one host.
type versionsHost struct {
	*storedVersions
	dispatches atomic.Bool
	loaded     chan origin.History
}

func startVersionsHost(t *testing.T, store *memory.Store) *versionsHost {
	return startVersionsHostWithSkew(t, store, 0)
}

// startVersionsHostWithSkew starts a host whose clock may differ from others'.
func startVersionsHostWithSkew(t *testing.T, store *memory.Store, maxClockSkew time.Duration) *versionsHost {
	h := &versionsHost{loaded: make(chan origin.History, 1)}
	h.storedVersions = newStoredVersions(store, clock.System{}, h.dispatches.Load, maxClockSkew)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.run(ctx, func(history origin.History) { h.loaded <- history })
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return h
}

func (h *versionsHost) awaitLoaded(c *qt.C) origin.History {
	select {
	case history := <-h.loaded:
		return history
	case <-time.After(20 * time.Second):
		c.Fatal("no history was loaded")
		return origin.History{}
	}
}

// TestVersionsOfHostWithOtherClock guards against versions that are forgotten too early, and streams joined from two, because the clock of
// the host that stored them is behind that of the host that loads them.
func TestVersionsOfHostWithOtherClock(t *testing.T) {
	c := qt.New(t)
	store := memory.New()
	left := origin.Sighting{Service: "llm", Version: "1", Age: time.Second}
	_, err := store.Create(c.Context(), kindVersions, nameVersions, versionsObject{
		At: time.Now().Add(-node.DefaultMaxClockSkew), History: origin.History{ObservedFor: time.Second, Versions: []origin.Sighting{left}},
	})
	c.Assert(err, qt.IsNil)
	loaded := startVersionsHostWithSkew(t, store, node.DefaultMaxClockSkew).awaitLoaded(c)
	c.Assert(loaded.Versions, qt.HasLen, 1)
	c.Check(loaded.Versions[0].Age < 3*time.Second, qt.IsTrue, qt.Commentf("%s", loaded.Versions[0].Age))
	c.Check(loaded.ObservedFor < 3*time.Second, qt.IsTrue, qt.Commentf("%s", loaded.ObservedFor))
}

// history returns a complete history in which versions are listed.
func history(versions ...directory.SoftwareVersion) (h origin.History) {
	h.ObservedFor = time.Minute
	for _, v := range versions {
		h.Versions = append(h.Versions, origin.Sighting{Service: "llm", Version: v, Listed: true})
	}
	return h
}

// storedHistory returns what the store holds; ok is false if that is nothing.
func storedHistory(c *qt.C, store *memory.Store) (h origin.History, ok bool) {
	stored, err := store.Get(c.Context(), kindVersions, nameVersions)
	if err != nil {
		return h, false
	}
	var o versionsObject
	c.Assert(json.Unmarshal(stored.Spec, &o), qt.IsNil)
	return o.History, true
}

// awaitStored waits until the store holds a history.
func awaitStored(c *qt.C, store *memory.Store, want origin.History) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got, ok := storedHistory(c, store); ok && !got.Outdates(want) && !want.Outdates(got) {
			return
		}
	}
	c.Fatalf("not stored: %v", want)
}

// TestVersionsOutliveAllHosts guards against a fleet that, once all of its hosts were lost, resumes no stream for a while, or
// one at another version. The store is away when the hosts start, and while the versions change.
func TestVersionsOutliveAllHosts(t *testing.T) {
	c := qt.New(t)
	store := memory.New()
	var away atomic.Bool
	store.SetFault(func(memory.Op) memory.Fault {
		if away.Load() {
			return memory.Refuse
		}
		return memory.None
	})
	away.Store(true)
	first := startVersionsHost(t, store)
	first.dispatches.Store(true)
	time.Sleep(2 * readRetryPause)
	c.Assert(first.loaded, qt.HasLen, 0, qt.Commentf("nothing is assumed before the store answers"))
	away.Store(false)
	c.Assert(first.awaitLoaded(c), qt.DeepEquals, origin.FirstHistory())
	first.save(history("1"))
	awaitStored(c, store, history("1"))
	away.Store(true)
	first.save(history("1", "2"))
	first.save(history("1", "2", "3"))
	time.Sleep(saveInterval)
	first.save(history("2"))
	away.Store(false)
	awaitStored(c, store, history("2"))

	second := startVersionsHost(t, store)
	loaded := second.awaitLoaded(c)
	c.Assert(loaded.Versions, qt.DeepEquals, history("2").Versions)
	c.Assert(loaded.ObservedFor > history().ObservedFor, qt.IsTrue)
}

// TestVersionsAreWrittenByTheDispatcherOnly guards against a host that replaces the dispatcher's history by an older one, and
// against one that doesn't write once it dispatches.
func TestVersionsAreWrittenByTheDispatcherOnly(t *testing.T) {
	c := qt.New(t)
	store := memory.New()
	dispatcher, other := startVersionsHost(t, store), startVersionsHost(t, store)
	dispatcher.dispatches.Store(true)
	dispatcher.awaitLoaded(c)
	other.awaitLoaded(c)
	other.save(history("0"))
	dispatcher.save(history("1"))
	awaitStored(c, store, history("1"))
	other.save(history("2"))
	time.Sleep(2 * saveInterval)
	got, _ := storedHistory(c, store)
	c.Assert(got.Outdates(history("1")), qt.IsFalse)
	dispatcher.dispatches.Store(false)
	other.dispatches.Store(true)
	awaitStored(c, store, history("2"))
}

// TestVersionsAreWrittenOnce guards against a write for each report: what is stored already isn't written again.
func TestVersionsAreWrittenOnce(t *testing.T) {
	c := qt.New(t)
	store := memory.New()
	first := startVersionsHost(t, store)
	first.dispatches.Store(true)
	first.awaitLoaded(c)
	first.save(history("1"))
	awaitStored(c, store, history("1"))
	calls := storeWrites(store)
	second := startVersionsHost(t, store)
	second.dispatches.Store(true)
	second.awaitLoaded(c)
	second.save(history("1"))
	first.save(history("1"))
	time.Sleep(2 * saveInterval)
	c.Assert(storeWrites(store), qt.Equals, calls)
}

func storeWrites(store *memory.Store) int { return store.Calls("create") + store.Calls("replace") }

// TestUnreadableVersions checks that nothing is assumed from bytes that can't be read, and that they are replaced.
func TestUnreadableVersions(t *testing.T) {
	c := qt.New(t)
	store := memory.New()
	_, err := store.Create(c.Context(), kindVersions, nameVersions, "not a history")
	c.Assert(err, qt.IsNil)
	h := startVersionsHost(t, store)
	h.dispatches.Store(true)
	h.save(history("1"))
	c.Assert(func() bool {
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			stored, err := store.Get(c.Context(), kindVersions, nameVersions)
			var o versionsObject
			if err == nil && json.Unmarshal(stored.Spec, &o) == nil {
				return !o.History.Outdates(history("1"))
			}
		}
		return false
	}(), qt.IsTrue)
	c.Assert(h.loaded, qt.HasLen, 0)
}

// TestLateWriteIsNotExecuted guards against a write without an answer that replaces a newer one when it is executed later.
func TestLateWriteIsNotExecuted(t *testing.T) {
	c := qt.New(t)
	store := memory.New()
	o := newStoredObject[origin.History](store, kindVersions, nameVersions)
	c.Assert(o.replace(c.Context(), history("1")), qt.IsNil)
	before := o.revision
	store.SetFault(loseNext(memory.LoseAnswer))
	c.Assert(o.replace(c.Context(), history("2")), qt.IsNotNil)
	c.Assert(o.replace(c.Context(), history("3")), qt.IsNil)
	_, err := store.Replace(c.Context(), kindVersions, nameVersions, before, history("2"))
	c.Assert(err, qt.ErrorIs, objects.ErrConflict)
	got, err := o.read(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, history("3"))
}

// loseNext injects a fault into the next call.
func loseNext(fault memory.Fault) func(memory.Op) memory.Fault {
	var calls atomic.Int64
	return func(memory.Op) memory.Fault {
		if calls.Add(1) == 1 {
			return fault
		}
		return memory.None
	}
}

// TestVersionsSize bounds what each version adds to the stored history, with names of 24 bytes.
func TestVersionsSize(t *testing.T) {
	c := qt.New(t)
	const maxBytes, count = 150, 100
	o := versionsObject{At: time.Now(), History: origin.History{ObservedFor: origin.Retention}}
	for n := range count {
		o.History.Versions = append(o.History.Versions, origin.Sighting{
			Service: ids.ServiceName(fmt.Sprintf("service-of-24-bytes-%04d", n)), Version: directory.SoftwareVersion(fmt.Sprintf("version-of-24-bytes-%04d", n)),
			Age: origin.Retention - time.Nanosecond,
		})
	}
	raw, err := json.Marshal(o)
	c.Assert(err, qt.IsNil)
	c.Logf("%d bytes a version", len(raw)/count)
	c.Assert(len(raw) < count*maxBytes, qt.IsTrue, qt.Commentf("%d", len(raw)))
	raw, err = json.Marshal(versionsObject{At: time.Now(), History: history("v1", "v2")})
	c.Assert(err, qt.IsNil)
	c.Logf("%d bytes for two listed versions of one service", len(raw))
}
