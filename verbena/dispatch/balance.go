package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// minSpeedTolerance is the difference of two servers' speeds that counts nothing at least. Answers vary by a fifth or more, and
	// those that follow each other vary alike: the averages of equal servers often differ by a tenth, from the fastest by more.
	minSpeedTolerance = 0.25
	// noiseTolerance is the same as a multiple of the usual deviation of one answer from its server's average. The average
	// deviates by a quarter of that if answers are independent. With 1.0 the busiest server of the model in pace_test.go
	// received up to 1.58 times the mean.
	noiseTolerance = 1.5
	// maxSpeedTolerance bounds it, so that a server which takes 2.3 times as long is used last whatever the noise.
	maxSpeedTolerance = 0.6
	// speedMemory is the time constant with which a server that seemed slower than others is tried again: without answers its
	// average would stay as it is.
	speedMemory = 2 * time.Second
	// loadCost is added for each running request, which slows the others by 1 to 2 percent.
	loadCost = 0.02
	// speedWeight is what twice the time costs, as much as eight running requests. With the full weight a server that seemed a
	// tenth faster got five more requests than others, and all slots of the fastest servers were filled before others were used:
	// then their requests are slowed most, in bursts by several times loadCost.
	speedWeight = 0.16
	// runningSlowdown is the share by which each running request slows the others. Times are compared without it: a server with
	// little load would seem fast.
	runningSlowdown = 0.015
	// speedAverageWeight is the weight of one answer in the average of a server's speed, which is that of the last ten or so: a
	// second or less under load.
	speedAverageWeight = 0.1
	// noiseAverageWeight is the weight of one answer in the average of the deviations.
	noiseAverageWeight = 0.01
	// fastestShare is the share of the servers that are faster than the one whose speed others are compared with. The least of
	// many noisy averages would make all servers look slow.
	fastestShare = 0.1
	// fastestRefreshInterval is how long the speed of the fastest servers is cached.
	fastestRefreshInterval = 100 * time.Millisecond
)

// relativeSpeed returns a server's time as a multiple of that of the fastest servers.
func (p *pool) relativeSpeed(now time.Time, s *server) float64 {
	if s.eventSeconds == 0 || p.fastestEventSeconds == 0 {
		return 1
	}
	speed := s.eventSeconds / p.fastestEventSeconds
	if beyond(speed, p.speedTolerance()) == 1 {
		return 1 // also with its age, which costs time to compute
	}
	if !p.isMuchSlower(speed) {
		speed = 1 + (speed-1)*math.Exp(-float64(now.Sub(s.eventSecondsAt))/float64(speedMemory))
	}
	return speed
}

// speedCost is the cost of a server by its speed and the pace of its machine, as multiples of the fastest servers' time and of the
// usual one. It is 1 for servers that don't differ by more than the noise of these figures. They are compared one by one: one that
// seems a little fast would else gain from each change of pace.
func (p *pool) speedCost(speed, machine float64) float64 {
	return 1 + speedWeight*(beyond(speed, p.speedTolerance())*beyond(machine, paceTolerance)-1)
}

// beyond returns a multiple without the part of its difference from 1 that counts nothing.
func beyond(multiple, tolerance float64) float64 {
	switch {
	case multiple > 1+tolerance:
		return multiple - tolerance
	case multiple < 1-tolerance:
		return multiple + tolerance
	}
	return 1
}

// isMuchSlower reports whether a server is to be used last, by its speed.
func (p *pool) isMuchSlower(speed float64) bool {
	return speed > slowFactor*(1+p.speedTolerance())/(1+minSpeedTolerance)
}

// speedTolerance is the difference of two servers' speeds that counts nothing.
func (p *pool) speedTolerance() float64 {
	return min(max(minSpeedTolerance, noiseTolerance*p.noise), maxSpeedTolerance)
}

// recordSpeed adds a time per stream event to a server's average, and its deviation to that of the service.
func (p *pool) recordSpeed(now time.Time, s *server, o Outcome) {
	if o.Result != Served || o.StreamEvents <= 0 || o.Elapsed <= 0 {
		return
	}
	sample := s.atUsualPace(now, o, s.withoutLoad(o.Elapsed.Seconds()/float64(o.StreamEvents)))
	if s.eventSeconds > 0 {
		p.noise += noiseAverageWeight * (math.Abs(math.Log(sample/s.eventSeconds)) - p.noise)
	}
	s.speedSamples++
	s.eventSeconds += max(speedAverageWeight, 1/float64(s.speedSamples)) * (sample - s.eventSeconds)
	s.eventSecondsAt = now
	s.speed = p.relativeSpeed(now, s)
}

// withoutLoad returns the time that a measured one would have been if the server had run no other request.
func (s *server) withoutLoad(measured float64) float64 {
	return measured / (1 + runningSlowdown*float64(max(0, s.usedSlots)))
}

func (p *pool) refreshFastest(now time.Time) {
	if now.Sub(p.fastestAt) >= fastestRefreshInterval || p.fastestEventSeconds == 0 {
		p.fastestEventSeconds, p.fastestAt = p.findFastest(now), now
		p.compareServers(now)
		p.meanRoom = p.findMeanRoom(now)
	}
}

// compareServers computes the relative speeds, and how many requests a server received recently, on average of those that aren't used
// last.
func (p *pool) compareServers(now time.Time) {
	sum, n := 0.0, 0
	for _, s := range p.servers {
		s.speed = p.relativeSpeed(now, s)
		if s.usable(now) && !p.isMuchSlower(s.speed) {
			sum, n = sum+s.received.recent(now), n+1
		}
	}
	p.meanReceived = sum / float64(max(1, n))
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
