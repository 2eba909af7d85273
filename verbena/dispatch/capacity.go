package dispatch

import "time"

// capacity is what a service's servers can do for callers who wait.
type capacity struct {
	hold time.Duration
	// slots counts those of all servers, effective those that callers' requests can use within the servers' limits.
	slots, effective float64
	// saved is how many requests limited servers have saved up, limited how many of these servers there are.
	saved   float64
	limited int
	// cold counts the servers of which only the rate for cold ones can be used.
	cold int
}

// capacity returns what the servers that can take requests now can do.
func (p *pool) capacity(now time.Time) capacity { return p.capacityFor(now, SlotRequest{}) }

// capacityFor returns the same for a request: a resumed stream can only use the servers of its origin.
func (p *pool) capacityFor(now time.Time, r SlotRequest) capacity {
	c := capacity{hold: p.holdTime()}
	for _, s := range p.servers {
		if !s.usable(now) || r.Resumption != nil && r.Resumption.Origin != s.origin() {
			continue
		}
		c.slots += p.slotsInMemory(float64(s.Slots))
		c.effective += p.slotsInMemory(s.effectiveSlots(now, c.hold, Online))
		if s.cold.IsBounded() && s.cold.IsCold(now) {
			c.cold++
		}
		if s.isLimited() {
			c.limited++
			c.saved += min(1, s.limit.Saved(now))
		}
	}
	return c
}

// queueTime estimates how long the request at a position of the queue, counted from 1, waits for a slot. What limited servers
// have saved up comes sooner; each of them has half a request on average that isn't complete.
func (c capacity) queueTime(position int) time.Duration {
	credit := 0.0
	if c.limited > 0 {
		credit = max(0, c.saved-float64(c.limited-1)/2)
	}
	return time.Duration(float64(c.hold) * max(0, float64(position)-credit) / c.effective)
}

// queueTimeWithoutLimits is queueTime if no server had a limit.
func (c capacity) queueTimeWithoutLimits(position int) time.Duration {
	return time.Duration(float64(c.hold) * float64(position) / c.slots)
}

// refusalReason returns the reason for a refusal. bounded is set if the servers' limits, or the rates that cold servers tolerate,
// are the cause.
func (c capacity) refusalReason(bounded bool) Reason {
	switch {
	case !bounded:
		return Overload
	case c.limited == 0 && c.cold > 0:
		return ColdServers
	}
	return LimitedServers
}
