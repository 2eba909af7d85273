package host

import (
	"testing"

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
