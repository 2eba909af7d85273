package cmd

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/objects/memory"
)

// noticeTime is how long hosts may take to pass a server's word on; deployments allow two seconds and more.
const noticeTime = 500 * time.Millisecond

// TestFleetLeavesDrainingServers: the store says that a server is ready, or is away; the server itself says in one
// answer to one host that it leaves. Then no host sends it anything, until it has started again.
func TestFleetLeavesDrainingServers(t *testing.T) {
	f := newFleet(t, 10_000)
	for name, fault := range map[string]standin.ServerFault{
		"whole answer": standin.NoFault, "refusal": standin.NotExecuted, "failure": standin.InternalError, "answer that is cut": standin.CutAnswer,
		"answer to another request": standin.ForeignAnswer, "interim answer": standin.DrainingInterim,
	} {
		for _, service := range []string{"app", "llm"} {
			f.drainOne(qt.New(t), service, fmt.Sprintf("%s, %s", service, name), fault)
		}
	}
}

func (f *fleet) drainOne(c *qt.C, service, name string, fault standin.ServerFault) {
	s := f.servers[service+"-0"]
	if fault == standin.NoFault {
		f.store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
	}
	before := s.Received()
	s.SetFault(func(*http.Request) standin.ServerFault { return fault })
	s.SetDraining(true)
	f.eventually(name+": the server is met", func() bool {
		f.callAtOnce(service)
		return s.Received() > before
	})
	time.Sleep(noticeTime)
	before = s.Received()
	for range 3 {
		f.callAtOnce(service)
	}
	c.Assert(s.Received(), qt.Equals, before, qt.Commentf("%s", name))

	f.store.SetFault(nil)
	s.SetFault(nil)
	s.Restart(time.Now())
	f.register(s)
	f.eventually(name+": the server that started again is used", func() bool {
		f.callAtOnce(service)
		return s.Received() > before
	})
}

// atOnce is more requests than a service's other servers have slots: a server that was slow once is used last.
const atOnce = 16

func (f *fleet) callAtOnce(service string) {
	var all sync.WaitGroup
	for range atOnce {
		all.Go(func() { f.callService(service) })
	}
	all.Wait()
}

func (f *fleet) callService(service string) result {
	if service == "llm" {
		return f.call("POST", "/stream/x", key, tokens, []byte("q"))
	}
	return f.call("GET", "/app/x", key, nil, nil)
}

// TestFleetItemsLeaveDrainingServers: an item's answer says that its server leaves while the store is away; the items
// that follow go elsewhere, and so do callers' requests.
func TestFleetItemsLeaveDrainingServers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 10_000)
	f.pause(20 * time.Millisecond)
	s := f.servers["llm-0"]
	c.Assert(f.submit("job-of-many", 40).status, qt.Equals, http.StatusAccepted)
	f.eventually("items run at the server", func() bool { return s.Received() > 0 })
	f.store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
	s.SetDraining(true)
	before := s.Received()
	f.eventually("an item is sent to the server once more", func() bool { return s.Received() > before })
	time.Sleep(noticeTime)
	before = s.Received()
	for range 20 {
		f.callService("llm")
	}
	f.store.SetFault(nil)
	c.Assert(f.whole("job-of-many", 40), qt.HasLen, 40)
	c.Assert(s.Received(), qt.Equals, before)
}

// TestFleetAllServersDrain: all servers of a service say that they leave. Callers are told at once that nothing has
// run and when to come back; the other service goes on.
func TestFleetAllServersDrain(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 10_000)
	for n := range 2 {
		f.servers[fmt.Sprintf("app-%d", n)].SetDraining(true)
	}
	var r result
	f.eventually("a request is refused", func() bool {
		r = f.callService("app")
		return r.status == http.StatusServiceUnavailable
	})
	c.Assert(r.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Assert(f.ran(r.id), qt.Equals, 0)
	c.Assert(f.callService("llm").status, qt.Equals, http.StatusOK)
}
