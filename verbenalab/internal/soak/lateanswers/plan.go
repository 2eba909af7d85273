package lateanswers

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"verbenaledge.example/platform/standin"
)

// Window is a range of durations.
type Window struct{ From, To time.Duration }

func (w Window) pick(random *rand.Rand) time.Duration {
	return w.From + time.Duration(random.Int64N(int64(w.To-w.From)+1))
}

// Plan says how servers answer.
type Plan struct {
	Seed uint64
	// Servers is the number of servers, Slots the number of requests that each runs at once.
	Servers, Slots int
	// Fault is the fault of the runs that have one, FaultShare how many of the items' runs have it, in percent.
	Fault      standin.ServerFault
	FaultShare int
	// Repeated is the status of the answers that are sent again, 0 if none is. Copies is how often, Delays how much later.
	Repeated, Copies int
	Delays           Window
	// CutOff cuts the first host of each role off from the servers, which it then reaches over other hosts.
	CutOff bool
}

// workWindow is how long a run takes until its answer begins.
var workWindow = Window{100 * time.Millisecond, 350 * time.Millisecond}

// random returns a source for one run of a request, so that it doesn't depend on the order of runs.
func (p Plan) random(id string, run int) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return rand.New(rand.NewPCG(p.Seed, h.Sum64()+uint64(run)))
}

// delays returns when an answer is sent again.
func (p Plan) delays(a standin.Answer, number int) (delays []time.Duration) {
	if a.Status != p.Repeated {
		return nil
	}
	random := p.random(a.ID, -number)
	for range p.Copies {
		delays = append(delays, p.Delays.pick(random))
	}
	return delays
}
