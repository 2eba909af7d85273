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

// The platform's limit on a workspace's requests: rate*window + burst in any window, plus an excess and a fixed slack.
const (
	rateWindow    = 5 * time.Second
	allowedExcess = 0.1
	allowedSlack  = 20
)

// hostGroup simulates hosts that admit requests of one workspace, first through a dispatcher and then locally.
type hostGroup struct {
	now        time.Time
	rate       Rate
	localRates []*LocalRates
	schedulers []*Scheduler
	ticket     Ticket
	admitted   []time.Time
}

func newHostGroup(hosts int, r Rate) *hostGroup {
	g := &hostGroup{now: time.Unix(1000, 0), rate: r}
	for n := range hosts {
		g.localRates = append(g.localRates, NewLocalRates())
		sc := New(fmt.Sprint("host-", n))
		sc.Step(g.now, ServersChanged{Servers: map[ids.BackendID]directory.Server{"s": {ID: "s", Service: "llm", Slots: 10_000}}})
		g.schedulers = append(g.schedulers, sc)
	}
	return g
}

func (g *hostGroup) rates() map[ids.WorkspaceID]Rate {
	return map[ids.WorkspaceID]Rate{"w": g.rate}
}

// admitCentrally simulates a dispatcher that admits a share of the rate, for each host in turn.
func (g *hostGroup) admitCentrally(d time.Duration, share float64, overRate bool) {
	every := time.Duration(float64(time.Second) / (g.rate.PerSecond * share))
	for end, n := g.now.Add(d), 0; g.now.Before(end); n++ {
		rates := g.localRates[n%len(g.localRates)]
		rates.CountAdmitted(g.now, "w")
		g.admitted = append(g.admitted, g.now)
		if overRate {
			for _, rates := range g.localRates {
				rates.RecordOverRate(g.now, "w")
			}
		}
		g.now = g.now.Add(every)
	}
}

// decideLocally lets all hosts decide locally while callers send twice the rate, and at least 50 requests a second to
// each host.
func (g *hostGroup) decideLocally(d time.Duration) {
	for n, sc := range g.schedulers {
		g.localRates[n].BeginLocal(g.now)
		sc.Step(g.now, RatesChanged{Rates: g.localRates[n].Limits(g.now, g.rates(), len(g.schedulers)), ResetTokens: true})
	}
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(20 * time.Millisecond) {
		for n := range g.schedulers {
			for range 1 + int(2*g.rate.PerSecond/float64(len(g.schedulers))*0.02) {
				g.request(n)
			}
		}
	}
}

func (g *hostGroup) request(n int) {
	g.ticket++
	req := SlotRequest{Ticket: g.ticket, Service: "llm", Workspace: "w", Objective: time.Second, Remaining: 5 * time.Second, StreamEvents: 1, Metered: true}
	for _, c := range g.schedulers[n].Step(g.now, SlotRequested{Host: "h", Request: req}) {
		switch c := c.(type) {
		case Grant:
			g.admitted = append(g.admitted, g.now)
			g.localRates[n].CountAdmittedLocally(g.now, "w")
			g.schedulers[n].Step(g.now, SendEnded{Host: "h", Outcome: Outcome{Ticket: g.ticket, Result: Served}})
		case Refuse:
			if c.Reason == OverRate && g.localRates[n].RecordOverRate(g.now, "w") {
				g.schedulers[n].Step(g.now, RatesChanged{Rates: g.localRates[n].Limits(g.now, g.rates(), len(g.schedulers))})
			}
		}
	}
}

// maxPerWindow returns the largest number of requests that were admitted in any window.
func (g *hostGroup) maxPerWindow() (most int) {
	sort.Slice(g.admitted, func(i, j int) bool { return g.admitted[i].Before(g.admitted[j]) })
	first := 0
	for last := range g.admitted {
		for g.admitted[last].Sub(g.admitted[first]) > rateWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func (g *hostGroup) allowedPerWindow() int {
	return int((g.rate.PerSecond*rateWindow.Seconds()+g.rate.Burst)*(1+allowedExcess) + allowedSlack)
}

// TestWorkspaceAtItsRateKeepsItLocally checks that a workspace that was at its rate gets no more from hosts that decide
// locally, even if they disconnect repeatedly, and not much less.
func TestWorkspaceAtItsRateKeepsItLocally(t *testing.T) {
	for _, hosts := range []int{2, 9, 54} {
		for _, rate := range []Rate{{PerSecond: 20, Burst: 20}, {PerSecond: 5, Burst: 5}, {PerSecond: 200, Burst: 300}} {
			t.Run(fmt.Sprint(hosts, " hosts, ", rate.PerSecond), func(t *testing.T) {
				c := qt.New(t)
				g := newHostGroup(hosts, rate)
				g.admitCentrally(20*time.Second, 1, true)
				begin := len(g.admitted)
				g.decideLocally(8 * time.Second)
				if rate.PerSecond >= float64(hosts) { // at a lower rate, a host's part is less than one request a second
					served := float64(len(g.admitted) - begin)
					c.Check(served >= 0.6*8*rate.PerSecond, qt.IsTrue, qt.Commentf("%.0f admitted in 8 s", served))
				}
				for range 4 {
					g.admitCentrally(time.Second, 1, true)
					g.decideLocally(2 * time.Second)
				}
				// A slow link is lost and recovers several times a second.
				for range 40 {
					g.decideLocally(200 * time.Millisecond)
				}
				c.Check(g.maxPerWindow() <= g.allowedPerWindow(), qt.IsTrue,
					qt.Commentf("%d admitted in a window, %d are allowed", g.maxPerWindow(), g.allowedPerWindow()))
			})
		}
	}
}

// TestWorkspaceReachesItsRateLocally checks the limit for a workspace that reaches its rate only while hosts decide
// locally.
func TestWorkspaceReachesItsRateLocally(t *testing.T) {
	for _, hosts := range []int{2, 9} {
		c := qt.New(t)
		g := newHostGroup(hosts, Rate{PerSecond: 20, Burst: 20})
		g.admitCentrally(20*time.Second, 0.5, false)
		g.decideLocally(8 * time.Second)
		c.Check(g.maxPerWindow() <= g.allowedPerWindow(), qt.IsTrue,
			qt.Commentf("%d hosts: %d admitted in a window, %d are allowed", hosts, g.maxPerWindow(), g.allowedPerWindow()))
	}
}

// TestLocalLimitsKeepRates checks that the limits of all hosts add up to what was admitted before, and little more.
func TestLocalLimitsKeepRates(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	rates := map[ids.WorkspaceID]Rate{"w": {PerSecond: 40, Burst: 40}}
	total, burst := 0.0, 0.0
	const hosts = 8
	for h := range hosts {
		local := NewLocalRates()
		for n := range 400 {
			if n%hosts == h {
				local.CountAdmitted(now.Add(time.Duration(n)*25*time.Millisecond), "w")
			}
		}
		local.BeginLocal(now.Add(10 * time.Second))
		limit := local.Limits(now.Add(10*time.Second), rates, hosts)["w"]
		total += limit.PerSecond
		burst += limit.Burst
	}
	c.Assert(total >= 30, qt.IsTrue, qt.Commentf("%f", total))
	c.Assert(total <= 40*(growthFactor+evenShare), qt.IsTrue, qt.Commentf("%f", total))
	c.Assert(burst <= 40*(growthFactor+evenShare)*localBurstTime.Seconds(), qt.IsTrue, qt.Commentf("%f", burst))
}
