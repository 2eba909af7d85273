package slots

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/origin"
	"verbenaledge.example/verbenad/internal/hostlink"
	"verbenaledge.example/verbenad/internal/objectfeed"
)

var twoVersions = map[ids.BackendID]directory.Server{
	"a": {ID: "a", Service: "llm", Slots: 8, SoftwareVersion: "1"}, "b": {ID: "b", Service: "llm", Slots: 8, SoftwareVersion: "2"},
}

// withFreshServers tells a placer that the store has just confirmed its list of servers.
var withFreshServers = WithListState(func() directory.ListState { return directory.ListState{} })

// takeUp is a request that resumes a stream that a caller names.
func takeUp(stream string) dispatch.SlotRequest {
	r := slotRequest(dispatch.Online)
	r.Resumption = &dispatch.Resumption{Stream: origin.NewStreamID("w", ids.RequestID(stream)), Services: []ids.ServiceName{"llm"}}
	return r
}

func beganAt(stream string, s directory.Server) origin.Record {
	return origin.Record{
		Stream: origin.NewStreamID("w", ids.RequestID(stream)), Origin: origin.Origin{Service: s.Service, Version: s.SoftwareVersion}, Server: s.ID,
	}
}

// resumedAt returns the server at which a host resumes a stream, or the reason of the refusal.
func resumedAt(t *testing.T, client *Client, stream string) string {
	t.Helper()
	slot, err := client.Acquire(t.Context(), takeUp(stream))
	if r, ok := AsRefusedError(err); ok {
		return r.Reason.String()
	}
	qt.Assert(t, err, qt.IsNil)
	client.Release(slot, dispatch.Outcome{Result: dispatch.Served})
	return string(slot.Server.ID)
}

// TestStreamIsResumedThroughAnyHost guards against a host that refuses a stream that another host began, or resumes it at
// another version.
func TestStreamIsResumedThroughAnyHost(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	d.dispatcher.SetServers(twoVersions)
	one, two := newClient(t, "one", d.address), newClient(t, "two", d.address)
	waitConnected(t, one)
	waitConnected(t, two)
	one.ReportStreamBegan(beganAt("s1", twoVersions["a"]))
	one.ReportStreamBegan(beganAt("s2", twoVersions["b"]))
	c.Assert(waitUntil(func() bool { return resumedAt(t, two, "s2") == "b" }), qt.IsTrue)
	for range 10 {
		c.Assert([]string{resumedAt(t, two, "s1"), resumedAt(t, two, "s2")}, qt.DeepEquals, []string{"a", "b"})
	}
	c.Assert(resumedAt(t, two, "s3"), qt.Equals, "stream_version_unknown")
	slot, err := two.Acquire(t.Context(), takeUp("s1"))
	c.Assert(err, qt.IsNil)
	c.Assert(slot.Resumption.Evidence, qt.Equals, dispatch.Recorded)
	c.Assert(slot.Resumption.Versions, qt.HasLen, 2)
}

// TestOriginsOutliveDispatcherAndHost guards against a standby that doesn't know where a stream began once both the dispatcher
// and the host that passed it on are lost.
func TestOriginsOutliveDispatcherAndHost(t *testing.T) {
	c := qt.New(t)
	d, standby := startDispatcher(t), startStandby(t)
	for _, h := range []*testHost{d, standby} {
		h.dispatcher.SetServers(twoVersions)
	}
	d.dispatcher.standby = func() ids.HostID { return "standby" }
	standbyClient := NewClient(
		"standby", "z", "", clock.System{}, objectfeed.NewFeed(clock.System{}), func() string { return d.address }, noAddress,
		standby.dispatcher.WithKnowledgeReceived(),
	)
	go standbyClient.Run(t.Context())
	waitConnected(t, standbyClient)
	one, two := newNamedClient(t, "one", d, standby), newNamedClient(t, "two", d, standby)
	for _, s := range []string{"s1", "s2", "s3"} {
		one.ReportStreamBegan(beganAt(s, twoVersions["a"]))
	}
	c.Assert(waitUntil(func() bool { return resumedAt(t, two, "s3") == "a" }), qt.IsTrue)
	d.inactive.Store(true)
	d.dispatcher.DisconnectAll()
	waitForPlacer(t, two, PlacerStandby)
	for _, s := range []string{"s1", "s2", "s3"} {
		c.Assert(resumedAt(t, two, s), qt.Equals, "a")
	}
}

// TestHostReportsStreamsToNextDispatcher guards against a dispatcher that takes over and doesn't learn of streams from the
// hosts that pass them on.
func TestHostReportsStreamsToNextDispatcher(t *testing.T) {
	c := qt.New(t)
	first, next := startDispatcher(t), startDispatcher(t)
	next.dispatcher.SetServers(twoVersions)
	var dispatching atomic.Pointer[testHost]
	dispatching.Store(first)
	one := newFollowingClient(t, "one", func() string { return dispatching.Load().address })
	waitConnected(t, one)
	one.ReportStreamBegan(beganAt("s1", twoVersions["b"]))
	dispatching.Store(next)
	first.inactive.Store(true)
	first.dispatcher.DisconnectAll()
	two := newClient(t, "two", next.address)
	waitConnected(t, two)
	c.Assert(waitUntil(func() bool { return resumedAt(t, two, "s1") == "b" }), qt.IsTrue)
}

// TestResetHostWaitsForRecords guards against a host whose connections were reset and that refuses a stream, instead of asking
// the dispatcher where it began once they are connected again.
func TestResetHostWaitsForRecords(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	d.dispatcher.SetServers(twoVersions)
	one, two := newClient(t, "one", d.address), newClient(t, "two", d.address)
	two.SetServers(twoVersions)
	waitConnected(t, one)
	waitConnected(t, two)
	one.ReportStreamBegan(beganAt("s1", twoVersions["b"]))
	c.Assert(waitUntil(func() bool { return resumedAt(t, two, "s1") == "b" }), qt.IsTrue)
	for range 3 {
		two.mu.Lock()
		link := two.dispatcher.link
		two.mu.Unlock()
		link.Close()
		c.Assert(waitUntil(func() bool { return !two.Connected() }), qt.IsTrue)
		c.Assert(resumedAt(t, two, "s1"), qt.Equals, "b")
	}
}

// formerPlacer is a dispatcher of a release that doesn't know software versions: it grants any server that isn't excluded.
type formerPlacer struct{ *Dispatcher }

func (f formerPlacer) HandleFrame(l *hostlink.Link, host ids.HostID, m hostlink.Frame) {
	if m.SlotRequest != nil {
		m.SlotRequest.Resumption = nil
	}
	m.Streams = nil
	f.Dispatcher.HandleFrame(l, host, m)
}

// TestFormerPlacerGrantsOtherVersion guards against a stream that is resumed at another version because a dispatcher of a
// former release grants a server of it.
func TestFormerPlacerGrantsOtherVersion(t *testing.T) {
	c := qt.New(t)
	address := freeAddress(t)
	d := NewDispatcher(
		clock.System{}, objectfeed.NewPublisher(func(objects.Kind) time.Duration { return -1 }), func() DispatchRole { return RoleDispatcher },
		func() (n hostlink.Update, ok bool) { return n, false }, withFreshServers,
	)
	go d.Run(t.Context())
	d.SetServers(twoVersions)
	go func() {
		_ = hostlink.Listen(t.Context(), address, ownerAddress(""), func(l *hostlink.Link, f hostlink.Frame) {
			hostlink.Serve(t.Context(), l, f, formerPlacer{d}, nil)
		})
	}()
	one := newClient(t, "one", address)
	waitConnected(t, one)
	one.ReportStreamBegan(beganAt("s1", twoVersions["a"]))
	one.ReportStreamBegan(beganAt("s2", twoVersions["b"]))
	for range 5 {
		c.Assert([]string{resumedAt(t, one, "s1"), resumedAt(t, one, "s2")}, qt.DeepEquals, []string{"a", "b"})
	}
	c.Assert(resumedAt(t, one, "s3"), qt.Equals, "stream_version_unknown")
	gone := beganAt("s4", twoVersions["a"])
	gone.Origin.Version = "0"
	one.ReportStreamBegan(gone)
	c.Assert(resumedAt(t, one, "s4"), qt.Equals, "no_server_of_version")
}

// TestLocalHostRefusesUnknownStream guards against a host that reaches no placer and refuses a stream that it passed on
// itself, or resumes one of another host while servers have two versions.
func TestLocalHostRefusesUnknownStream(t *testing.T) {
	c := qt.New(t)
	one := NewClient("one", "z", "", clock.System{}, objectfeed.NewFeed(clock.System{}), noAddress, noAddress, withFreshServers)
	go one.Run(t.Context())
	one.SetServers(twoVersions)
	one.ReportStreamBegan(beganAt("s1", twoVersions["a"]))
	c.Assert(resumedAt(t, one, "s1"), qt.Equals, "a")
	begin := time.Now()
	c.Assert(resumedAt(t, one, "s2"), qt.Equals, "stream_version_unknown")
	c.Assert(time.Since(begin) < 4*placerWait, qt.IsTrue)
}
