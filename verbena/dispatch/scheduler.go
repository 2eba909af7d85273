package dispatch

import (
	"time"

	"verbenaledge.example/verbena/crash"
	"verbenaledge.example/verbena/fairness"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
	"verbenaledge.example/verbena/origin"
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
	// standing is that of an item's workspace while room is short.
	standing fairness.Standing
	// trial is set for a run on trial, also once its answer has begun. trialParts are its suspect prompt parts; there are none if the
	// request as a whole is suspect.
	trial      bool
	trialParts []ids.PromptPartID
	// takenOver is set if another scheduler granted the slot.
	takenOver bool
	prompt    promptRun
}

// Scheduler is the state machine that makes all decisions. It must be used by one goroutine only.
type Scheduler struct {
	pools   map[ids.ServiceName]*pool
	servers map[ids.BackendID]*server
	runs    map[Key]*run
	waiting map[Key]*waiter
	rates   map[ids.WorkspaceID]Rate
	traits  map[ids.ServiceName]ServiceTraits
	buckets map[ids.WorkspaceID]*bucket
	// heldByDisconnected holds the time until which the slots of a disconnected host count as used.
	heldByDisconnected map[ids.HostID]time.Time
	reservations       reservations
	admissions         AdmissionCounts
	commands           []Command
	// slotShare is this scheduler's share of each server's slots.
	slotShare float64
	suspects  suspects
	// crashes holds the crashes that may be due to prompt parts. publishedRevision is the revision that was sent to other
	// hosts at publishedAt, with the checksum publishedSum.
	crashes           crash.Reports
	publishedRevision uint64
	publishedAt       time.Time
	publishedSum      uint64
	// origins and versions tell at which software version a resumed stream began. hostConnectedAt is when a host last
	// connected and reported the streams that it knows.
	origins         *origin.Records
	versions        *origin.Versions
	hostConnectedAt time.Time
	list            listView
	// publishedVersions is the number of changes of the versions at the last VersionsChanged.
	publishedVersions uint64
	// departedLimits are those of servers that aren't listed. hosts is this host's place among those that decide locally.
	departedLimits    map[ids.BackendID]departedLimit
	unpublishedLimits unpublishedLimits
	hosts             limit.Hosts
	// independent is set if other hosts place requests on the same servers, each deciding for itself.
	independent bool
	// salt determines the order of servers that are equal otherwise.
	salt     string
	disabled disabledMechanisms
}

// New returns a scheduler that knows no servers. Among servers that are equal otherwise, schedulers with different
// salts prefer different ones; with an empty salt the lowest id is preferred.
func New(salt string, options ...Option) *Scheduler {
	sc := &Scheduler{
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
		list:               listView{outdated: true},
		origins:            origin.NewRecords(),
		versions:           origin.NewVersions(),
		departedLimits:     make(map[ids.BackendID]departedLimit),
		unpublishedLimits:  newUnpublishedLimits(),
	}
	for _, o := range options {
		o(sc)
	}
	return sc
}

// Step applies one event at the given time and returns the commands that follow from it.
func (sc *Scheduler) Step(now time.Time, e Event) (cmds []Command) {
	sc.commands = nil
	switch e := e.(type) {
	case ServersChanged:
		sc.setServers(now, e)
	case RatesChanged:
		sc.setRates(now, e)
	case ServicesChanged:
		sc.setTraits(now, e.Services)
	case IndependentHosts:
		sc.setSlotShare(1 / float64(max(1, e.Count)))
		sc.independent = e.Count > 1
		sc.hosts = limit.Hosts{Count: e.EntryHosts, Rank: e.Rank}
		if sc.hosts.Count == 0 {
			sc.hosts = limit.Hosts{Count: e.Count}
		}
		sc.applyLimitShares(now)
	case StandbyChanged:
		sc.reservations.setStandby(now, e)
		if !e.On {
			sc.setSlotShare(1)
		}
		sc.applyReservations(now)
		sc.servePools(now)
	case SlotRequested:
		sc.handleRequest(now, e)
	case SendEnded:
		sc.endSend(now, Key{Host: e.Host, Ticket: e.Outcome.Ticket}, e.Outcome)
	case ServerStalled:
		sc.recordStall(now, e)
	case AnswerBegan:
		sc.recordAnswerBegan(now, e.Key)
	case CrashReportsReceived:
		sc.receiveReports(now, e)
		sc.servePools(now)
	case Tick:
		sc.tick(now)
	default:
		if !sc.stepHosts(now, e) && !sc.stepLimits(now, e) {
			sc.stepOrigins(now, e)
		}
	}
	sc.publishLimits(now)
	sc.publishReports(now)
	sc.publishVersions(now)
	return sc.commands
}

// NeedsTick reports whether the passage of time alone may change a decision.
func (sc *Scheduler) NeedsTick() bool {
	return len(sc.waiting) > 0 || len(sc.heldByDisconnected) > 0 || sc.reportsUnpublished() || len(sc.unpublishedLimits.order) > 0
}

func (sc *Scheduler) pool(name ids.ServiceName) *pool {
	p, ok := sc.pools[name]
	if !ok {
		p = &pool{service: name, disabled: sc.disabled}
		p.memoryTokens = sc.memoryTokens(p)
		sc.pools[name] = p
	}
	return p
}

func (sc *Scheduler) setRates(now time.Time, e RatesChanged) {
	if e.ResetTokens {
		sc.pauseLimits(now)
		sc.emptyColdBudgets(now)
	}
	sc.rates = make(map[ids.WorkspaceID]Rate, len(e.Rates))
	for id, r := range e.Rates {
		sc.rates[id] = r
		available := sc.availableRate(id, r)
		b, ok := sc.buckets[id]
		if !ok {
			sc.buckets[id] = newBucket(now, available)
			continue
		}
		b.set(now, available)
		if e.ResetTokens {
			b.tokens = min(b.tokens, r.initialTokens())
		}
	}
	for id := range sc.buckets {
		if _, ok := sc.rates[id]; !ok {
			delete(sc.buckets, id)
		}
	}
}

// setSlotShare limits this scheduler to a share of each server's slots; the rest is for other schedulers.
func (sc *Scheduler) setSlotShare(share float64) {
	sc.slotShare = share
	for _, s := range sc.servers {
		s.slotShare = share
	}
}

// applyReservations leaves disconnected hosts their part of the rates, and, on a standby, their part of the slots.
func (sc *Scheduler) applyReservations(now time.Time) {
	if share, ok := sc.reservations.slotShare(); ok {
		sc.setSlotShare(share)
	}
	for id, b := range sc.buckets {
		b.set(now, sc.availableRate(id, sc.rates[id]))
	}
	sc.applyLimitShares(now)
}

// availableRate returns what is left of a rate after the part reserved for disconnected hosts.
func (sc *Scheduler) availableRate(id ids.WorkspaceID, r Rate) Rate {
	if sc.disabled[ReservedRates] {
		return r
	}
	return sc.reservations.available(id, r)
}

// endSend frees the slot of a run, or withdraws a waiting request.
func (sc *Scheduler) endSend(now time.Time, k Key, o Outcome) {
	if w, ok := sc.waiting[k]; ok {
		sc.removeWaiting(w)
		sc.refundToken(w.request)
		return
	}
	r, ok := sc.runs[k]
	if !ok {
		return
	}
	p := sc.pool(r.request.Service)
	if o.Result == Full || o.NotSent {
		sc.refundToken(r.request)
	}
	p.observePrompt(now, r, o)
	sc.releaseSlot(now, r)
	r.server.recordPace(now, r.key.Host, o)
	switch o.Result.subject().(type) {
	case ofServer:
		p.recordOfServer(now, r, o)
	case ofServerAndRequest:
		p.recordOfServer(now, r, o)
		sc.recordOfRequest(now, r, o)
	case ofRequest, ofPath, ofNobody:
	}
	p.limitEjections(now, r.server)
	sc.recordCrash(now, r, o) // the beginning of an answer clears prompt parts, however it ends
	sc.recordSurvival(now, r, o)
	if o.Result == Served {
		p.recordAnswer(r.request, now.Sub(r.start), o)
	}
	sc.servePools(now)
}

func (sc *Scheduler) refundToken(req SlotRequest) {
	if b, ok := sc.buckets[req.Workspace]; ok && (req.Metered || req.Retry) {
		b.refund()
	}
}

func (sc *Scheduler) releaseSlot(now time.Time, r *run) {
	delete(sc.runs, r.key)
	sc.endTrial(r)
	r.server.usedSlots--
	r.prompt.end()
	if r.yielding {
		r.server.yieldingSlots--
	}
	p := sc.pool(r.request.Service)
	p.giveBackMemory(r)
	p.sharesOf(r.request.Class).account.End(now, r.request.Workspace)
	if r.request.Class == Batch {
		delete(p.batchRuns, r.key)
	} else {
		p.onlineRuns--
	}
	if r.server.delisted && r.server.usedSlots == 0 {
		sc.removeServer(now, r.server)
	}
}

func (sc *Scheduler) releaseSlotsOf(now time.Time, host ids.HostID) {
	for k, r := range sc.runs {
		if k.Host == host {
			sc.releaseSlot(now, r)
		}
	}
}

func (sc *Scheduler) tick(now time.Time) {
	for host, until := range sc.heldByDisconnected {
		if !now.Before(until) {
			delete(sc.heldByDisconnected, host)
			sc.releaseSlotsOf(now, host)
		}
	}
	sc.servePools(now)
}

// servePools gives free slots to waiting requests in every pool.
func (sc *Scheduler) servePools(now time.Time) {
	for _, p := range sc.pools {
		sc.servePool(now, p)
	}
}
