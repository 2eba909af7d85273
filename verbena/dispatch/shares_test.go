package dispatch

import (
	"fmt"
	"sort"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

// The bound on a workspace's requests in any window, as the platform states it.
const (
	boundWindow = 5 * time.Second
	boundExcess = 0.1
	boundSlack  = 20
)

// crowd is hosts whose callers press a workspace, first before a dispatching host and then alone.
type crowd struct {
	now      time.Time
	rate     Rate
	usages   []*LocalRates
	machines []*Scheduler
	ticket   Ticket
	admitted []time.Time
}

func newCrowd(hosts int, r Rate) *crowd {
	w := &crowd{now: time.Unix(1000, 0), rate: r}
	for n := range hosts {
		w.usages = append(w.usages, NewLocalRates())
		m := New(fmt.Sprint("host-", n))
		m.Step(w.now, ServersChanged{Servers: map[ids.BackendID]directory.Server{"s": {ID: "s", Service: "llm", Slots: 10_000}}})
		w.machines = append(w.machines, m)
	}
	return w
}

func (w *crowd) rates() map[ids.WorkspaceID]Rate {
	return map[ids.WorkspaceID]Rate{"w": w.rate}
}

// before plays a dispatching host that admits a share of the rate, one host after another.
func (w *crowd) before(d time.Duration, share float64, overRate bool) {
	every := time.Duration(float64(time.Second) / (w.rate.PerSecond * share))
	for end, n := w.now.Add(d), 0; w.now.Before(end); n++ {
		u := w.usages[n%len(w.usages)]
		u.CountAdmitted(w.now, "w")
		w.admitted = append(w.admitted, w.now)
		if overRate {
			for _, u := range w.usages {
				u.NoteOverRate(w.now, "w")
			}
		}
		w.now = w.now.Add(every)
	}
}

// alone lets all hosts decide alone while they are asked twice as much as the rate, each at least 50 times a second.
func (w *crowd) alone(d time.Duration) {
	for n, m := range w.machines {
		w.usages[n].BeginLocal(w.now)
		m.Step(w.now, RatesChanged{Rates: w.usages[n].Limits(w.now, w.rates(), len(w.machines)), ResetTokens: true})
	}
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(20 * time.Millisecond) {
		for n := range w.machines {
			for range 1 + int(2*w.rate.PerSecond/float64(len(w.machines))*0.02) {
				w.ask(n)
			}
		}
	}
}

func (w *crowd) ask(n int) {
	w.ticket++
	q := SlotRequest{Ticket: w.ticket, Service: "llm", Workspace: "w", Objective: time.Second, Remaining: 5 * time.Second, StreamEvents: 1, Metered: true}
	for _, c := range w.machines[n].Step(w.now, SlotRequested{Host: "h", Request: q}) {
		switch c := c.(type) {
		case Grant:
			w.admitted = append(w.admitted, w.now)
			w.usages[n].CountAdmittedLocally(w.now, "w")
			w.machines[n].Step(w.now, SendEnded{Host: "h", Outcome: Outcome{Ticket: w.ticket, Result: Served}})
		case Refuse:
			if c.Reason == OverRate && w.usages[n].NoteOverRate(w.now, "w") {
				w.machines[n].Step(w.now, RatesChanged{Rates: w.usages[n].Limits(w.now, w.rates(), len(w.machines))})
			}
		}
	}
}

// most is the most requests that were admitted in any window.
func (w *crowd) most() (most int) {
	sort.Slice(w.admitted, func(i, j int) bool { return w.admitted[i].Before(w.admitted[j]) })
	first := 0
	for last := range w.admitted {
		for w.admitted[last].Sub(w.admitted[first]) > boundWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func (w *crowd) bound() int {
	return int((w.rate.PerSecond*boundWindow.Seconds()+w.rate.Burst)*(1+boundExcess) + boundSlack)
}

// TestOverRateAloneKeepsItsRate: a workspace that was at its rate gets no more from hosts that decide alone,
// also if they fall out of touch again and again; and not much less.
func TestOverRateAloneKeepsItsRate(t *testing.T) {
	for _, hosts := range []int{2, 9, 54} {
		for _, rate := range []Rate{{PerSecond: 20, Burst: 20}, {PerSecond: 5, Burst: 5}, {PerSecond: 200, Burst: 300}} {
			t.Run(fmt.Sprint(hosts, " hosts, ", rate.PerSecond), func(t *testing.T) {
				c := qt.New(t)
				w := newCrowd(hosts, rate)
				w.before(20*time.Second, 1, true)
				begin := len(w.admitted)
				w.alone(8 * time.Second)
				if rate.PerSecond >= float64(hosts) { // with less, a host's part makes no whole request in the time
					served := float64(len(w.admitted) - begin)
					c.Check(served >= 0.6*8*rate.PerSecond, qt.IsTrue, qt.Commentf("%.0f admitted in 8 s", served))
				}
				for range 4 {
					w.before(time.Second, 1, true)
					w.alone(2 * time.Second)
				}
				// A link that is slow rather than cut is lost and found several times a second.
				for range 40 {
					w.alone(200 * time.Millisecond)
				}
				c.Check(w.most() <= w.bound(), qt.IsTrue, qt.Commentf("%d admitted in a window, %d are allowed", w.most(), w.bound()))
			})
		}
	}
}

// TestOverRateBeginsAlone: a workspace that presses only once hosts decide alone is held to what it had.
func TestOverRateBeginsAlone(t *testing.T) {
	for _, hosts := range []int{2, 9} {
		c := qt.New(t)
		w := newCrowd(hosts, Rate{PerSecond: 20, Burst: 20})
		w.before(20*time.Second, 0.5, false)
		w.alone(8 * time.Second)
		c.Check(w.most() <= w.bound(), qt.IsTrue, qt.Commentf("%d hosts: %d admitted in a window, %d are allowed", hosts, w.most(), w.bound()))
	}
}

// TestAloneKeepsRates: the parts of all hosts together are what was admitted before, and little more.
func TestAloneKeepsRates(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	rates := map[ids.WorkspaceID]Rate{"w": {PerSecond: 40, Burst: 40}}
	total, burst := 0.0, 0.0
	const hosts = 8
	for h := range hosts {
		u := NewLocalRates()
		for n := range 400 {
			if n%hosts == h {
				u.CountAdmitted(now.Add(time.Duration(n)*25*time.Millisecond), "w")
			}
		}
		u.BeginLocal(now.Add(10 * time.Second))
		p := u.Limits(now.Add(10*time.Second), rates, hosts)["w"]
		total += p.PerSecond
		burst += p.Burst
	}
	c.Assert(total >= 30, qt.IsTrue, qt.Commentf("%f", total))
	c.Assert(total <= 40*(growth+evenPart), qt.IsTrue, qt.Commentf("%f", total))
	c.Assert(burst <= 40*(growth+evenPart)*ownBurst.Seconds(), qt.IsTrue, qt.Commentf("%f", burst))
}
