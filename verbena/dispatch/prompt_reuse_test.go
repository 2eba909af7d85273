package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/cold"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/origin"
)

const (
	testService ids.ServiceName = "llm"
	// longPart is read in 119 ms and shortPart in 1.3 ms at testTokenSeconds.
	longPart, shortPart = 13_300, 150
	testTokenSeconds    = 1.0 / 112_000
	testMemory          = 147_261
)

// reuseFixture drives a scheduler whose servers have 8 slots each.
type reuseFixture struct {
	c         *qt.C
	scheduler *Scheduler
	servers   map[ids.BackendID]directory.Server
	now       time.Time
	ticket    Ticket
}

func newReuseFixture(c *qt.C, servers int, options ...Option) *reuseFixture {
	f := &reuseFixture{c: c, scheduler: New("", options...), servers: make(map[ids.BackendID]directory.Server), now: time.Unix(1000, 0)}
	for i := range servers {
		id := ids.BackendID(fmt.Sprintf("s%03d", i))
		f.servers[id] = directory.Server{ID: id, Service: testService, Slots: 8, SoftwareVersion: "1"}
	}
	f.step(ServicesChanged{Services: map[ids.ServiceName]ServiceTraits{testService: {MemoryTokens: testMemory}}})
	f.step(ServersChanged{Servers: f.servers})
	return f
}

func (f *reuseFixture) step(e Event) []Command { return f.scheduler.Step(f.now, e) }

func (f *reuseFixture) request(size int, parts ...ids.PromptPartID) SlotRequest {
	f.ticket++
	req := SlotRequest{
		Ticket: f.ticket, Service: testService, Objective: time.Minute, Remaining: time.Minute, FirstAttemptTime: time.Minute, StreamEvents: 80,
		PromptTokens: 200, OutputTokens: 80,
	}
	for _, p := range parts {
		req.Parts, req.PartTokens = append(req.Parts, p), append(req.PartTokens, size)
		req.PromptTokens += size
	}
	return req
}

func (f *reuseFixture) place(req SlotRequest) (server ids.BackendID) {
	for _, cmd := range f.step(SlotRequested{Host: "f1", Request: req}) {
		if g, ok := cmd.(Grant); ok {
			return g.Server.ID
		}
	}
	return ""
}

func (f *reuseFixture) end(req SlotRequest, result Result) {
	f.step(SendEnded{Host: "f1", Outcome: Outcome{Ticket: req.Ticket, Result: result}})
}

// teach lets the scheduler learn the reading speed, from prompts without shared parts, at all servers.
func (f *reuseFixture) teach() {
	for i := range 100 {
		req := f.request(0)
		req.PromptTokens = 1000 + 400*i
		f.c.Assert(f.place(req), qt.Not(qt.Equals), ids.BackendID(""))
		first := time.Duration((0.02 + float64(req.PromptTokens)*testTokenSeconds) * float64(time.Second))
		f.now = f.now.Add(time.Second)
		f.step(SendEnded{Host: "f1", Outcome: Outcome{Ticket: req.Ticket, TimeToFirstByte: first}})
	}
}

// serve places a request and ends it once it has been answered.
func (f *reuseFixture) serve(req SlotRequest) (server ids.BackendID) {
	server = f.place(req)
	f.now = f.now.Add(time.Second)
	f.end(req, Served)
	return server
}

// occupy runs requests without parts on one server for the rest of the test.
func (f *reuseFixture) occupy(server ids.BackendID, n int) {
	for range n {
		req := f.request(0)
		req.PromptTokens = 0
		for id := range f.servers {
			if id != server {
				req.Exclude = append(req.Exclude, id)
			}
		}
		f.c.Assert(f.place(req), qt.Equals, server)
	}
}

// A server that holds a long part must be chosen although another one would be without it, for callers, items and resumed streams.
func TestLongPartsAreReused(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(r *SlotRequest)
	}{
		{"caller", func(*SlotRequest) {}},
		{"item", func(r *SlotRequest) { r.Class = Batch }},
		{"resumed stream", func(r *SlotRequest) {
			r.Resumption = &Resumption{Known: true, Origin: origin.Origin{Service: testService, Version: "1"}, Services: []ids.ServiceName{testService}}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newReuseFixture(c, 4)
			f.teach()
			f.occupy("s000", 1)
			holder := f.serve(f.request(longPart, "p", "q"))
			c.Assert(holder, qt.Equals, ids.BackendID("s001"))
			f.occupy(holder, 1)
			req := f.request(longPart, "p", "q", "r")
			test.change(&req)
			c.Assert(f.place(req), qt.Equals, holder)
			f.end(req, Served)
			req = f.request(longPart, "q", "p")
			test.change(&req)
			c.Assert(f.place(req), qt.Equals, ids.BackendID("s002")) // other parts come before
		})
	}
}

func TestReuseIsDisabled(t *testing.T) {
	c := qt.New(t)
	f := newReuseFixture(c, 4, WithDisabledMechanisms(PromptReuse))
	f.teach()
	f.occupy("s000", 1)
	holder := f.serve(f.request(longPart, "p"))
	f.occupy(holder, 1)
	c.Assert(f.place(f.request(longPart, "p")), qt.Equals, ids.BackendID("s002"))
}

// Before the reading speed is known, parts must only decide between servers of equal cost.
func TestUnknownSpeedChangesNothing(t *testing.T) {
	c := qt.New(t)
	f := newReuseFixture(c, 4)
	holder := f.serve(f.request(longPart, "p"))
	f.occupy(holder, 1)
	c.Assert(f.place(f.request(longPart, "p")), qt.Equals, ids.BackendID("s001"))
}

// Short parts must decide between servers of equal cost only.
func TestShortPartsDecideTies(t *testing.T) {
	c := qt.New(t)
	f := newReuseFixture(c, 4)
	f.teach()
	blocker := f.request(0)
	c.Assert(f.place(blocker), qt.Equals, ids.BackendID("s000"))
	holder := f.serve(f.request(shortPart, "p"))
	f.end(blocker, Served)
	c.Assert(holder, qt.Equals, ids.BackendID("s001"))
	c.Assert(f.place(f.request(shortPart, "p")), qt.Equals, holder)
	c.Assert(f.place(f.request(shortPart, "p")), qt.Equals, ids.BackendID("s000"))
}

// Requests with short parts must be placed by load as before, also while servers read long prompts.
func TestShortPartsIgnoreReading(t *testing.T) {
	c := qt.New(t)
	f := newReuseFixture(c, 4)
	f.teach()
	for _, other := range []ids.BackendID{"s001", "s002", "s003"} {
		f.occupy(other, 2)
	}
	long := f.request(0)
	long.PromptTokens = 40_000
	c.Assert(f.place(long), qt.Equals, ids.BackendID("s000"))
	c.Assert(f.place(f.request(shortPart, "p")), qt.Equals, ids.BackendID("s000"))
}

// A server that runs more requests than others must not be preferred, however long the part is.
func TestBusyHolderIsNotPreferred(t *testing.T) {
	c := qt.New(t)
	f := newReuseFixture(c, 4)
	f.teach()
	holder := f.serve(f.request(longPart, "p", "q", "r"))
	f.occupy(holder, 4)
	c.Assert(f.place(f.request(longPart, "p", "q", "r")), qt.Not(qt.Equals), holder)
}

// Prompts that the holder has to read first must lead to a second copy once they take longer than reading elsewhere.
func TestCopyIsMadeWhenHolderReads(t *testing.T) {
	c := qt.New(t)
	f := newReuseFixture(c, 4)
	f.teach()
	holder := f.serve(f.request(longPart, "p"))
	for _, other := range []ids.BackendID{"s001", "s002", "s003"} {
		f.occupy(other, 2) // by their load only, the holder is best
	}
	long := f.request(0)
	long.PromptTokens = 10_000 // less than the part
	long.Exclude = []ids.BackendID{"s001", "s002", "s003"}
	c.Assert(f.place(long), qt.Equals, holder)
	c.Assert(f.place(f.request(longPart, "p")), qt.Equals, holder)
	long = f.request(0)
	long.PromptTokens = 40_000
	long.Exclude = []ids.BackendID{"s001", "s002", "s003"}
	c.Assert(f.place(long), qt.Equals, holder)
	second := f.place(f.request(longPart, "p"))
	c.Assert(second, qt.Not(qt.Equals), holder)
	c.Assert(second, qt.Not(qt.Equals), ids.BackendID(""))
}

// A server that has become cold must stay behind warm ones, whatever it holds.
func TestColdHolderStaysBehindWarmServers(t *testing.T) {
	c := qt.New(t)
	f := newReuseFixture(c, 4)
	f.step(ServicesChanged{Services: map[ids.ServiceName]ServiceTraits{testService: {
		MemoryTokens: testMemory, Cold: cold.Bound{PerSecond: 10, MaxInSecond: 20},
	}}})
	f.teach()
	parts := []ids.PromptPartID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	holder := f.serve(f.request(longPart, parts...))
	c.Assert(f.serve(f.request(longPart, parts...)), qt.Equals, holder)
	s := f.servers[holder]
	s.Revision, s.WarmupRemaining = 1, time.Minute
	f.servers[holder] = s
	f.step(ServersChanged{Servers: f.servers})
	f.now = f.now.Add(time.Second)
	second := f.place(f.request(longPart, parts...))
	c.Assert(second, qt.Not(qt.Equals), holder)
	c.Assert(second, qt.Not(qt.Equals), ids.BackendID(""))
}

// What a server no longer holds, or never read, must not draw requests to it.
func TestHeldPartsAreForgotten(t *testing.T) {
	for _, test := range []struct {
		name  string
		apply func(f *reuseFixture, holder ids.BackendID)
	}{
		{"restart", func(f *reuseFixture, holder ids.BackendID) {
			s := f.servers[holder]
			s.Incarnation++
			f.servers[holder] = s
			f.step(ServersChanged{Servers: f.servers})
		}},
		{"other version", func(f *reuseFixture, holder ids.BackendID) {
			s := f.servers[holder]
			s.SoftwareVersion = "2"
			f.servers[holder] = s
			f.step(ServersChanged{Servers: f.servers})
		}},
		{"broken send", func(f *reuseFixture, holder ids.BackendID) {
			req := f.request(0)
			req.Exclude = []ids.BackendID{"s000", "s002", "s003"}
			f.c.Assert(f.place(req), qt.Equals, holder)
			f.end(req, Broken)
			f.now = f.now.Add(30 * time.Second) // past the weight of the failure itself
		}},
		{"memory", func(f *reuseFixture, holder ids.BackendID) {
			for i := range 11 {
				req := f.request(longPart, ids.PromptPartID(fmt.Sprint("other", i)))
				req.Exclude = []ids.BackendID{"s000", "s002", "s003"}
				f.c.Assert(f.serve(req), qt.Equals, holder)
			}
		}},
		{"age", func(f *reuseFixture, _ ids.BackendID) { f.now = f.now.Add(2 * time.Minute) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newReuseFixture(c, 4)
			f.teach()
			f.occupy("s000", 1)
			holder := f.serve(f.request(longPart, "p"))
			c.Assert(f.serve(f.request(longPart, "p")), qt.Equals, holder)
			test.apply(f, holder)
			f.occupy(holder, 1)
			c.Assert(f.place(f.request(longPart, "p")), qt.Not(qt.Equals), holder)
		})
	}
}

// A part must not count as held if the request that had it was refused by the server, or ended before it was read.
func TestPartsThatWereNotReadAreForgotten(t *testing.T) {
	for _, o := range []Outcome{{Result: Full}, {Result: NoPath}, {Result: Unreachable}, {Result: Cancelled}, {Result: Cancelled, NotSent: true}} {
		t.Run(fmt.Sprint(o.Result, " ", o.NotSent), func(t *testing.T) {
			c := qt.New(t)
			f := newReuseFixture(c, 4)
			f.teach()
			req := f.request(longPart, "p")
			first := f.place(req)
			f.now = f.now.Add(10 * time.Millisecond)
			if o.NotSent {
				f.now = f.now.Add(time.Second)
			}
			o.Ticket = req.Ticket
			f.step(SendEnded{Host: "f1", Outcome: o})
			f.now = f.now.Add(30 * time.Second) // past the weight of a failure itself
			c.Assert(f.scheduler.pools[testService].prompts.index.Len(), qt.Equals, 0)
			f.occupy(first, 1)
			c.Assert(f.place(f.request(longPart, "p")), qt.Not(qt.Equals), first)
		})
	}
}

// One host that can't reach servers must not wipe out what they hold for others; several failures in a row are a crash.
func TestUnreachableFromOneHost(t *testing.T) {
	c := qt.New(t)
	f := newReuseFixture(c, 4)
	f.teach()
	holder := f.serve(f.request(longPart, "p"))
	held := func() int { return f.scheduler.pools[testService].prompts.index.Len() }
	for i, want := range []int{1, 0} {
		f.now = f.now.Add(2 * time.Second)
		req := f.request(0)
		req.Exclude = []ids.BackendID{"s001", "s002", "s003"}
		c.Assert(f.place(req), qt.Equals, holder)
		f.end(req, Unreachable)
		c.Assert(held(), qt.Equals, want, qt.Commentf("failure %d", i+1))
	}
}

// A new dispatcher learns what servers hold from the slots that hosts hold when they connect.
func TestNewDispatcherLearnsFromHeldSlots(t *testing.T) {
	c := qt.New(t)
	f := newReuseFixture(c, 4)
	f.teach()
	f.step(HostConnected{Host: "f2", Held: []HeldSlot{{Request: f.request(longPart, "p"), Server: "s002", HeldFor: time.Second}}})
	c.Assert(f.place(f.request(longPart, "p")), qt.Equals, ids.BackendID("s002"))
}

// The counts of tokens must say what was placed where it is held.
func TestPartTokensAreCounted(t *testing.T) {
	c := qt.New(t)
	f := newReuseFixture(c, 4)
	f.teach()
	holder := f.serve(f.request(longPart, "p"))
	f.serve(f.request(longPart, "p"))
	req := f.request(longPart, "p")
	req.Exclude = []ids.BackendID{holder}
	f.serve(req)
	c.Assert(f.scheduler.Usage(f.now)[testService].PartTokens, qt.Equals, PartTokens{Held: longPart, HeldElsewhere: longPart, New: longPart})
}

// Ended runs and servers that leave must not stay in the state.
func TestPromptStateFollowsServers(t *testing.T) {
	c := qt.New(t)
	f := newReuseFixture(c, 4)
	f.teach()
	for i := range 50 {
		f.serve(f.request(shortPart, ids.PromptPartID(fmt.Sprint("part", i%7))))
	}
	p := f.scheduler.pools[testService]
	c.Assert(p.prompts.index.Len() > 0, qt.IsTrue)
	f.step(ServersChanged{Servers: nil})
	c.Assert(p.prompts.index.Len(), qt.Equals, 0)
}
