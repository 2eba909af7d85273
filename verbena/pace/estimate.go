// Package pace estimates how long work takes on a backend server's machine at a moment, from what hosts read in the server's answers.
// The figure changes many times a second, while readings come from several hosts, late, and some may be wrong.
package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"verbenaledge.example/verbena/ids"
)

// Percent is how long work takes in percent of the usual time. 0 means unknown.
type Percent float64

// Usual is the pace of a machine of which nothing is known.
const Usual Percent = 100

// MaxAge is the age from which a reading isn't used.
const MaxAge = time.Second

const (
	// timeConstant is the time within which a reading loses most of its weight. The figure changes many times a second, so a
	// reading that is a second old tells nothing.
	timeConstant = 250 * time.Millisecond
	// minPlausible and maxPlausible bound the readings that are used at all.
	minPlausible, maxPlausible Percent = 10, 1000
	// minPace and maxPace bound the effect of readings.
	minPace, maxPace Percent = 50, 300
	// minUnconfirmed and maxUnconfirmed bound the effect of the readings of a single host: one report, or one host's stuck
	// value, must not decide: the estimate stays within a tenth of the usual pace, which placement counts as usual.
	minUnconfirmed, maxUnconfirmed Percent = 85, 115
	// priorWeight is the weight of the usual pace; a fresh reading has 1.
	priorWeight = 0.5
	// maxHosts bounds the readings that are kept.
	maxHosts = 16
)

// reading is what a host read last.
type reading struct {
	host ids.HostID
	at   time.Time
	pace Percent
}

// Estimate is the pace of one machine. The zero value has no readings.
type Estimate struct {
	readings []reading
}

// IsPlausible reports whether a reading is used. Servers state 0, negative or absurd figures when they fail to measure.
func IsPlausible(p Percent) bool { return p >= minPlausible && p <= maxPlausible }

// Read adds what a host read at a time. Only the newest reading of each host counts.
func (e *Estimate) Read(host ids.HostID, at time.Time, p Percent) {
	if !IsPlausible(p) {
		return
	}
	r := reading{host: host, at: at, pace: clamp(p, minPace, maxPace)}
	if i := slices.IndexFunc(e.readings, func(o reading) bool { return o.host == host }); i >= 0 {
		if at.After(e.readings[i].at) {
			e.readings[i] = r
		}
		return
	}
	if len(e.readings) < maxHosts {
		e.readings = append(e.readings, r)
		return
	}
	oldest := 0
	for i, o := range e.readings {
		if o.at.Before(e.readings[oldest].at) {
			oldest = i
		}
	}
	if at.After(e.readings[oldest].at) {
		e.readings[oldest] = r
	}
}

// Reset forgets all readings.
func (e *Estimate) Reset() { e.readings = nil }

// ReadAt returns when the newest reading was made, zero if there is none.
func (e *Estimate) ReadAt() (at time.Time) {
	for _, r := range e.readings {
		if r.at.After(at) {
			at = r.at
		}
	}
	return at
}

// At returns the estimate for a time: the median of the hosts' readings, weighted by their distance in time, and drawn to the usual
// pace as they are few or old.
func (e *Estimate) At(t time.Time) Percent {
	type vote struct {
		pace   Percent
		weight float64
	}
	var array [maxHosts]vote
	votes, total := array[:0], 0.0
	for _, r := range e.readings {
		if distance := t.Sub(r.at).Abs(); distance < MaxAge {
			v := vote{r.pace, weightAfter(distance)}
			votes, total = append(votes, v), total+v.weight
		}
	}
	if len(votes) == 0 {
		return Usual
	}
	slices.SortFunc(votes, func(a, b vote) int { return cmp.Compare(a.pace, b.pace) })
	low, high, sum := votes[0].pace, votes[0].pace, 0.0
	for _, v := range votes {
		if sum < total/2 {
			low = v.pace // of the two in the middle, if half of the weight is below
		}
		high = v.pace
		if sum += v.weight; sum > total/2 {
			break
		}
	}
	median := nearerUsual(low, high)
	if len(votes) == 1 {
		median = clamp(median, minUnconfirmed, maxUnconfirmed)
	}
	return Usual + (median-Usual)*Percent(total/(total+priorWeight))
}

// weightAfter decays to 0 at MaxAge without a step.
func weightAfter(d time.Duration) float64 {
	decayed := func(d time.Duration) float64 { return math.Exp(-float64(d) / float64(timeConstant)) }
	return decayed(d) - decayed(MaxAge)
}

// MeanOver returns the mean pace to be expected over a time at whose beginning or end it was p.
func MeanOver(p Percent, d time.Duration) Percent {
	if d <= 0 {
		return p
	}
	x := float64(d) / float64(timeConstant)
	return Usual + (p-Usual)*Percent((1-math.Exp(-x))/x)
}

func nearerUsual(a, b Percent) Percent {
	if math.Abs(float64(a-Usual)) <= math.Abs(float64(b-Usual)) {
		return a
	}
	return b
}

func clamp(p, lower, upper Percent) Percent { return min(max(p, lower), upper) }
