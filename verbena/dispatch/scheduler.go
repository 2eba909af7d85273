package dispatch

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaledge.example/verbena/ids"
)

// disconnectedHoldTime is how long the slots of a disconnected host count as used: the host continues its
// requests and reports them when it connects again.
const disconnectedHoldTime = 3 * time.Second

// run is a request or batch item that holds a slot.
type run struct {
	key     Key
	request SlotRequest
	server  *server
	start   time.Time
	due     time.Time
	// deadline is when the caller's time ends, or the batch item is given up.
	deadline time.Time
	yielding bool
	// deferred is set while the batch plan defers the item.
	deferred bool
}

// Scheduler is the state machine that makes all decisions. It must be used by one goroutine only.
type Scheduler struct {
	pools              map[ids.ServiceName]*pool
	servers            map[ids.BackendID]*server
	runs               map[Key]*run
	waiting            map[Key]*waiter
	rates              map[ids.WorkspaceID]Rate
	buckets            map[ids.WorkspaceID]*bucket
	heldByDisconnected map[ids.HostID]time.Time
	reservations       reservations
	admissions         AdmissionCounts
	commands           []Command
	// slotShare is this scheduler's share of each server's slots.
	slotShare float64
	suspects  suspects
	// salt determines the order of servers that are equal otherwise.
	salt     string
	disabled disabledMechanisms
}

// New returns a scheduler that knows no servers. Among servers that are equal otherwise, schedulers with different
// salts prefer different ones; with an empty salt the lowest id is preferred.
func New(salt string, options ...Option) *Scheduler {
	sch := &Scheduler{
		disabled:           make(disabledMechanisms),
		salt:               salt,
		pools:              make(map[ids.ServiceName]*pool),
		servers:            make(map[ids.BackendID]*server),
		runs:               make(map[Key]*run),
		waiting:            make(map[Key]*waiter),
		buckets:            make(map[ids.WorkspaceID]*bucket),
		heldByDisconnected: make(map[ids.HostID]time.Time),
		reservations:       newReservations(),
		slotShare:          1,
		suspects:           make(suspects),
	}
	for _, o := range options {
		o(sch)
	}
	return sch
}

// Step applies one event at the given time and returns the commands that follow from it.
func (sch *Scheduler) Step(now time.Time, e Event) (cmds []Command) {
	sch.commands = nil
	switch e := e.(type) {
	case ServersChanged:
		sch.setServers(now, e)
	case RatesChanged:
		sch.setRates(now, e)
	case IndependentHosts:
		sch.setSlotShare(1 / float64(max(1, e.Count)))
	case StandbyChanged:
		sch.reservations.setStandby(now, e)
		if !e.On {
			sch.setSlotShare(1)
		}
		sch.applyReservations(now)
		sch.servePools(now)
	case SlotRequested:
		sch.handleRequest(now, e)
	case SendEnded:
		sch.endSend(now, Key{Host: e.Host, Ticket: e.Outcome.Ticket}, e.Outcome)
	case ServerStalled:
		sch.recordStall(now, e)
	case HostConnected:
		sch.connectHost(now, e)
	case HostDisconnected:
		sch.disconnectHost(now, e)
	case HostLeaving:
		sch.reservations.setLeaving(e.Host)
	case LeaseUncertain:
		sch.reservations.setLeaseUncertain(now, e.Uncertain)
		sch.applyReservations(now)
	case Tick:
		sch.tick(now)
	}
	return sch.commands
}

// NeedsTick reports whether the passage of time alone may change a decision.
func (sch *Scheduler) NeedsTick() bool {
	return len(sch.waiting) > 0 || len(sch.heldByDisconnected) > 0
}

func (sch *Scheduler) setServers(now time.Time, e ServersChanged) {
	for id, s := range sch.servers {
		if _, ok := e.Servers[id]; !ok {
			s.gone = true
			if s.usedSlots == 0 {
				sch.removeServer(s)
			}
		}
	}
	added := false
	for id, listed := range e.Servers {
		s, ok := sch.servers[id]
		if ok && s.Service != listed.Service {
			sch.removeFromPool(s)
		}
		if !ok {
			s = &server{disabled: sch.disabled, coldUntil: now.Add(listed.WarmupRemaining), slotShare: sch.slotShare, tieBreak: sch.tieBreakOf(id)}
			sch.servers[id] = s
		}
		if s.Incarnation != listed.Incarnation {
			s.reset(now, listed.WarmupRemaining)
		}
		isNew := !ok || s.Service != listed.Service
		s.Server, s.gone = listed, false
		if isNew {
			p := sch.pool(listed.Service)
			p.servers = append(p.servers, s)
			added = true
		}
	}
	for _, p := range sch.pools {
		if !added {
			break
		}
		sort.Slice(p.servers, func(i, j int) bool { return p.servers[i].before(p.servers[j]) })
	}
	sch.servePools(now)
}

// tieBreakOf returns a server's place among equal servers. It differs by salt, so that hosts that decide locally don't
// all choose the same server first.
func (sch *Scheduler) tieBreakOf(id ids.BackendID) uint64 {
	if sch.salt == "" {
		return 0
	}
	return xxhash.Sum64String(sch.salt + string(id))
}

func (sch *Scheduler) removeServer(s *server) {
	delete(sch.servers, s.ID)
	sch.removeFromPool(s)
}

func (sch *Scheduler) removeFromPool(s *server) {
	p := sch.pool(s.Service)
	for i, o := range p.servers {
		if o == s {
			p.servers = append(p.servers[:i], p.servers[i+1:]...)
			return
		}
	}
}

func (sch *Scheduler) pool(name ids.ServiceName) *pool {
	p, ok := sch.pools[name]
	if !ok {
		p = &pool{disabled: sch.disabled}
		sch.pools[name] = p
	}
	return p
}

func (sch *Scheduler) setRates(now time.Time, e RatesChanged) {
	sch.rates = make(map[ids.WorkspaceID]Rate, len(e.Rates))
	for id, r := range e.Rates {
		sch.rates[id] = r
		available := sch.availableRate(id, r)
		b, ok := sch.buckets[id]
		if !ok {
			sch.buckets[id] = newBucket(now, available)
			continue
		}
		b.set(now, available)
		if e.ResetTokens {
			b.tokens = min(b.tokens, r.initialTokens())
		}
	}
	for id := range sch.buckets {
		if _, ok := sch.rates[id]; !ok {
			delete(sch.buckets, id)
		}
	}
}

// setSlotShare limits this scheduler to a share of each server's slots; the rest is for other schedulers.
func (sch *Scheduler) setSlotShare(share float64) {
	sch.slotShare = share
	for _, s := range sch.servers {
		s.slotShare = share
	}
}

// applyReservations leaves disconnected hosts their part of the rates, and, on a standby, their part of the slots.
func (sch *Scheduler) applyReservations(now time.Time) {
	if share, ok := sch.reservations.slotShare(); ok {
		sch.setSlotShare(share)
	}
	for id, b := range sch.buckets {
		b.set(now, sch.availableRate(id, sch.rates[id]))
	}
}

// availableRate returns what is left of a rate after the part reserved for disconnected hosts.
func (sch *Scheduler) availableRate(id ids.WorkspaceID, r Rate) Rate {
	if sch.disabled[ReservedRates] {
		return r
	}
	return sch.reservations.available(id, r)
}

// endSend frees the slot of a run, or withdraws a waiting request.
func (sch *Scheduler) endSend(now time.Time, k Key, o Outcome) {
	if w, ok := sch.waiting[k]; ok {
		sch.removeWaiting(w)
		sch.refundToken(w.request)
		return
	}
	r, ok := sch.runs[k]
	if !ok {
		return
	}
	p := sch.pool(r.request.Service)
	if o.Result == Full {
		sch.refundToken(r.request)
	}
	sch.releaseSlot(r)
	r.server.recordOutcome(now, r.key.Host, o)
	p.limitEjections(now, r.server)
	sch.suspects.record(now, r.request.Fingerprint, o.Result)
	if o.Result == Served {
		p.recordAnswer(r.request, now.Sub(r.start), o)
	}
	sch.servePools(now)
}

func (sch *Scheduler) refundToken(req SlotRequest) {
	if b, ok := sch.buckets[req.Workspace]; ok && (req.Metered || req.Retry) {
		b.refund()
	}
}

func (sch *Scheduler) releaseSlot(r *run) {
	delete(sch.runs, r.key)
	r.server.usedSlots--
	if r.yielding {
		r.server.yieldingSlots--
	}
	p := sch.pool(r.request.Service)
	if r.request.Class == Batch {
		delete(p.batchRuns, r.key)
	} else {
		p.onlineRuns--
	}
	if r.server.gone && r.server.usedSlots == 0 {
		sch.removeServer(r.server)
	}
}

func (sch *Scheduler) connectHost(now time.Time, e HostConnected) {
	delete(sch.heldByDisconnected, e.Host)
	sch.releaseSlotsOf(e.Host)
	sch.dropWaitingOf(e.Host)
	for _, h := range e.Held {
		s, ok := sch.servers[h.Server]
		if !ok {
			continue
		}
		sch.startRun(now, &waiter{
			key: Key{Host: e.Host, Ticket: h.Request.Ticket}, request: h.Request, due: now.Add(h.Request.Objective), deadline: now.Add(h.Request.Remaining),
		}, s)
		sch.runs[Key{Host: e.Host, Ticket: h.Request.Ticket}].start = now.Add(-h.HeldFor)
	}
	if sch.reservations.connect(now, e) {
		sch.resetBuckets(now)
	}
	for w, n := range e.AdmittedElsewhere {
		if b, ok := sch.buckets[w]; ok {
			sch.admissions.Add(now, admittedElsewhere, w, n)
			b.limitTokens(now, sch.rates[w], sch.admissions.Total(now, w))
		}
	}
	sch.applyReservations(now)
	sch.servePools(now)
}

// resetBuckets limits every bucket to its initial tokens: those that accrued while another scheduler counted the requests
// may be spent already.
func (sch *Scheduler) resetBuckets(now time.Time) {
	for id, b := range sch.buckets {
		b.refill(now)
		b.tokens = min(b.tokens, sch.rates[id].initialTokens())
	}
}

// dropWaitingOf withdraws the waiting requests of a host.
func (sch *Scheduler) dropWaitingOf(host ids.HostID) {
	for k, w := range sch.waiting {
		if k.Host == host {
			sch.removeWaiting(w)
			sch.refundToken(w.request)
		}
	}
}

func (sch *Scheduler) disconnectHost(now time.Time, e HostDisconnected) {
	sch.dropWaitingOf(e.Host)
	sch.heldByDisconnected[e.Host] = now.Add(disconnectedHoldTime)
	sch.reservations.disconnect(now, e)
	sch.applyReservations(now)
}

// releaseSlotsOf frees all slots that a host holds.
func (sch *Scheduler) releaseSlotsOf(host ids.HostID) {
	for k, r := range sch.runs {
		if k.Host == host {
			sch.releaseSlot(r)
		}
	}
}

func (sch *Scheduler) tick(now time.Time) {
	for host, until := range sch.heldByDisconnected {
		if !now.Before(until) {
			delete(sch.heldByDisconnected, host)
			sch.releaseSlotsOf(host)
		}
	}
	sch.suspects.removeExpired(now)
	sch.servePools(now)
}

// servePools gives free slots to waiting requests in every pool.
func (sch *Scheduler) servePools(now time.Time) {
	for _, p := range sch.pools {
		sch.servePool(now, p)
	}
}
