package core_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/route"
)

// TestSuspectAvoidsCrashedServer crashes a server under a suspect. Another host, which doesn't know of that crash, must
// send no other suspect there while the server goes down: it would be blamed for the crash.
func TestSuspectAvoidsCrashedServer(t *testing.T) {
	for i := range 2 { // once the manager is told by the crasher's host, once by itself
		t.Run(fmt.Sprint("crash at h", i), func(t *testing.T) {
			c := qt.New(t)
			cl := newCluster(2)
			cl.listServers("b0", "b1", "b2")
			cl.run(20 * time.Second)
			crasherHost, other := cl.hosts[i], cl.hosts[1-i]
			cl.suspect(crasherHost, "crasher", "b0")
			cl.suspect(other, "innocent-1", "b0")
			cl.suspect(other, "innocent-2", "b0")
			cl.run(100 * time.Millisecond)

			cl.routeSuspect(crasherHost, 1, "crasher", "b0")
			cl.run(100 * time.Millisecond)
			crashed, ok := cl.routed[1]
			c.Assert(ok, qt.IsTrue)
			cl.step(crasherHost, core.BackendCallEnded{Backend: crashed, Outcome: route.Failed, Suspect: true, Load: -1})
			cl.run(100 * time.Millisecond)

			cl.routeSuspect(other, 2, "innocent-1", "b0")
			cl.routeSuspect(other, 3, "innocent-2", "b0")
			cl.run(500 * time.Millisecond)
			for n, b := range cl.routed {
				c.Check(n == 1 || b != crashed, qt.IsTrue, qt.Commentf("suspect %d was sent to %s, which has just crashed", n, b))
			}
			c.Check(cl.routed, qt.HasLen, 2, qt.Commentf("one innocent has the sound server, the other one waits"))
			cl.run(time.Second)
			c.Check(cl.routed, qt.HasLen, 3, qt.Commentf("the crashed server's place must become free again"))
		})
	}
}

// TestSuspectAvoidsServerOfFirstCrash is the same for a server that crashed under a request which nobody suspected yet.
func TestSuspectAvoidsServerOfFirstCrash(t *testing.T) {
	for i := range 2 {
		t.Run(fmt.Sprint("crash at h", i), func(t *testing.T) {
			c := qt.New(t)
			cl := newCluster(2)
			cl.listServers("b0", "b1")
			cl.run(20 * time.Second)
			cl.suspect(cl.hosts[i], "crasher", "b0")
			cl.suspect(cl.hosts[1-i], "innocent", "b1")
			cl.run(100 * time.Millisecond)
			cl.routeSuspect(cl.hosts[1-i], 1, "innocent", "b1")
			cl.run(500 * time.Millisecond)
			c.Check(cl.routed, qt.HasLen, 0, qt.Commentf("b0 has just crashed"))
			cl.run(time.Second)
			c.Check(cl.routed, qt.DeepEquals, map[core.Ticket]ids.BackendID{1: "b0"})
		})
	}
}

// TestSuspectSlotIsReusedAtOnce: a suspect that ends without a failure of the server leaves the place to the next one.
func TestSuspectSlotIsReusedAtOnce(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(2)
	cl.listServers("b0", "b1")
	cl.run(20 * time.Second)
	for i, outcome := range []route.Outcome{route.OK, route.Abandoned, route.OK} {
		h, ticket, f := cl.hosts[i%2], core.Ticket(i), poison.Fingerprint(fmt.Sprint("suspect-", i))
		cl.suspect(h, f, "b0")
		cl.run(100 * time.Millisecond)
		cl.routeSuspect(h, ticket, f, "b0")
		cl.run(100 * time.Millisecond)
		c.Assert(cl.routed[ticket], qt.Equals, ids.BackendID("b1"))
		cl.step(h, core.BackendCallEnded{Backend: "b1", Outcome: outcome, Suspect: true, Load: -1})
		cl.run(100 * time.Millisecond)
	}
}

// listServers gives all hosts a list of live backend servers.
func (cl *cluster) listServers(list ...ids.BackendID) {
	servers := make([]backend.Server, 0, len(list))
	for _, b := range list {
		servers = append(servers, backend.Server{ID: b, Role: backend.RoleBackend, Service: "m", Zone: "z0", State: backend.Live})
	}
	for _, h := range cl.hosts {
		cl.step(h, core.HostsRead{RequestedAt: cl.now, List: platform.HostList{Version: 1, Servers: servers}})
	}
}

// suspect reports that a server crashed while a host ran a request there.
func (cl *cluster) suspect(h *host, f poison.Fingerprint, b ids.BackendID) {
	cl.step(h, core.CrashDetected{Workspace: "w", Fingerprint: f, Backend: b})
}

// routeSuspect asks a host for a server other than the one where the request has been tried.
func (cl *cluster) routeSuspect(h *host, t core.Ticket, f poison.Fingerprint, tried ids.BackendID) {
	cl.step(h, core.RouteRequested{
		Ticket: t, Workspace: "w", Fingerprint: f, Request: route.Request{Service: "m", Tried: []ids.BackendID{tried}},
	})
}
