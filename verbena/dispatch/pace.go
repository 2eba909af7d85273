package dispatch

import (
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/pace"
)

const (
	// paceCacheTime is how long the estimate of a machine's pace is used again; the readings are too old for more.
	paceCacheTime = 10 * time.Millisecond
	// countedGrants is how many recent grants of a server are distinguished.
	countedGrants = 8
	// paceTolerance is the difference from the usual pace that counts nothing: an estimate from few readings errs by as much.
	paceTolerance = 0.1
	// grantsPerHalf is how many requests granted since the newest reading halve the advantage of a calm machine.
	grantsPerHalf = 1
)

// machinePace is what is known of the pace of a server's machine. Servers that hosts see as calm at the same moment aren't given all
// requests of that moment: their advantage shrinks with each grant that the newest reading doesn't show.
type machinePace struct {
	estimate pace.Estimate
	// cached is the estimate as of cachedAt.
	cached   pace.Percent
	cachedAt time.Time
	// granted holds the times of the last grants, the oldest at next.
	granted [countedGrants]time.Time
	next    int
}

func (m *machinePace) read(now time.Time, host ids.HostID, at time.Time, p pace.Percent) {
	if at.After(now) {
		at = now
	}
	m.estimate.Read(host, at, p)
	m.cachedAt = time.Time{}
}

func (m *machinePace) reset() {
	m.estimate.Reset()
	m.cachedAt = time.Time{}
}

func (m *machinePace) countGrant(now time.Time) {
	m.granted[m.next] = now
	m.next = (m.next + 1) % countedGrants
}

// at returns the pace by which the server is ranked.
func (m *machinePace) at(now time.Time) pace.Percent {
	if age := now.Sub(m.cachedAt); age < 0 || age >= paceCacheTime {
		m.cached, m.cachedAt = m.estimate.At(now), now
	}
	if m.cached >= pace.Usual {
		return m.cached
	}
	readAt, since := m.estimate.ReadAt(), 0
	for _, at := range m.granted {
		if at.After(readAt) {
			since++
		}
	}
	return pace.Usual - (pace.Usual-m.cached)/pace.Percent(1+float64(since)/grantsPerHalf)
}

// recordPace reads what an answer states of its server's machine.
func (s *server) recordPace(now time.Time, host ids.HostID, o Outcome) {
	if o.Pace != 0 && !s.disabled[MachinePace] {
		s.pace.read(now, host, now.Add(-o.PaceAge), pace.Percent(o.Pace))
	}
}

// atUsualPace returns the time that a measured one would have been at the usual pace of the server's machine. The pace is that at the
// answer's head, and the usual one on average over a time that is much longer than a reading is valid.
func (s *server) atUsualPace(now time.Time, o Outcome, measured float64) float64 {
	if o.Pace == 0 || s.disabled[MachinePace] {
		return measured
	}
	mean := pace.MeanOver(s.pace.estimate.At(now.Add(-o.PaceAge)), o.Elapsed)
	return measured * float64(pace.Usual/mean)
}

// paceFactor is the pace of the server's machine as a multiple of the usual time.
func (s *server) paceFactor(now time.Time) float64 {
	if s.disabled[MachinePace] {
		return 1
	}
	return float64(s.pace.at(now) / pace.Usual)
}
