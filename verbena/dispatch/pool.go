package dispatch

import (
	"cmp"
	"math"
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/memory"
)

const (
	// defaultHoldTime is how long a request is expected to hold a slot until one has been observed.
	defaultHoldTime = 500 * time.Millisecond
	// defaultFirstByteTime is the expected time from a send to the first byte until one has been observed.
	defaultFirstByteTime = 60 * time.Millisecond
	// poolAverageWeight is the weight of one answer in a pool's moving averages.
	poolAverageWeight = 0.05
	// crossZoneCost is added for a server in another availability zone; it keeps traffic in the zone when all else is equal.
	crossZoneCost = 0.01
	// coldCost ranks servers that have just started behind warm ones.
	coldCost = 1.0
	// reserveFactor times the square root of the number of running callers' requests is the number of slots that batch
	// leaves free.
	reserveFactor = 0.5
	// maxEjectedShare is the share of a service's servers that may be ejected at once. When more fail, the cause is more
	// likely the network or the requests, and that must not leave a service without servers.
	maxEjectedShare = 0.5
	// slowCost ranks servers that are much slower than the fastest behind all others.
	slowCost = 10.0
)

// pool is a service's servers and the requests that wait for them.
type pool struct {
	service     ids.ServiceName
	servers     []*server
	onlineQueue queue
	batchQueue  queue
	batchRuns   map[Key]*run
	// onlineRuns counts the slots held by callers' requests.
	onlineRuns       int
	holdSeconds      float64
	firstByteSeconds float64
	// eventSeconds is the moving average of the time per stream event; 0 until one has been observed.
	eventSeconds float64
	plan         plan
	returning    returnTimes
	// trials holds the runs on trial whose answers have not begun. crashRevision and suspectRevision are those of the crash reports
	// and of the suspects for which waiting requests were last checked.
	trials          map[Key]*run
	crashRevision   uint64
	suspectRevision uint64
	disabled        disabledMechanisms
	callerShares    shares
	batchShares     shares
	// memoryTokens is the memory of a server, 0 if it isn't known. meanTokens is the moving average of what a request holds.
	memoryTokens memory.Tokens
	meanTokens   float64
	// held is what the running requests would hold if one server ran them all.
	held     memory.Held
	reserved roomReservation
	// callersLackRoom is set while callers' requests wait for memory. Items then leave the memory to them that others yield.
	callersLackRoom bool
	// limitedGrants counts the slots granted on servers with a limit, heldBack the requests that waited or were refused
	// while a limit left slots free.
	limitedGrants, heldBack int
	// fastestEventSeconds is the time per stream event of the fastest servers, as of fastestAt. speeds is used to find it.
	fastestEventSeconds float64
	fastestAt           time.Time
	speeds              []float64
	// meanReceived is how many requests a server received recently, on average, as of fastestAt.
	meanReceived float64
	// meanRoom is the memory that a server has left, on average, as of fastestAt.
	meanRoom memory.Tokens
	// noise is the usual deviation of an answer's time per stream event from its server's average, as a share.
	noise   float64
	prompts prompts
}

func (p *pool) recordAnswer(req SlotRequest, held time.Duration, o Outcome) {
	if o.StreamEvents > 1 && o.Elapsed > 0 {
		p.eventSeconds = poolAverage(p.eventSeconds, o.Elapsed.Seconds()/float64(o.StreamEvents))
	}
	if req.Class != Online {
		return
	}
	p.holdSeconds = poolAverage(p.holdSeconds, held.Seconds())
	if o.TimeToFirstByte > 0 {
		p.firstByteSeconds = poolAverage(p.firstByteSeconds, o.TimeToFirstByte.Seconds())
	}
}

func poolAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + poolAverageWeight*(sample-old)
}

func (p *pool) holdTime() time.Duration {
	if p.holdSeconds == 0 {
		return defaultHoldTime
	}
	return time.Duration(p.holdSeconds * float64(time.Second))
}

// slotTime is how long a request is expected to hold a slot.
func (p *pool) slotTime(req SlotRequest) time.Duration {
	if expected := p.expectedRunTime(req); req.Class == Batch && expected > 0 {
		return expected
	}
	return p.holdTime()
}

func (p *pool) firstByteTime() time.Duration {
	if p.firstByteSeconds == 0 {
		return defaultFirstByteTime
	}
	return time.Duration(p.firstByteSeconds * float64(time.Second))
}

func (p *pool) inputs(sel selection) Inputs {
	return Inputs{Free: sel.free, Slots: sel.slots, Queue: len(p.onlineQueue), Batch: len(p.batchRuns), Limited: sel.limited, HeldBack: sel.heldBack}
}

// batchReserve is how many slots batch leaves free: the number of callers' requests varies by about its square root, and
// an item that must yield right after its start has run for nothing.
func (p *pool) batchReserve() int {
	if p.disabled[BatchReserve] {
		return 0
	}
	return int(reserveFactor * math.Sqrt(float64(p.onlineRuns)))
}

// presentServers counts the servers that are neither delisted nor draining nor evacuated, ejected ones included.
func (p *pool) presentServers() (n int) {
	for _, s := range p.servers {
		if s.present() {
			n++
		}
	}
	return n
}

// limitEjections revokes a server's ejection if too many others are ejected already. The server then gets one request at
// a time, like any server whose last send failed.
func (p *pool) limitEjections(now time.Time, s *server) {
	if now.Before(s.ejectedUntil) && !p.mayEject(now, s) {
		s.ejectedUntil = time.Time{}
	}
}

// mayEject reports whether a server may be ejected in addition to those that are.
func (p *pool) mayEject(now time.Time, s *server) bool {
	ejected := 1
	for _, o := range p.servers {
		if o != s && o.present() && o.ejectedOrStalled(now) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(p.presentServers())
}

// selection is what a pass over the servers finds for a slot request. There is only one pass, since with thousands of
// servers each further one would cost as much as the rest of the decision.
type selection struct {
	best *server
	// lastResort is used when there is neither a best server nor a batch item that can yield its slot.
	lastResort *server
	free       int
	slots      int
	// effective counts the slots that such requests can use within the servers' limits.
	effective float64
	// limited counts the servers with a limit, heldBack their free slots that the limits leave unused.
	limited, heldBack int
	// lacksRoom is set if a server with a free slot lacks the memory for the request.
	lacksRoom bool
	// unsuitable is set if some servers are unsuitable for the host.
	unsuitable bool
}

// selectServer chooses the server of lowest cost with a free slot. Servers that are unsuitable for the host are left out
// unless they are more than maxEjectedShare of the usable servers: then the cause is more likely the host or its network.
func (p *pool) selectServer(now time.Time, host ids.HostID, req SlotRequest) (sel selection) {
	p.refreshFastest(now)
	hold := p.slotTime(req)
	reuse := p.reuseFor(now, req, hold)
	var usable, unsuitableServers int
	var best [reservedForItem + 1]candidate
	key := Key{Host: host, Ticket: req.Ticket}
	for _, s := range p.servers {
		if !s.usable(now) {
			continue
		}
		free, exceeds := s.freeSlotsFor(now, req.Class)
		sel.free += free
		sel.slots += s.Slots
		sel.effective += p.slotsInMemory(s.effectiveSlots(now, hold, req.Class))
		if s.isLimited() {
			sel.limited++
			sel.heldBack += max(0, s.unlimitedSlots(now)) - free
		}
		usable++
		suits := s.failures.suitabilityFor(now, host)
		if suits == unsuitable {
			unsuitableServers++
		}
		if exceeds || s.limit.IsProbed() && req.Class == Online {
			suits = max(suits, lastResort)
		}
		if free == 0 || !req.mayRunOn(now, s) {
			continue
		}
		if !p.offersRoom(s, key, &req) {
			sel.lacksRoom = true
			continue
		}
		best[s.suitabilityIfReserved(key, suits)].keepCheaper(candidate{s, p.cost(now, s, req.Zone) + reuse.cost(now, s)})
	}
	sel.unsuitable = unsuitableServers > 0
	sel.best, sel.lastResort = cmp.Or(best[suitable].server, best[reservedForItem].server), best[lastResort].server
	if sel.lastResort == nil && float64(unsuitableServers) > maxEjectedShare*float64(usable) {
		sel.lastResort = best[unsuitable].server
	}
	return sel
}

type candidate struct {
	server *server
	cost   float64
}

func (c *candidate) keepCheaper(o candidate) {
	if c.server == nil || o.cost < c.cost {
		*c = o
	}
}

func (p *pool) cost(now time.Time, s *server, zone ids.ZoneID) float64 {
	c := p.speedCost(s.speed, s.paceFactor(now))
	if p.isMuchSlower(s.speed) && !s.disabled[SlowLast] {
		c += slowCost
	}
	c += p.receivedCost(now, s)
	c += loadCost * float64(s.usedSlots-s.yieldingSlots)
	c += failureCost * s.failures.rate(now)
	if s.Zone != zone && !s.disabled[ZoneFirst] {
		c += crossZoneCost
	}
	if s.onProbation(now) {
		c += stallCost
	}
	if now.Before(s.coldUntil) {
		c += coldCost
	}
	return c
}

// hasOther reports whether there is a server that the request doesn't exclude.
func (p *pool) hasOther(now time.Time, req SlotRequest) bool {
	for _, s := range p.servers {
		if s.present() && req.mayRunOn(now, s) {
			return true
		}
	}
	return false
}

func excluded(list []ids.BackendID, id ids.BackendID) bool {
	for _, e := range list {
		if e == id {
			return true
		}
	}
	return false
}

// itemToYield chooses a batch item whose slot the request can use: a deferred one or else the one with the most time left.
// Items on servers that aren't failing come first; with healthyOnly no others are chosen.
func (p *pool) itemToYield(now time.Time, host ids.HostID, req SlotRequest, healthyOnly bool) (item *run) {
	if p.disabled[BatchYields] {
		return nil
	}
	itemRank := 0
	for _, r := range p.batchRuns {
		if r.yielding || !r.server.accepts(now, host, req) || !p.hasRoom(r.server, &req.Footprint) {
			continue
		}
		failing := r.server.failing(now)
		if failing && healthyOnly {
			continue
		}
		rank := r.server.yieldRank(failing)
		if item == nil || rank < itemRank || rank == itemRank && r.yieldsBefore(item) {
			item, itemRank = r, rank
		}
	}
	return item
}

// yieldRank orders the servers on which batch items yield: an item that yields where requests are limited costs one of them
// more when it begins again.
func (s *server) yieldRank(failing bool) (rank int) {
	if failing {
		rank += 2
	}
	if s.isLimited() {
		rank++
	}
	return rank
}

// accepts reports whether a request may be sent to the server once a batch item yields its slot.
func (s *server) accepts(now time.Time, host ids.HostID, req SlotRequest) bool {
	return s.usable(now) && s.trial == nil && !s.keptFromClass(Key{Host: host, Ticket: req.Ticket}, req.Class) && s.limit.Ready(now) &&
		s.cold.Ready(now) && req.mayRunOn(now, s) && !now.Before(s.pausedUntil) && s.failures.suitabilityFor(now, host) == suitable
}

// yieldsBefore orders batch items: deferred ones first, then those of workspaces beyond their share, then those with the most
// time left.
func (r *run) yieldsBefore(o *run) bool {
	if r.deferred != o.deferred {
		return r.deferred
	}
	if r.yieldsForShare(o) || o.yieldsForShare(r) {
		return r.yieldsForShare(o)
	}
	return r.due.After(o.due) || r.due.Equal(o.due) && keyLess(r.key, o.key)
}

func keyLess(a, b Key) bool {
	if a.Host != b.Host {
		return a.Host < b.Host
	}
	return a.Ticket < b.Ticket
}
