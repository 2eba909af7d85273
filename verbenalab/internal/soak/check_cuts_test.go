package soak_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/soak"
)

// cutHistory returns evidence of a cut of front-0 from 10 s to 20 s, with 50 first tries at each entry host from the given
// time on, one every 80 ms. The first ones are served.
func cutHistory(from, servedThere, servedElsewhere int) *soak.Evidence {
	ev := validHistory()
	ev.CutPeriods = append(ev.CutPeriods, soak.CutPeriod{Kind: "cut_silent", Host: "front-0", From: at(10_000), To: at(20_000)})
	for host, served := range map[string]int{"front-0": servedThere, "front-1": servedElsewhere} {
		for n := range 50 {
			id := fmt.Sprintf("%s-%d", host, n)
			c := appCall(id, 503, "{}")
			if n < served {
				c = appCall(id, 200, "answer to "+id)
				ev.ServerRuns = append(ev.ServerRuns, serverRun(id, "server-3", from+80*n))
			}
			c.Host, c.Process, c.Sent, c.Ended = host, host+"#1", at(from+80*n), at(from+80*n+10)
			ev.Calls = append(ev.Calls, c)
		}
	}
	return ev
}

// TestCheckOfCuts guards against a check that overlooks callers of hosts that are cut off, or that blames hosts for other
// faults and for the time before contact.
func TestCheckOfCuts(t *testing.T) {
	c := qt.New(t)
	for _, tc := range []struct {
		name                               string
		from, servedThere, servedElsewhere int
		change                             func(ev *soak.Evidence)
		broken                             bool
	}{
		{"served less often", 13_500, 30, 50, nil, true},
		{"served nearly as often", 13_500, 34, 50, nil, false},
		{"others are served as seldom", 13_500, 20, 25, nil, false},
		{"before contact", 9000, 0, 50, nil, false},
		{"after the cut", 20_000, 0, 50, nil, false},
		{"served after the cut", 13_500, 50, 50, func(ev *soak.Evidence) {
			for n := range ev.Calls {
				if ev.Calls[n].Host == "front-0" {
					ev.Calls[n].Ended = at(20_100)
				}
			}
		}, true},
		{"callers left", 13_500, 0, 50, func(ev *soak.Evidence) {
			for n := range ev.Calls {
				ev.Calls[n].Abandoned = ev.Calls[n].Status == 503
			}
		}, false},
		{"beyond the rate", 13_500, 0, 50, func(ev *soak.Evidence) {
			for n := range ev.Calls {
				if ev.Calls[n].Status == 503 {
					ev.Calls[n].Status = 429
				}
			}
		}, false},
		{"the host was paused, too", 13_500, 0, 50, func(ev *soak.Evidence) {
			ev.HostFaults = append(ev.HostFaults, soak.Disturbance{Name: "front-0", From: at(12_000), To: at(15_000)})
		}, false},
		{"a fault before", 13_500, 0, 50, func(ev *soak.Evidence) {
			ev.HostFaults = append(ev.HostFaults, soak.Disturbance{Name: "front-0", From: at(8000), To: at(10_000)})
		}, true},
		{"too few", 17_000, 0, 50, nil, false},
	} {
		ev := cutHistory(tc.from, tc.servedThere, tc.servedElsewhere)
		if tc.change != nil {
			tc.change(ev)
		}
		rules := make(map[string]bool)
		for _, v := range soak.Check(ev) {
			rules[v.Rule] = true
		}
		want := map[string]bool{}
		if tc.broken {
			want["cut off"] = true
		}
		c.Check(rules, qt.DeepEquals, want, qt.Commentf("%s", tc.name))
	}
}
