package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/quota"
	"verbenaledge.example/verbena/rules"
)

var (
	start  = time.Unix(1_000_000, 0)
	timing = quota.Timing{GrantTTL: 1500 * time.Millisecond, ShareTTL: 20 * time.Second, MaxTransit: 8 * time.Second, Margin: 200 * time.Millisecond}
	bucket = quota.Bucket{Workspace: "w", Service: "m"}
)

// fleet runs clients and a succession of owners over a lossy network.
type fleet struct {
	now         time.Time
	limit       rules.Limit
	hosts       []*quota.Client
	frozenUntil []time.Time
	ledger      *quota.Ledger
	tenure      quota.Tenure
	ownerBackAt time.Time
	queue       []delivery
	delay       func() time.Duration
	isLost      func() bool
	lastTicket  quota.Ticket
	admitted    []time.Time
	refused     int
	requests    int
}

type delivery struct {
	at      time.Time
	deliver func()
}

func newFleet(hosts int, limit rules.Limit) *fleet {
	f := &fleet{
		now: start, limit: limit, ledger: quota.NewLedger(timing),
		tenure: quota.Tenure{Epoch: 1, Since: start.Add(-time.Hour)},
		delay:  func() time.Duration { return 2 * time.Millisecond }, isLost: func() bool { return false },
		frozenUntil: make([]time.Time, hosts),
	}
	for i := range hosts {
		f.hosts = append(f.hosts, quota.NewClient(ids.HostID(fmt.Sprint("h", i)), 800*time.Millisecond))
	}
	return f
}

func (f *fleet) send(d func()) {
	if !f.isLost() {
		f.queue = append(f.queue, delivery{f.now.Add(f.delay()), d})
	}
}

func (f *fleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for {
		slices.SortStableFunc(f.queue, func(x, y delivery) int { return x.at.Compare(y.at) })
		if len(f.queue) == 0 || f.queue[0].at.After(end) {
			break
		}
		next := f.queue[0]
		f.queue = f.queue[1:]
		f.now = next.at
		next.deliver()
	}
	f.now = end
}

func (f *fleet) step(i int, e quota.Event) {
	if f.now.Before(f.frozenUntil[i]) {
		return // a frozen host neither acts nor receives
	}
	for _, cmd := range f.hosts[i].Step(f.now, e) {
		switch cmd := cmd.(type) {
		case quota.Admitted:
			f.admitted = append(f.admitted, f.now)
		case quota.Refused:
			f.refused++
		case quota.SendRequest:
			f.requestTokens(i, cmd.Request)
		case quota.RetryLater:
		}
	}
}

func (f *fleet) requestTokens(i int, req quota.TokenRequest) {
	sentAt := f.now
	timeout := f.now.Add(time.Second)
	answered := false
	f.send(func() {
		if f.now.Before(f.ownerBackAt) {
			return
		}
		resp := f.ledger.Grant(f.now, f.tenure, f.limit, req)
		f.send(func() {
			if f.now.Before(timeout) && !answered {
				answered = true
				f.step(i, quota.ResponseReceived{Request: req, Response: resp, SentAt: sentAt})
			}
		})
	})
	f.queue = append(f.queue, delivery{timeout, func() {
		if !answered {
			answered = true
			f.step(i, quota.RequestFailed{Request: req})
		}
	}})
}

func (f *fleet) newRequest(i int) {
	f.lastTicket++
	f.requests++
	f.step(i, quota.TokenNeeded{Ticket: f.lastTicket, Bucket: bucket})
}

func (f *fleet) tick() {
	for i := range f.hosts {
		f.step(i, quota.Tick{})
	}
}

// loseOwner loses the owner with its state. The next owner starts after the gap.
func (f *fleet) loseOwner(gap time.Duration) {
	f.ownerBackAt = f.now.Add(gap)
	f.ledger = quota.NewLedger(timing)
	f.tenure = quota.Tenure{Epoch: f.tenure.Epoch + 1, Since: f.ownerBackAt}
}

// handOver makes the owner hand over to a new one.
func (f *fleet) handOver() {
	f.tenure = quota.Tenure{
		Epoch: f.tenure.Epoch + 1, Since: f.now, Complete: f.tenure.UntrackedAreFull(f.now, timing),
		HandedOver: f.ledger.Balances(f.now, f.tenure, func(quota.Bucket) bool { return true }),
	}
	f.ledger = quota.NewLedger(timing)
}

// excess returns the most by which any window of length t exceeded burst+rate*t.
func excess(l rules.Limit, admitted []time.Time) float64 {
	level, last, worst := l.Burst, start, 0.0
	for _, at := range admitted {
		level = min(l.Burst, level+l.RatePerSecond*at.Sub(last).Seconds())
		last = at
		level--
		worst = max(worst, -level)
	}
	return worst
}

const rounding = 1e-6

// TestNoExcess checks that no window admits more than its limit under random load, lost and delayed messages,
// frozen hosts and lost owners.
func TestNoExcess(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.IntRange(1, 9).Draw(rt, "hosts")
		limit := rules.Limit{
			RatePerSecond: rapid.Float64Range(0.5, 200).Draw(rt, "rate"),
			Burst:         float64(rapid.IntRange(1, 200).Draw(rt, "burst")),
		}
		f := newFleet(hosts, limit)
		f.delay = func() time.Duration {
			return time.Duration(rapid.IntRange(0, 1500).Draw(rt, "delay")) * time.Millisecond
		}
		f.isLost = func() bool { return rapid.IntRange(0, 9).Draw(rt, "lost") == 0 }
		for range rapid.IntRange(10, 150).Draw(rt, "steps") {
			switch rapid.IntRange(0, 30).Draw(rt, "what") {
			case 0:
				f.loseOwner(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "gap")) * time.Millisecond)
			case 1:
				i := rapid.IntRange(0, hosts-1).Draw(rt, "host")
				f.frozenUntil[i] = f.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(rt, "freeze")) * time.Millisecond)
			default:
				i := rapid.IntRange(0, hosts-1).Draw(rt, "host")
				for range rapid.IntRange(0, 60).Draw(rt, "burst of arrivals") {
					f.newRequest(i)
				}
			}
			f.advance(time.Duration(rapid.IntRange(1, 800).Draw(rt, "pause")) * time.Millisecond)
			f.tick()
		}
		if x := excess(limit, f.admitted); x > rounding {
			rt.Fatalf("admitted %.3f over the limit of %v", x, limit)
		}
	})
}

// run sends perSecond requests for a while, unevenly distributed over the hosts.
func (f *fleet) run(d time.Duration, perSecond float64) {
	const tick = 25 * time.Millisecond
	due := 0.0
	n := 0
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(tick)
		f.tick()
		for due += perSecond * tick.Seconds(); due >= 1; due-- {
			// Half of the requests go to the first host.
			i := 0
			if n%2 == 1 {
				i = (n / 2) % len(f.hosts)
			}
			n++
			f.newRequest(i)
		}
	}
}

// TestFewRefusalsBelowRate counts refusals at 80 % of the rate, in normal operation and around the loss of the
// owner.
func TestFewRefusalsBelowRate(t *testing.T) {
	for _, tc := range []struct {
		name       string
		disturb    func(f *fleet)
		maxRefused float64
	}{
		{"normal operation", func(*fleet) {}, 0.001},
		{"owner hands over", func(f *fleet) { f.handOver() }, 0.001},
		{"owner lost for 8 s", func(f *fleet) { f.loseOwner(8 * time.Second) }, 0.01},
		{"owner lost twice", func(f *fleet) {
			f.loseOwner(8 * time.Second)
			f.run(10*time.Second, 32)
			f.loseOwner(8 * time.Second)
		}, 0.01},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(9, rules.Limit{RatePerSecond: 40, Burst: 80})
			f.run(20*time.Second, 32)
			tc.disturb(f)
			f.run(100*time.Second, 32)
			refused := float64(f.refused) / float64(f.requests)
			t.Logf("refused %d of %d", f.refused, f.requests)
			c.Assert(refused <= tc.maxRefused, qt.IsTrue, qt.Commentf("refused %.4f", refused))
			c.Assert(excess(f.limit, f.admitted) <= rounding, qt.IsTrue)
		})
	}
}

// TestSuccessorGrantsAtOnce checks that the owner after a lost one grants the tokens made at its own rate since
// then, although everything that the lost one may have given still counts against the burst.
func TestSuccessorGrantsAtOnce(t *testing.T) {
	c := qt.New(t)
	limit := rules.Limit{RatePerSecond: 400, Burst: 800}
	l := quota.NewLedger(timing)
	tenure := quota.Tenure{Epoch: 2, Since: start}
	resp := l.Grant(start.Add(500*time.Millisecond), tenure, limit, quota.TokenRequest{Host: "h0", Bucket: bucket, Want: 100})
	// A tenth of the rate can't be in a former owner's shares: 20 tokens in half a second.
	c.Assert(resp.Grant.Tokens, qt.Equals, 20)
}

// TestExcessLoad checks that a workspace at five times its rate gets its rate and no more.
func TestExcessLoad(t *testing.T) {
	c := qt.New(t)
	f := newFleet(9, rules.Limit{RatePerSecond: 40, Burst: 80})
	f.run(60*time.Second, 200)
	c.Assert(excess(f.limit, f.admitted) <= rounding, qt.IsTrue)
	got := float64(len(f.admitted)) / 60
	c.Assert(got >= 0.95*40, qt.IsTrue, qt.Commentf("admitted %.1f/s of 40/s", got))
}

// TestWholeBurst checks that one host can spend the whole burst of a full bucket.
func TestWholeBurst(t *testing.T) {
	for _, b := range []float64{1, 10, 80} {
		c := qt.New(t)
		f := newFleet(9, rules.Limit{RatePerSecond: b / 2, Burst: b})
		for range int(b) {
			f.newRequest(0)
			f.advance(5 * time.Millisecond)
		}
		f.advance(100 * time.Millisecond)
		c.Check(f.refused, qt.Equals, 0, qt.Commentf("burst %g", b))
		c.Check(len(f.admitted), qt.Equals, int(b))
	}
}
