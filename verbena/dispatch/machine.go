package dispatch

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaledge.example/verbena/ids"
)

// disconnectedHold is how long the slots of a host that disconnected count as used: it goes on with its
// requests and tells of them when it joins again.
const disconnectedHold = 3 * time.Second

// run is a slot that is granted.
type run struct {
	key    Key
	ask    SlotRequest
	server *server
	start  time.Time
	due    time.Time
	// leave is when the caller's time ends, or the item is given up.
	leave    time.Time
	yielding bool
	// late is set while a batch item is put off.
	late bool
}

// Machine is the state of all decisions. It is used by one goroutine.
type Scheduler struct {
	pools              map[ids.ServiceName]*pool
	servers            map[ids.BackendID]*server
	runs               map[Key]*run
	waits              map[Key]*waiter
	rates              map[ids.WorkspaceID]Rate
	buckets            map[ids.WorkspaceID]*bucket
	heldByDisconnected map[ids.HostID]time.Time
	absence            absence
	spent              AdmissionCounts
	out                []Command
	// part is this machine's share of the slots.
	part     float64
	suspects suspects
	// salt orders servers that are equal otherwise.
	salt string
	off  switches
}

// New returns a machine that knows no servers. Machines with different salts prefer different ones
// among servers that are equal otherwise; without a salt the first by id is preferred.
func New(salt string, list ...Option) *Scheduler {
	m := &Scheduler{
		off:                make(switches),
		salt:               salt,
		pools:              make(map[ids.ServiceName]*pool),
		servers:            make(map[ids.BackendID]*server),
		runs:               make(map[Key]*run),
		waits:              make(map[Key]*waiter),
		buckets:            make(map[ids.WorkspaceID]*bucket),
		heldByDisconnected: make(map[ids.HostID]time.Time),
		absence:            newAbsence(),
		part:               1,
		suspects:           make(suspects),
	}
	for _, o := range list {
		o(m)
	}
	return m
}

// Step applies one event at the given time and returns the commands that follow from it.
func (m *Scheduler) Step(now time.Time, e Event) (cmds []Command) {
	m.out = nil
	switch e := e.(type) {
	case ServersChanged:
		m.setServers(now, e)
	case RatesChanged:
		m.setRates(now, e)
	case IndependentHosts:
		m.divide(1 / float64(max(1, e.Count)))
	case StandbyChanged:
		m.absence.standBy(now, e)
		if !e.On {
			m.divide(1)
		}
		m.share(now)
		m.pump(now)
	case SlotRequested:
		m.ask(now, e)
	case SendEnded:
		m.end(now, Key{Host: e.Host, Ticket: e.Outcome.Ticket}, e.Outcome)
	case ServerStalled:
		m.stall(now, e)
	case HostConnected:
		m.join(now, e)
	case HostDisconnected:
		m.lost(now, e)
	case HostLeaving:
		m.absence.leave(e.Host)
	case LeaseUncertain:
		m.absence.leaseUncertain(now, e.Uncertain)
		m.share(now)
	case Tick:
		m.tick(now)
	}
	return m.out
}

// Busy tells whether time alone may change a decision.
func (m *Scheduler) NeedsTick() bool {
	return len(m.waits) > 0 || len(m.heldByDisconnected) > 0
}

func (m *Scheduler) setServers(now time.Time, e ServersChanged) {
	for id, s := range m.servers {
		if _, ok := e.Servers[id]; !ok {
			s.gone = true
			if s.used == 0 {
				m.forget(s)
			}
		}
	}
	joined := false
	for id, d := range e.Servers {
		s, ok := m.servers[id]
		if ok && s.Service != d.Service {
			m.leavePool(s)
		}
		if !ok {
			s = &server{off: m.off, coldUntil: now.Add(d.WarmupRemaining), part: m.part, order: m.orderOf(id)}
			m.servers[id] = s
		}
		if s.Incarnation != d.Incarnation {
			s.restarted(now, d.WarmupRemaining)
		}
		joins := !ok || s.Service != d.Service
		s.Server, s.gone = d, false
		if joins {
			p := m.pool(d.Service)
			p.servers = append(p.servers, s)
			joined = true
		}
	}
	for _, p := range m.pools {
		if !joined {
			break
		}
		sort.Slice(p.servers, func(i, j int) bool { return p.servers[i].before(p.servers[j]) })
	}
	m.pump(now)
}

// orderOf spreads the first choice of machines that decide alone over all servers.
func (m *Scheduler) orderOf(id ids.BackendID) uint64 {
	if m.salt == "" {
		return 0
	}
	return xxhash.Sum64String(m.salt + string(id))
}

func (m *Scheduler) forget(s *server) {
	delete(m.servers, s.ID)
	m.leavePool(s)
}

func (m *Scheduler) leavePool(s *server) {
	p := m.pool(s.Service)
	for i, o := range p.servers {
		if o == s {
			p.servers = append(p.servers[:i], p.servers[i+1:]...)
			return
		}
	}
}

func (m *Scheduler) pool(name ids.ServiceName) *pool {
	p, ok := m.pools[name]
	if !ok {
		p = &pool{off: m.off}
		m.pools[name] = p
	}
	return p
}

func (m *Scheduler) setRates(now time.Time, e RatesChanged) {
	m.rates = make(map[ids.WorkspaceID]Rate, len(e.Rates))
	for id, r := range e.Rates {
		m.rates[id] = r
		own := m.leftOf(id, r)
		b, ok := m.buckets[id]
		if !ok {
			m.buckets[id] = newBucket(now, own)
			continue
		}
		b.set(now, own)
		if e.ResetTokens {
			b.tokens = min(b.tokens, r.start())
		}
	}
	for id := range m.buckets {
		if _, ok := m.rates[id]; !ok {
			delete(m.buckets, id)
		}
	}
}

// divide leaves the slots to other machines but for a part.
func (m *Scheduler) divide(part float64) {
	m.part = part
	for _, s := range m.servers {
		s.part = part
	}
}

// share leaves hosts that are out of touch their part of the rates, and on a standby of the slots.
func (m *Scheduler) share(now time.Time) {
	if part, ok := m.absence.slots(); ok {
		m.divide(part)
	}
	for id, b := range m.buckets {
		b.set(now, m.leftOf(id, m.rates[id]))
	}
}

// leftOf is what of a rate hosts that are out of touch leave.
func (m *Scheduler) leftOf(id ids.WorkspaceID, r Rate) Rate {
	if m.off[ReservedRates] {
		return r
	}
	return m.absence.left(id, r)
}

// end frees the slot of a run, or takes a waiting ask back.
func (m *Scheduler) end(now time.Time, k Key, o Outcome) {
	if w, ok := m.waits[k]; ok {
		m.drop(w)
		m.giveBack(w.ask)
		return
	}
	r, ok := m.runs[k]
	if !ok {
		return
	}
	p := m.pool(r.ask.Service)
	if o.Result == Full {
		m.giveBack(r.ask)
	}
	m.release(r)
	r.server.learn(now, r.key.Host, o)
	p.boundEjection(now, r.server)
	m.suspects.note(now, r.ask.Fingerprint, o.Result)
	if o.Result == Served {
		p.learn(r.ask, now.Sub(r.start), o)
	}
	m.pump(now)
}

func (m *Scheduler) giveBack(a SlotRequest) {
	if b, ok := m.buckets[a.Workspace]; ok && (a.Metered || a.Retry) {
		b.giveBack()
	}
}

func (m *Scheduler) release(r *run) {
	delete(m.runs, r.key)
	r.server.used--
	if r.yielding {
		r.server.yielding--
	}
	p := m.pool(r.ask.Service)
	if r.ask.Class == Batch {
		delete(p.batch, r.key)
	} else {
		p.running--
	}
	if r.server.gone && r.server.used == 0 {
		m.forget(r.server)
	}
}

func (m *Scheduler) join(now time.Time, e HostConnected) {
	delete(m.heldByDisconnected, e.Host)
	m.clear(e.Host)
	m.withdraw(e.Host)
	for _, h := range e.Held {
		s, ok := m.servers[h.Server]
		if !ok {
			continue
		}
		m.start(now, &waiter{key: Key{Host: e.Host, Ticket: h.Request.Ticket}, ask: h.Request, due: now.Add(h.Request.Objective), leave: now.Add(h.Request.Remaining)}, s)
		m.runs[Key{Host: e.Host, Ticket: h.Request.Ticket}].start = now.Add(-h.HeldFor)
	}
	if m.absence.join(now, e) {
		m.restart(now)
	}
	for w, n := range e.AdmittedElsewhere {
		if b, ok := m.buckets[w]; ok {
			m.spent.Add(now, spentElsewhere, w, n)
			b.limit(now, m.rates[w], m.spent.Total(now, w))
		}
	}
	m.share(now)
	m.pump(now)
}

// restart begins to count all rates: what was earned while another machine counted is not there.
func (m *Scheduler) restart(now time.Time) {
	for id, b := range m.buckets {
		b.refill(now)
		b.tokens = min(b.tokens, m.rates[id].start())
	}
}

// withdraw takes back what a host waits for.
func (m *Scheduler) withdraw(host ids.HostID) {
	for k, w := range m.waits {
		if k.Host == host {
			m.drop(w)
			m.giveBack(w.ask)
		}
	}
}

func (m *Scheduler) lost(now time.Time, e HostDisconnected) {
	m.withdraw(e.Host)
	m.heldByDisconnected[e.Host] = now.Add(disconnectedHold)
	m.absence.part(now, e)
	m.share(now)
}

// clear frees all that a host held.
func (m *Scheduler) clear(host ids.HostID) {
	for k, r := range m.runs {
		if k.Host == host {
			m.release(r)
		}
	}
}

func (m *Scheduler) tick(now time.Time) {
	for host, until := range m.heldByDisconnected {
		if !now.Before(until) {
			delete(m.heldByDisconnected, host)
			m.clear(host)
		}
	}
	m.suspects.forget(now)
	m.pump(now)
}

// pump gives free slots to what waits, in every pool.
func (m *Scheduler) pump(now time.Time) {
	for _, p := range m.pools {
		m.serve(now, p)
	}
}
