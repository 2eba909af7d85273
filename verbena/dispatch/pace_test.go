package dispatch

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// machine is the true pace of a server's machine in the model, as a factor that wanders around 1.
type machine struct {
	deviation float64
	at        time.Time
}

// playWithPaces plays a load on machines whose pace wanders with a time constant, by half of the usual time as a rule. Hosts read
// it at the head of an answer, whose rest follows a while later. One host reads a stuck value, and one reading in twenty is absurd.
func playWithPaces(seed uint64, load string, timeConstant time.Duration, options ...Option) *model {
	m := newModel(seed, options...)
	m.load = loads[load]
	machines := make(map[*modelServer]*machine)
	factor := func(s *modelServer) float64 {
		v := machines[s]
		if v == nil {
			v = &machine{at: m.now, deviation: 0.4 * m.random.NormFloat64()}
			machines[s] = v
		}
		kept := math.Exp(-float64(m.now.Sub(v.at)) / float64(timeConstant))
		v.deviation, v.at = v.deviation*kept+0.4*math.Sqrt(1-kept*kept)*m.random.NormFloat64(), m.now
		return math.Exp(v.deviation)
	}
	m.slowdown = func(_ *model, s *modelServer) float64 { return factor(s) }
	m.outcome = func(m *model, r modelRun, o *Outcome) {
		o.Pace, o.PaceAge = int(100*factor(r.server)), 0
		switch {
		case r.key.Host == "f3":
			o.Pace = 50
		case m.random.IntN(20) == 0:
			o.Pace = m.random.IntN(4000) - 1000
		}
	}
	m.play()
	return m
}

// paceTimeConstant makes a pace change several times a second.
const paceTimeConstant = 250 * time.Millisecond

// TestPaceSavesTime guards against placement by pace that is no better than none, or that gives the servers that look calm the load of
// the moment. The load is a service of 60 servers whose machines' paces wander, read by eight hosts. When nearly all slots are in
// use there is little choice, and only the balance is checked.
func TestPaceSavesTime(t *testing.T) {
	for _, load := range []string{"light", "half", "heavy", "waves"} {
		t.Run(load, func(t *testing.T) {
			with, without := 0.0, 0.0
			for seed := range uint64(3) {
				m := playWithPaces(seed, load, paceTimeConstant)
				qt.Check(t, m.busiest() < 1.5, qt.IsTrue, qt.Commentf("seed %d: busiest to mean %.2f", seed, m.busiest()))
				with += m.meanTime()
				without += playWithPaces(seed, load, paceTimeConstant, WithDisabledMechanisms(MachinePace)).meanTime()
				t.Logf("busiest to mean %.2f", m.busiest())
			}
			t.Logf("mean time %.4f s, without pace %.4f s", with/3, without/3)
			if load != "heavy" {
				qt.Check(t, with < 0.98*without, qt.IsTrue, qt.Commentf("mean time %.4f s, without pace %.4f s", with/3, without/3))
			}
		})
	}
}
