package cmd

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/ownership"
	"verbenaledge.example/verbenad/internal/host"
)

const (
	// refusalTime bounds the time until a stream that can't be resumed is refused.
	refusalTime = 500 * time.Millisecond
	// slowEventPause is the time between the events of streams that a host's stop breaks off.
	slowEventPause = 100 * time.Millisecond
)

// TestFleetStreamsStayAtTheirVersion guards against streams that are joined from the text of two software versions: a
// stream may be resumed only at a server of the version that began it, within a response and over its caller's attempts.
func TestFleetStreamsStayAtTheirVersion(t *testing.T) {
	for _, test := range []struct {
		name string
		run  func(c *qt.C, f *fleet)
	}{
		{"resumed within a response", testResumedWithinResponse},
		{"taken up at another host", testTakenUpAtAnotherHost},
		{"taken up after a host's stop", testTakenUpAfterStop},
		{"several attempts, some without an event", testSeveralAttempts},
		{"servers of the version have left", testServersOfVersionLeft},
		{"first attempt unknown", testFirstAttemptUnknown},
		{"request id of two workspaces", testRequestIDOfTwoWorkspaces},
		{"taken up twice", testTakenUpTwice},
		{"split between services", testSplitBetweenServices},
		{"route moved to another service", testRouteMoved},
		{"dispatcher stops", testDispatcherStops},
		{"all entry hosts replaced", testEntryHostsReplaced},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(qt.New(t), newVersionedFleet(t)) })
	}
}

func testResumedWithinResponse(c *qt.C, f *fleet) {
	streams := make([]*callerStream, 0, versionStreams)
	for n := range versionStreams {
		// The stream begins at the only server that isn't slow. Of the others, the one with the lowest id is next: one of the other version.
		first := f.modelServers()[n%2]
		for _, id := range f.modelServers() {
			f.restart(id, id != first)
		}
		f.eventually("streams begin at the server", func() bool {
			s := f.beginStream(f.callerAddresses[0], workspaceKey, 1)
			return f.servers[first].RunCount(s.firstAttempt) > 0
		})
		f.injectFault("llm", 1, standin.CutAnswer)
		s := &callerStream{key: workspaceKey}
		a := f.tryStream(s, f.callerAddresses[0], eventsPerStream+1, nil)
		c.Check(a.ended && a.status == http.StatusOK && s.events < eventsPerStream, qt.IsFalse, qt.Commentf("a cut stream looks complete"))
		streams = append(streams, s)
	}
	checkOneVersion(c, streams...)
	checkMostComplete(c, streams...)
}

func testTakenUpAtAnotherHost(c *qt.C, f *fleet) {
	streams := f.eachVersion(func(n int, s *callerStream) {
		f.finishStream(s, f.callerAddresses[(n+1)%2], f.callerAddresses[n%2])
	})
	checkOneVersion(c, streams...)
	checkMostComplete(c, streams...)
}

func testTakenUpAfterStop(c *qt.C, f *fleet) {
	others := slices.Clone(f.callerAddresses)
	f.grace = 50 * time.Millisecond
	f.startHost("front-stopped", host.RunFront)
	stopped := f.callerAddresses[len(f.callerAddresses)-1]
	f.awaitServing(stopped)
	f.setEventPause(slowEventPause)
	streams := f.beginStreamsTogether(stopped, versionStreams)
	f.stopHosts[len(f.stopHosts)-1]()
	f.eventually("all streams are broken off", streams.allDone)
	f.setEventPause(2 * time.Millisecond)
	broken := streams.broken()
	c.Assert(broken, qt.HasLen, versionStreams)
	f.callerAddresses = others
	for _, s := range broken {
		f.prefer(otherVersion(s.versions()[0]))
		f.finishStream(s, others...)
	}
	checkOneVersion(c, broken...)
	checkMostComplete(c, broken...)
}

func testSeveralAttempts(c *qt.C, f *fleet) {
	streams := make([]*callerStream, 0, versionStreams)
	for n := range versionStreams {
		s := &callerStream{key: workspaceKey}
		f.failAttempt(c, s, f.callerAddresses[n%2])
		f.eventually("the stream begins", func() bool {
			f.tryStream(s, f.callerAddresses[(n+1)%2], 3, nil)
			return s.events > 0
		})
		other := otherVersion(s.versions()[0])
		f.failAttempt(c, s, f.callerAddresses[n%2])
		f.prefer(other)
		f.tryStream(s, f.callerAddresses[n%2], 3, nil)
		f.failAttempt(c, s, f.callerAddresses[n%2])
		f.prefer(other)
		f.finishStream(s, f.callerAddresses...)
		streams = append(streams, s)
	}
	checkOneVersion(c, streams...)
	checkMostComplete(c, streams...)
}

// failAttempt sends an attempt of a stream while all servers fail.
func (f *fleet) failAttempt(c *qt.C, s *callerStream, address string) {
	f.injectFault("llm", 1<<40, standin.InternalError)
	c.Check(f.tryStream(s, address, 1, nil).status, qt.Not(qt.Equals), http.StatusOK)
	f.injectFault("llm", 0, standin.NoFault)
}

func testServersOfVersionLeft(c *qt.C, f *fleet) {
	streams := f.beginStreams(oldVersion, versionStreams+len(f.callerAddresses))
	streams, probes := streams[:versionStreams], streams[versionStreams:]
	for _, id := range []string{"llm-0", "llm-2"} {
		c.Assert(f.store.Delete(f.t.Context(), "servers", id, 0), qt.IsNil)
	}
	for n, address := range f.callerAddresses {
		f.eventually("a stream of the old version is refused", func() bool {
			probe := *probes[n]
			probe.attempts = slices.Clone(probe.attempts)
			refused := f.tryStream(&probe, address, eventsPerStream, nil).status == http.StatusServiceUnavailable
			checkOneVersion(c, &probe)
			return refused
		})
	}
	for n, s := range streams {
		a := f.tryStream(s, f.callerAddresses[(n+1)%2], eventsPerStream, nil)
		c.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(a.took < refusalTime, qt.IsTrue, qt.Commentf("%s", a.took))
		c.Check(f.servicesOf(&callerStream{attempts: s.attempts[len(s.attempts)-1:]}), qt.HasLen, 0, qt.Commentf("a refused attempt ran"))
	}
	checkOneVersion(c, streams...)
}

// testFirstAttemptUnknown takes streams up with a Resumes that is missing, names no attempt, or names one of another
// workspace that began at the other version.
func testFirstAttemptUnknown(c *qt.C, f *fleet) {
	for name, resumes := range map[string]func(s *callerStream) string{
		"missing": func(*callerStream) string { return "" },
		"forged":  func(*callerStream) string { return "of-no-attempt" },
		"of another workspace": func(s *callerStream) string {
			f.prefer(otherVersion(s.versions()[0]))
			return f.beginStream(f.callerAddresses[0], "key-of-v", 1).firstAttempt
		},
	} {
		c.Run(name, func(c *qt.C) {
			streams := f.eachVersion(func(n int, s *callerStream) {
				a := f.tryStream(s, f.callerAddresses[(n+1)%2], eventsPerStream, map[string]string{standin.HeaderResumes: resumes(s)})
				c.Check(a.status == http.StatusServiceUnavailable || a.status == http.StatusOK, qt.IsTrue, qt.Commentf("%d", a.status))
				c.Check(a.took < refusalTime, qt.IsTrue, qt.Commentf("%s", a.took))
			})
			checkOneVersion(c, streams...)
		})
	}
}

// testRequestIDOfTwoWorkspaces begins streams of two workspaces with the same request id at different versions.
func testRequestIDOfTwoWorkspaces(c *qt.C, f *fleet) {
	streams := make([]*callerStream, 0, 2*versionStreams)
	for n := range versionStreams {
		id := map[string]string{standin.HeaderRequestID: fmt.Sprint("same-", n)}
		s, other := &callerStream{key: workspaceKey}, &callerStream{key: "key-of-v"}
		f.prefer(oldVersion)
		f.tryStream(s, f.callerAddresses[0], 4, id)
		f.prefer(newVersion)
		f.tryStream(other, f.callerAddresses[1], 4, id)
		f.finishStream(s, f.callerAddresses...)
		f.prefer(oldVersion)
		f.finishStream(other, f.callerAddresses...)
		streams = append(streams, s, other)
	}
	checkOneVersion(c, streams...)
	checkMostComplete(c, streams...)
}

func testTakenUpTwice(c *qt.C, f *fleet) {
	var again []*callerStream
	streams := f.eachVersion(func(n int, s *callerStream) {
		second := &callerStream{key: s.key, attempts: slices.Clone(s.attempts), text: s.text, events: s.events, firstAttempt: s.firstAttempt}
		f.finishStream(s, f.callerAddresses[(n+1)%2])
		f.finishStream(second, f.callerAddresses[n%2])
		again = append(again, second)
	})
	checkOneVersion(c, append(streams, again...)...)
	checkMostComplete(c, streams...)
	checkMostComplete(c, again...)
}

// configureServices writes a configuration whose resumable route is divided among services.
func (f *fleet) configureServices(c *qt.C, version int, services ...string) {
	split := standin.Configuration(version, map[string]string{workspaceKey: "w", "key-of-v": "v"}, 10_000)
	standin.SplitRoute(split, "resume", services...)
	c.Assert(standin.Configure(f.store, split), qt.IsNil)
}

// addOtherService adds servers of both versions to another service, and awaits streams of all of them.
func (f *fleet) addOtherService(c *qt.C) {
	for n, v := range []string{oldVersion, oldVersion, newVersion, newVersion} {
		f.addModelServer(fmt.Sprintf("other-%d", n), "other", v)
	}
	f.setEventPause(2 * time.Millisecond)
	f.configureServices(c, 5, "llm", "other")
	for n, address := range f.callerAddresses {
		f.eventually("both services serve", func() bool {
			return f.servicesOf(f.beginStream(address, workspaceKey, 1))[[]string{"llm", "other"}[n]]
		})
		f.eventually("both services serve", func() bool {
			return f.servicesOf(f.beginStream(address, workspaceKey, 1))[[]string{"other", "llm"}[n]]
		})
	}
}

// checkOneService checks that no stream has attempts at two services.
func (f *fleet) checkOneService(c *qt.C, streams ...*callerStream) {
	c.Helper()
	moved := 0
	for _, s := range streams {
		if len(f.servicesOf(s)) > 1 {
			moved++
		}
	}
	c.Check(moved, qt.Equals, 0, qt.Commentf("of %d streams", len(streams)))
}

func testSplitBetweenServices(c *qt.C, f *fleet) {
	f.addOtherService(c)
	streams := make([]*callerStream, 0, versionStreams)
	for n := range versionStreams {
		s := f.beginStream(f.callerAddresses[n%2], workspaceKey, 4)
		f.finishStream(s, f.callerAddresses[(n+1)%2])
		streams = append(streams, s)
	}
	checkOneVersion(c, streams...)
	f.checkOneService(c, streams...)
	checkMostComplete(c, streams...)
}

func testRouteMoved(c *qt.C, f *fleet) {
	f.addOtherService(c)
	streams := make([]*callerStream, 0, versionStreams)
	for n := range versionStreams {
		f.eventually("a stream begins at the former service", func() bool {
			s := f.beginStream(f.callerAddresses[n%2], workspaceKey, 4)
			if f.servicesOf(s)["llm"] && !f.servicesOf(s)["other"] {
				streams = append(streams, s)
				return true
			}
			return false
		})
	}
	f.configureServices(c, 7, "other")
	f.eventually("ten streams in succession begin at the other service", func() bool {
		for n := range 10 {
			if f.servicesOf(f.beginStream(f.callerAddresses[n%2], workspaceKey, 1))["llm"] {
				return false
			}
		}
		return true
	})
	for n, s := range streams {
		a := f.tryStream(s, f.callerAddresses[n%2], eventsPerStream, nil)
		c.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(a.took < refusalTime, qt.IsTrue, qt.Commentf("%s", a.took))
	}
	checkOneVersion(c, streams...)
	f.checkOneService(c, streams...)
}

func testDispatcherStops(c *qt.C, f *fleet) {
	m := f.ownerMap()
	streams := f.beginStreams(oldVersion, versionStreams)
	f.stopHosts[slices.Index(f.hostNames, string(m.Units[ownership.Dispatch].Host))]()
	for n, s := range streams {
		f.finishStream(s, f.callerAddresses[(n+1)%2])
	}
	checkOneVersion(c, streams...)
	checkMostComplete(c, streams...)
}

func testEntryHostsReplaced(c *qt.C, f *fleet) {
	streams := f.beginStreams(oldVersion, versionStreams)
	former := f.callerAddresses
	for n, name := range f.hostNames {
		if name == "front-0" || name == "front-1" {
			f.stopHosts[n]()
		}
	}
	for _, address := range former {
		f.eventually("the host doesn't listen", func() bool {
			conn, err := net.Dial("tcp", address)
			if err == nil {
				_ = conn.Close()
			}
			return err != nil
		})
	}
	f.callerAddresses = nil
	for n := range former {
		f.startHost(fmt.Sprintf("front-new-%d", n), host.RunFront)
	}
	for _, address := range f.callerAddresses {
		f.awaitServing(address)
	}
	for n, s := range streams {
		f.finishStream(s, f.callerAddresses[n%2])
	}
	checkOneVersion(c, streams...)
	checkMostComplete(c, streams...)
}
