package dispatch

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

const (
	modelService   = ids.ServiceName("llm")
	modelObjective = 600 * time.Millisecond
	modelTimeout   = 5 * time.Second
	// modelHold is the mean time for which a request holds a slot; it varies by half of it.
	modelHold = 300 * time.Millisecond
	modelTick = 20 * time.Millisecond
)

// modelConfig is a load of callers and items on one service, without a network.
type modelConfig struct {
	seed      uint64
	disabled  Mechanism
	servers   int
	slots     int
	perSecond map[ids.WorkspaceID]float64
	rates     map[ids.WorkspaceID]Rate
	// items is how many batch items of each workspace run or wait at any time.
	items    map[ids.WorkspaceID]int
	duration time.Duration
	// placers is the number of hosts that decide by themselves; 1 is a dispatcher. replaceAt is when a dispatcher without
	// history takes over.
	placers   int
	replaceAt time.Duration
}

// modelResult is what the callers of a workspace met.
type modelResult struct {
	sent, inTime, late, refusedFirst, gaveUp int
	// granted and refused count attempts, refusedEarly those refused within a quarter of the objective.
	granted, refused, refusedEarly int
	// keptInVain counts first attempts refused later than that.
	keptInVain int
	// waited counts the grants after a wait, waitTime is the sum of their waits.
	waited   int
	waitTime time.Duration
	items    int
	slotTime time.Duration
}

func (r modelResult) shareInTime() float64 { return float64(r.inTime) / float64(max(1, r.sent)) }

type modelEvent struct {
	at    time.Time
	order int
	run   func()
}

type modelEvents []modelEvent

func (q modelEvents) Len() int { return len(q) }
func (q modelEvents) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q modelEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelEvents) Push(e any)   { *q = append(*q, e.(modelEvent)) }
func (q *modelEvents) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// modelCall is a caller's request, or a batch item, with all its attempts.
type modelCall struct {
	workspace ids.WorkspaceID
	class     Class
	began     time.Time
	attempted time.Time
	attempts  int
	placer    int
	request   SlotRequest
	server    ids.BackendID
	granted   time.Time
}

// fairModel runs schedulers on a load.
type fairModel struct {
	modelConfig
	// arrivals is apart from random, so that the load is the same whatever the decisions.
	arrivals, random *rand.Rand
	now              time.Time
	events           modelEvents
	order            int
	all              []*Scheduler
	calls            map[Key]*modelCall
	ticket           Ticket
	results          map[ids.WorkspaceID]*modelResult
	running          map[ids.BackendID]int
	// faults are the rules of check that were broken, decidedAt is for check.
	faults    []string
	decidedAt map[*shares]time.Time
}

func runModel(cfg modelConfig) (results map[ids.WorkspaceID]*modelResult, faults []string) {
	cfg.placers = max(1, cfg.placers)
	m := &fairModel{
		modelConfig: cfg, random: rand.New(rand.NewPCG(cfg.seed, 1)), arrivals: rand.New(rand.NewPCG(cfg.seed, 2)), now: time.Unix(1000, 0),
		calls:   make(map[Key]*modelCall),
		results: make(map[ids.WorkspaceID]*modelResult), all: make([]*Scheduler, cfg.placers), running: make(map[ids.BackendID]int),
		decidedAt: make(map[*shares]time.Time),
	}
	for n := range m.all {
		m.startPlacer(n)
	}
	start := m.now
	for _, w := range slices.Sorted(maps.Keys(cfg.perSecond)) {
		m.results[w] = &modelResult{}
		m.arriveLater(w, start.Add(cfg.duration))
	}
	for _, w := range slices.Sorted(maps.Keys(cfg.items)) {
		if m.results[w] == nil {
			m.results[w] = &modelResult{}
		}
		for range cfg.items[w] {
			m.request(&modelCall{workspace: w, class: Batch, began: m.now})
		}
	}
	if cfg.replaceAt > 0 {
		m.after(cfg.replaceAt, m.replace)
	}
	m.tick(start.Add(cfg.duration + modelTimeout))
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		if e.at.After(start.Add(cfg.duration)) && len(cfg.items) > 0 {
			break // items never end
		}
		m.now = e.at
		e.run()
	}
	return m.results, m.faults
}

func (m *fairModel) startPlacer(n int) {
	m.all[n] = New(fmt.Sprint(n), WithDisabledMechanisms(m.disabled))
	servers := make(map[ids.BackendID]directory.Server)
	for i := range m.servers {
		id := ids.BackendID(fmt.Sprintf("s%03d", i))
		servers[id] = directory.Server{ID: id, Service: modelService, Slots: m.slots}
	}
	m.step(n, RatesChanged{Rates: m.rates})
	m.step(n, ServersChanged{Servers: servers})
	if m.placers > 1 {
		m.step(n, IndependentHosts{Count: m.placers})
	}
}

// replace puts a scheduler without history in the place of the dispatcher; hosts report the slots that they hold and ask again
// for what waited.
func (m *fairModel) replace() {
	m.startPlacer(0)
	held := HostConnected{Host: "h"}
	var waiting []*modelCall
	for _, k := range slices.SortedFunc(maps.Keys(m.calls), func(a, b Key) int { return int(a.Ticket) - int(b.Ticket) }) {
		c := m.calls[k]
		if c.server != "" {
			held.Held = append(held.Held, HeldSlot{Request: c.request, Server: c.server, HeldFor: m.now.Sub(c.granted)})
			continue
		}
		delete(m.calls, k)
		waiting = append(waiting, c)
	}
	m.step(0, held)
	for _, c := range waiting {
		m.request(c)
	}
}

func (m *fairModel) after(d time.Duration, run func()) {
	m.order++
	heap.Push(&m.events, modelEvent{m.now.Add(d), m.order, run})
}

func (m *fairModel) tick(end time.Time) {
	for n := range m.all {
		m.step(n, Tick{})
	}
	if m.now.Before(end) {
		m.after(modelTick, func() { m.tick(end) })
	}
}

func (m *fairModel) arriveLater(w ids.WorkspaceID, end time.Time) {
	m.after(time.Duration(m.arrivals.ExpFloat64()/m.perSecond[w]*float64(time.Second)), func() {
		if m.now.After(end) {
			return
		}
		m.results[w].sent++
		m.request(&modelCall{workspace: w, began: m.now, placer: m.arrivals.IntN(m.placers)})
		m.arriveLater(w, end)
	})
}

func (m *fairModel) request(c *modelCall) {
	m.ticket++
	c.attempts++
	c.attempted = m.now
	elapsed := m.now.Sub(c.began)
	c.request = SlotRequest{
		Ticket: m.ticket, Service: modelService, Workspace: c.workspace, Class: c.class, Objective: modelObjective - elapsed,
		Remaining: modelTimeout - elapsed, FirstAttemptTime: modelTimeout, StreamEvents: 1,
	}
	if c.class == Batch {
		c.request.Objective, c.request.Remaining = time.Minute, time.Hour
	}
	m.calls[Key{"h", m.ticket}] = c
	m.step(c.placer, SlotRequested{Host: "h", Request: c.request})
}

// check records what must hold after each event: the queues are in order, no slot is free while a request waits, and the order
// doesn't change more often than stated.
func (m *fairModel) check(sc *Scheduler) {
	p := sc.pool(modelService)
	for name, q := range map[string]queue{"callers": p.onlineQueue, "items": p.batchQueue} {
		if !sort.SliceIsSorted(q, func(i, j int) bool { return waitsBefore(q[i], q[j]) }) {
			m.faults = append(m.faults, name+" are out of order")
		}
	}
	_, free := p.callerSlots(m.now)
	if free > 0 && len(p.onlineQueue) > 0 {
		m.faults = append(m.faults, "a slot is free while a caller waits")
	}
	if free > p.batchReserve() && len(p.batchQueue) > 0 {
		m.faults = append(m.faults, "a slot is free while an item waits")
	}
	for _, s := range []*shares{&p.callerShares, &p.batchShares} {
		if last := m.decidedAt[s]; !last.IsZero() && s.decidedAt.After(last) && s.decidedAt.Sub(last) < sharesInterval {
			m.faults = append(m.faults, "the order changed again too soon")
		}
		m.decidedAt[s] = s.decidedAt
	}
}

func (m *fairModel) step(placer int, e Event) {
	commands := m.all[placer].Step(m.now, e)
	m.check(m.all[placer])
	for _, cmd := range commands {
		switch cmd := cmd.(type) {
		case Grant:
			m.grant(cmd)
		case Refuse:
			m.refuse(cmd)
		case Yield:
			c := m.calls[cmd.Key]
			m.after(0, func() { m.end(cmd.Key, Cancelled) })
			m.after(time.Millisecond, func() { m.request(c) })
		}
	}
}

func (m *fairModel) grant(cmd Grant) {
	c := m.calls[cmd.Key]
	c.server, c.granted = cmd.Server.ID, m.now
	r := m.results[c.workspace]
	r.granted++
	if cmd.Waited > 0 {
		r.waited++
		r.waitTime += cmd.Waited
	}
	m.running[c.server]++
	slower := max(1, float64(m.running[c.server])/float64(m.slots)) // hosts that decide by themselves exceed the slots
	m.after(time.Duration(slower*(0.5+m.random.Float64())*float64(modelHold)), func() { m.end(cmd.Key, Served) })
	if c.class == Batch {
		return
	}
	if m.now.Sub(c.began) <= modelObjective-defaultFirstByteTime {
		r.inTime++
	} else {
		r.late++
	}
}

func (m *fairModel) end(k Key, result Result) {
	c, ok := m.calls[k]
	if !ok {
		return
	}
	delete(m.calls, k)
	m.running[c.server]--
	c.server = ""
	r := m.results[c.workspace]
	r.slotTime += m.now.Sub(c.granted)
	m.step(c.placer, SendEnded{Host: "h", Outcome: Outcome{Ticket: k.Ticket, Result: result, TimeToFirstByte: defaultFirstByteTime}})
	if c.class == Batch && result == Served {
		r.items++
		m.request(&modelCall{workspace: c.workspace, class: Batch, began: m.now})
	}
}

func (m *fairModel) refuse(cmd Refuse) {
	c := m.calls[cmd.Key]
	delete(m.calls, cmd.Key)
	r := m.results[c.workspace]
	r.refused++
	if m.now.Sub(c.attempted) < modelObjective/4 {
		r.refusedEarly++
	}
	if c.attempts == 1 {
		r.refusedFirst++
		if m.now.Sub(c.attempted) >= modelObjective/4 {
			r.keptInVain++
		}
	}
	if cmd.Reason == TooLate || m.now.Sub(c.began)+cmd.RetryAfter >= modelTimeout {
		r.gaveUp++
		return
	}
	m.after(cmd.RetryAfter, func() { m.request(c) })
}
