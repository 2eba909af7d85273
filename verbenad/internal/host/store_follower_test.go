package host

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenad/internal/objectfeed"
)

// serversOnly is a decoder of which only the kind of servers is used.
type serversOnly struct{ Decoder }

func (serversOnly) ServerKind() objects.Kind { return "servers" }

func (serversOnly) EvacuationKind() objects.Kind { return "evacuations" }

// TestListStateBeforeServersAreFollowed guards against a host that crashes at its start because an event comes before it
// follows the servers.
func TestListStateBeforeServersAreFollowed(t *testing.T) {
	c := qt.New(t)
	env := Environment{Decoder: serversOnly{}, Store: memory.New()}
	f := newStoreFollower(env, objectfeed.NewFeed(clock.System{}), func() bool { return true })
	c.Assert(f.serversState(), qt.Equals, directory.ListState{Age: -1})
	f.follow("servers", func(map[string]objects.Object, objects.Revision) {})
	c.Assert(f.serversState(), qt.Equals, directory.ListState{Age: -1})
	c.Assert(f.followers["servers"], qt.Equals, f.servers.Load())
}

// TestServersAreReadBeforeDrainTimeout guards against a host that learns too late that a server leaves, when the dispatcher's updates
// have ended: they are used until MaxAge, and the store's answer takes a while.
func TestServersAreReadBeforeDrainTimeout(t *testing.T) {
	c := qt.New(t)
	for _, timeout := range []time.Duration{3 * time.Second, 4 * time.Second, 10 * time.Second} {
		c.Check(objectfeed.MaxAge+serversFeedWait(timeout) < timeout, qt.IsTrue, qt.Commentf("%s", timeout))
	}
	c.Check(serversFeedWait(2*time.Second), qt.Equals, catalogFeedWait)
	c.Check(serversFeedWait(0), qt.Equals, maxServersFeedWait)
}
