package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/memory"
)

const modelMemory = 10_000

// memoryModel is a service of few servers and what their requests hold, summed again at each step.
type memoryModel struct {
	scheduler *Scheduler
	random    *rand.Rand
	now       time.Time
	requests  map[Key]SlotRequest
	running   map[Key]ids.BackendID
	// started is when requests began, refused how many were refused.
	started map[Key]time.Duration
	refused int
}

func newMemoryModel(servers, slots int) *memoryModel {
	m := &memoryModel{
		scheduler: New(""), random: rand.New(rand.NewPCG(7, 7)), now: time.Unix(1000, 0), requests: make(map[Key]SlotRequest),
		running: make(map[Key]ids.BackendID), started: make(map[Key]time.Duration),
	}
	m.step(ServicesChanged{Services: map[ids.ServiceName]ServiceTraits{"llm": {MemoryTokens: modelMemory}}})
	listed := make(map[ids.BackendID]directory.Server)
	for n := range servers {
		id := ids.BackendID(fmt.Sprintf("s%04d", n))
		listed[id] = directory.Server{ID: id, Service: "llm", Slots: slots}
	}
	m.step(ServersChanged{Servers: listed})
	return m
}

// request returns a request of up to the whole memory. Most are small, and many begin alike.
func (m *memoryModel) request(t Ticket) SlotRequest {
	r := SlotRequest{
		Ticket: t, Service: "llm", Objective: 2 * time.Second, Remaining: 5 * time.Second, StreamEvents: 1,
		PromptTokens: 100 + m.random.IntN(2000), OutputTokens: m.random.IntN(500),
	}
	switch m.random.IntN(8) {
	case 0:
		r.PromptTokens += m.random.IntN(modelMemory)
	case 1, 2, 3:
		r.Parts, r.PartTokens = []ids.PromptPartID{"system", ids.PromptPartID(fmt.Sprint(m.random.IntN(4)))}, []int{1500, 800}
		r.PromptTokens += 2300
	}
	if m.random.IntN(10) == 0 {
		r.Exclude = []ids.BackendID{ids.BackendID(fmt.Sprintf("s%04d", m.random.IntN(3)))}
	}
	if m.random.IntN(4) == 0 {
		r.Class, r.Objective, r.Remaining = Batch, 10*time.Second, time.Minute
	}
	return r
}

func (m *memoryModel) step(e Event) {
	for _, c := range m.scheduler.Step(m.now, e) {
		switch c := c.(type) {
		case Grant:
			m.running[c.Key] = c.Server.ID
		case Refuse:
			delete(m.requests, c.Key)
			m.refused++
		case Yield: // the host frees the slot a little later
		}
	}
}

// held returns what the servers hold, with each beginning of prompts counted once.
func (m *memoryModel) held() map[ids.BackendID]memory.Tokens {
	sums := make(map[ids.BackendID]memory.Tokens)
	counted := make(map[string]bool)
	for k, s := range m.running {
		r := m.requests[k]
		size, beginning := r.PromptTokens+r.OutputTokens, string(s)
		for i, p := range r.Parts {
			if beginning += "/" + string(p); counted[beginning] {
				size -= r.PartTokens[i]
			}
			counted[beginning] = true
		}
		sums[s] += memory.Tokens(size)
	}
	return sums
}

// end ends a running request, chosen at random.
func (m *memoryModel) end() {
	if len(m.running) == 0 {
		return
	}
	all := slices.SortedFunc(maps.Keys(m.running), func(a, b Key) int { return cmp.Compare(a.Ticket, b.Ticket) })
	k := all[m.random.IntN(len(all))]
	delete(m.running, k)
	m.step(SendEnded{Host: k.Host, Outcome: Outcome{Ticket: k.Ticket, Result: Served, StreamEvents: 1, Elapsed: 100 * time.Millisecond}})
	delete(m.requests, k)
}

// checkReservation asserts that at most one server is reserved, for a request that waits and has lacked room for its time.
func (m *memoryModel) checkReservation(c *qt.C, p *pool) {
	for _, s := range p.servers {
		w := s.reservedFor
		if w == nil {
			continue
		}
		c.Assert(p.reserved, qt.Equals, roomReservation{w, s})
		c.Assert(m.scheduler.waiting[w.key], qt.Equals, w)
		c.Assert(m.now.Sub(w.since) >= w.reserveAfter(), qt.IsTrue)
	}
}

// TestMemoryHoldsEverything guards against servers whose requests exceed their memory, and against requests that wait although a server
// has a free slot and room for them and isn't reserved for another. Callers' requests and items of all sizes come and go.
func TestMemoryHoldsEverything(t *testing.T) {
	c := qt.New(t)
	m := newMemoryModel(3, 6)
	grants, waited := 0, 0
	for n := range 20_000 {
		m.now = m.now.Add(time.Duration(m.random.IntN(20)) * time.Millisecond)
		if m.random.IntN(2) == 0 {
			m.end()
		} else {
			r := m.request(Ticket(n))
			m.requests[Key{Host: "f1", Ticket: r.Ticket}] = r
			m.step(SlotRequested{Host: "f1", Request: r})
		}
		for id, tokens := range m.held() {
			c.Assert(tokens <= modelMemory, qt.IsTrue, qt.Commentf("step %d: %s holds %d", n, id, tokens))
			c.Assert(m.scheduler.servers[id].held.Tokens(), qt.Equals, tokens)
		}
		p := m.scheduler.pool("llm")
		for _, w := range p.onlineQueue {
			waited++
			for _, s := range p.servers {
				mayRun := s.freeSlots(m.now) > 0 && p.hasRoom(s, &w.request.Footprint) && !s.keptFromClass(w.key, Online) && w.request.mayRunOn(m.now, s)
				c.Assert(mayRun, qt.IsFalse, qt.Commentf("step %d: %v could run on %s", n, w.key, s.ID))
			}
		}
		m.checkReservation(c, p)
		grants += len(m.running)
	}
	c.Assert(grants > 0 && waited > 0, qt.IsTrue)
}
