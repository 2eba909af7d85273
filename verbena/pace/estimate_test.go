package pace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestWrongReadings guards against a single, stuck, impossible or old figure that decides by itself.
func TestWrongReadings(t *testing.T) {
	type read struct {
		host string
		ms   int
		pace Percent
	}
	for _, tc := range []struct {
		name       string
		reads      []read
		ms         int
		least, not Percent // the estimate is between both
	}{
		{"nothing known", nil, 0, 100, 100},
		{"zero, negative and absurd", []read{{"a", 0, 0}, {"b", 0, -200}, {"c", 0, 100_000}, {"d", 0, 3}}, 0, 100, 100},
		{"one low report", []read{{"a", 0, 20}}, 0, 85, 95},
		{"one high report", []read{{"a", 0, 900}}, 0, 105, 120},
		{"one host that is stuck", []read{{"a", 0, 20}, {"a", 100, 20}, {"a", 200, 20}, {"a", 300, 20}}, 300, 85, 95},
		{"stuck at one of four hosts", []read{{"a", 100, 20}, {"b", 100, 200}, {"c", 100, 200}, {"d", 100, 200}}, 100, 170, 200},
		{"two hosts that differ", []read{{"a", 0, 20}, {"b", 0, 140}}, 0, 100, 140},
		{"hosts that agree", []read{{"a", 0, 200}, {"b", 20, 200}, {"c", 40, 200}}, 50, 175, 200},
		{"the same a second later", []read{{"a", 0, 200}, {"b", 20, 200}, {"c", 40, 200}}, 1100, 100, 100},
		{"an older reading that comes late", []read{{"a", 100, 200}, {"b", 100, 200}, {"a", 0, 50}, {"b", 0, 50}}, 100, 170, 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var e Estimate
			for _, r := range tc.reads {
				e.Read(ids.HostID(r.host), at(r.ms), r.pace)
			}
			got := e.At(at(tc.ms))
			qt.Assert(t, got >= tc.least && got <= tc.not, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

// TestEstimateFadesWithAge guards against jumps as readings become old: the estimate goes back to the usual pace steadily.
func TestEstimateFadesWithAge(t *testing.T) {
	c := qt.New(t)
	var e Estimate
	for _, h := range []ids.HostID{"a", "b", "c"} {
		e.Read(h, start, 250)
	}
	last := e.At(start)
	for ms := 10; ms <= 1200; ms += 10 {
		now := e.At(at(ms))
		c.Assert(now <= last && last-now < 15, qt.IsTrue, qt.Commentf("%v after %v at %d ms", now, last, ms))
		last = now
	}
	c.Assert(last, qt.Equals, Usual)
}

// TestEstimateFollowsPace guards against an estimate that is worse than none: a machine's pace wanders with a time constant of a
// quarter of a second, eight hosts read it at random, one of them always the same, and one reading in twenty is wrong.
func TestEstimateFollowsPace(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(3, 9))
	var e Estimate
	deviation, errorOfEstimate, errorOfUsual := 0.0, 0.0, 0.0
	for ms := range 200_000 {
		deviation += -deviation/250 + 40*math.Sqrt(2.0/250)*random.NormFloat64()
		truth := max(55, 110+deviation)
		if random.IntN(40) == 0 {
			p, host := truth, random.IntN(8)
			switch {
			case host == 0:
				p = 60
			case random.IntN(20) == 0:
				p = float64(random.IntN(2000) - 500)
			}
			e.Read(ids.HostID(fmt.Sprint(host)), at(ms), Percent(p))
		}
		errorOfEstimate += math.Pow(float64(e.At(at(ms)))-truth, 2)
		errorOfUsual += (100 - truth) * (100 - truth)
	}
	c.Assert(errorOfEstimate < 0.7*errorOfUsual, qt.IsTrue, qt.Commentf("%.2f", errorOfEstimate/errorOfUsual))
}

// TestMeanOver guards against a long measurement that is divided by the pace of one moment.
func TestMeanOver(t *testing.T) {
	c := qt.New(t)
	c.Assert(MeanOver(200, 0), qt.Equals, Percent(200))
	c.Assert(MeanOver(200, 10*time.Millisecond) > 195, qt.IsTrue)
	c.Assert(MeanOver(200, 5*time.Second) < 106, qt.IsTrue)
}
