package dispatch

import (
	"math"
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// usualHold is the time that a request holds a slot before any was seen to end.
	usualHold = 500 * time.Millisecond
	// usualFirst is the time from a send to the first byte before any was seen.
	usualFirst = 60 * time.Millisecond
	// holdWeight is the weight of one answer in the moving averages of a pool.
	holdWeight = 0.05
	// crowdCost is how much slower each running request makes its server, as a share.
	crowdCost = 0.02
	// crossZoneCost weighs a server of another availability zone; it keeps bytes in the zone when all else is equal.
	crossZoneCost = 0.01
	// coldCost puts servers that started a moment ago behind warm ones.
	coldCost = 1.0
	// reserveShare is how many roots of the number of callers' requests stay free of batch.
	reserveShare = 0.5
	// mostEjected is the share of a service's servers that may be left alone at once. When more fail, the
	// cause is more likely on the way to them or in what is asked, and a service must not be emptied by it.
	mostEjected = 0.5
	// slowCost puts servers that are much slower than the fastest behind all others.
	slowCost = 10.0
)

// pool is a service's servers and what waits for them.
type pool struct {
	servers []*server
	online  queue
	waiting queue
	batch   map[Key]*run
	// running counts the slots of callers' requests.
	running int
	hold    float64
	first   float64
	// event is the moving average of the time for an event of a stream, in seconds; 0 before any was seen.
	event float64
	plan  plan
	away  returns
	off   switches
	// fastest is the least time for an event among the servers, as of fastestAt.
	fastest   float64
	fastestAt time.Time
}

func (p *pool) learn(a SlotRequest, held time.Duration, o Outcome) {
	if o.StreamEvents > 1 && o.Elapsed > 0 {
		p.event = weigh(p.event, o.Elapsed.Seconds()/float64(o.StreamEvents))
	}
	if a.Class != Online {
		return
	}
	p.hold = weigh(p.hold, held.Seconds())
	if o.TimeToFirstByte > 0 {
		p.first = weigh(p.first, o.TimeToFirstByte.Seconds())
	}
}

func weigh(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + holdWeight*(sample-old)
}

func (p *pool) holdTime() time.Duration {
	if p.hold == 0 {
		return usualHold
	}
	return time.Duration(p.hold * float64(time.Second))
}

func (p *pool) firstTime() time.Duration {
	if p.first == 0 {
		return usualFirst
	}
	return time.Duration(p.first * float64(time.Second))
}

// slots counts the slots of all servers that can take requests now.
func (p *pool) slots(now time.Time) (n int) {
	for _, s := range p.servers {
		if s.usable(now) {
			n += s.Slots
		}
	}
	return n
}

// inputs is what a decision goes by.
func (p *pool) inputs(v survey) Inputs {
	return Inputs{Free: v.free, Slots: v.slots, Queue: len(p.online), Batch: len(p.batch)}
}

// reserve is how many slots stay free of batch: callers' requests vary by about the root of their
// number, and an item that must leave at once has run for nothing.
func (p *pool) reserve() int {
	if p.off[BatchReserve] {
		return 0
	}
	return int(reserveShare * math.Sqrt(float64(p.running)))
}

// alive counts the servers that are there at all, ejected ones too.
func (p *pool) alive() (n int) {
	for _, s := range p.servers {
		if !s.gone && !s.Draining {
			n++
		}
	}
	return n
}

// boundEjection takes back a server's ejection if too many others are left alone already. It goes on
// with one request at a time, as each server that failed.
func (p *pool) boundEjection(now time.Time, s *server) {
	if now.Before(s.ejectedUntil) && !p.mayEject(now, s) {
		s.ejectedUntil = time.Time{}
	}
}

// mayEject tells whether a server may be ejected beside those that are.
func (p *pool) mayEject(now time.Time, s *server) bool {
	ejected := 1
	for _, o := range p.servers {
		if o != s && !o.gone && !o.Draining && o.ejectedOrStalled(now) {
			ejected++
		}
	}
	return float64(ejected) <= mostEjected*float64(p.alive())
}

// survey is what one pass over the servers finds for an ask: with thousands of servers each further
// pass would cost as much as all else.
type survey struct {
	best *server
	// last is one to use when nothing else is left, the batch items' slots neither.
	last  *server
	free  int
	slots int
}

// pick chooses the cheapest server with a free slot. Servers that are ill for the host are left out while
// they are fewer than half: what fails everywhere comes from the host or its way to them.
func (p *pool) pick(now time.Time, host ids.HostID, a SlotRequest) (v survey) {
	p.refreshFastest(now)
	var usable, unfit int
	var best [fitsNot + 1]candidate
	for _, s := range p.servers {
		if !s.usable(now) {
			continue
		}
		free := max(0, s.free(now))
		v.free += free
		v.slots += s.Slots
		usable++
		fits := s.illness.fits(now, host)
		if fits == fitsNot {
			unfit++
		}
		if free == 0 || excluded(a.Exclude, s.ID) {
			continue
		}
		best[fits].better(candidate{s, s.cost(now, a.Zone, p.fastest)})
	}
	v.best, v.last = best[fitsWell].server, best[fitsLast].server
	if v.last == nil && float64(unfit) > mostEjected*float64(usable) {
		v.last = best[fitsNot].server
	}
	return v
}

// candidate is a server with its cost.
type candidate struct {
	server *server
	cost   float64
}

func (c *candidate) better(o candidate) {
	if c.server == nil || o.cost < c.cost {
		*c = o
	}
}

// fastestFor is how long the fastest server is taken to be the same.
const fastestFor = 100 * time.Millisecond

func (p *pool) refreshFastest(now time.Time) {
	if now.Sub(p.fastestAt) >= fastestFor || p.fastest == 0 {
		p.fastest, p.fastestAt = p.findFastest(now), now
	}
}

func (p *pool) findFastest(now time.Time) (unit float64) {
	for _, s := range p.servers {
		if s.usable(now) && s.unit > 0 && (unit == 0 || s.unit < unit) {
			unit = s.unit
		}
	}
	return unit
}

func (s *server) cost(now time.Time, zone ids.ZoneID, fastest float64) float64 {
	c := 1.0
	if s.unit > 0 && fastest > 0 {
		c = s.unit / fastest
		if c > slowAt && !s.off[SlowLast] {
			c += slowCost
		}
	}
	c += crowdCost * float64(s.used-s.yielding)
	c += illnessCost * s.illness.rate(now)
	if s.Zone != zone && !s.off[ZoneFirst] {
		c += crossZoneCost
	}
	if s.unproven {
		c += stallCost
	}
	if now.Before(s.coldUntil) {
		c += coldCost
	}
	return c
}

// others tells whether a server is there that isn't excluded.
func (p *pool) others(exclude []ids.BackendID) bool {
	for _, s := range p.servers {
		if !s.gone && !s.Draining && !excluded(exclude, s.ID) {
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

// victim chooses the batch item that is put off, or else has the most time left, on a server that the ask may use and that
// serves well, or else, unless sound is set, on any other.
func (p *pool) victim(now time.Time, host ids.HostID, a SlotRequest, sound bool) (victim *run) {
	if p.off[BatchYields] {
		return nil
	}
	poor := false
	for _, r := range p.batch {
		if r.yielding || !r.server.takes(now, host, a) {
			continue
		}
		isPoor := r.server.poor(now)
		if isPoor && (sound || victim != nil && !poor) {
			continue
		}
		if victim == nil || poor && !isPoor || r.yieldsBefore(victim) {
			victim, poor = r, isPoor
		}
	}
	return victim
}

// takes tells whether a request may be sent to a server whose slot a batch item leaves.
func (s *server) takes(now time.Time, host ids.HostID, a SlotRequest) bool {
	return s.usable(now) && !excluded(a.Exclude, s.ID) && !now.Before(s.pausedUntil) && s.illness.fits(now, host) == fitsWell
}

// yieldsBefore orders batch items by the time they have left, those first that are put off.
func (r *run) yieldsBefore(o *run) bool {
	if r.late != o.late {
		return r.late
	}
	return r.due.After(o.due) || r.due.Equal(o.due) && less(r.key, o.key)
}

func less(a, b Key) bool {
	if a.Host != b.Host {
		return a.Host < b.Host
	}
	return a.Ticket < b.Ticket
}
