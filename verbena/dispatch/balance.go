package dispatch

import (
	"slices"
	"time"
)

const (
	// speedTolerance is the difference of two servers' speeds that counts nothing. The average of a server weighs its last four
	// answers most, whose times vary by a fifth or more: two equal servers differ by a tenth as a rule and by a quarter often.
	speedTolerance = 0.25
	// loadCost is added for each running request, which slows the others by 1 to 2 percent.
	loadCost = 0.02
	// speedWeight is what twice the time costs, as much as eight running requests. With the full weight a server that seemed a
	// tenth faster got five more requests than others, and all slots of the fastest servers were filled before others were used:
	// then their requests are slowed most, in bursts by several times loadCost.
	speedWeight = 0.16
	// runningSlowdown is the share by which each running request slows the others. Times are compared without it: a server with
	// little load would seem fast.
	runningSlowdown = 0.015
	// fastestShare is the share of the servers that are faster than the one whose speed others are compared with. The least of
	// many noisy averages would make all servers look slow.
	fastestShare = 0.1
	// fastestRefreshInterval is how long the speed of the fastest servers is cached.
	fastestRefreshInterval = 100 * time.Millisecond
)

// speedCost is the cost of a server by its speed, given as a multiple of the fastest servers' time. It is 1 for equal speeds.
func speedCost(speed float64) float64 {
	switch {
	case speed > 1+speedTolerance:
		return 1 + speedWeight*(speed-1-speedTolerance)
	case speed < 1-speedTolerance:
		return 1 - speedWeight*(1-speedTolerance-speed)
	}
	return 1
}

// withoutLoad returns the time that a measured one would have been if the server had run no other request.
func (s *server) withoutLoad(measured float64) float64 {
	return measured / (1 + runningSlowdown*float64(max(0, s.usedSlots)))
}

func (p *pool) refreshFastest(now time.Time) {
	if now.Sub(p.fastestAt) >= fastestRefreshInterval || p.fastestEventSeconds == 0 {
		p.fastestEventSeconds, p.fastestAt = p.findFastest(now), now
	}
}

// findFastest returns the time per stream event of the fastest servers, 0 if none is known.
func (p *pool) findFastest(now time.Time) (seconds float64) {
	known := p.speeds[:0]
	for _, s := range p.servers {
		if s.usable(now) && s.eventSeconds > 0 {
			known = append(known, s.eventSeconds)
		}
	}
	p.speeds = known
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[int(fastestShare*float64(len(known)))]
}
