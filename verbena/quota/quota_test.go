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

// fleet runs spenders and a succession of owners over a lossy network.
type fleet struct {
	now      time.Time
	limit    rules.Limit
	hosts    []*quota.Client
	frozen   []time.Time
	ledger   *quota.Ledger
	tenure   quota.Tenure
	ownerOff time.Time
	queue    []delivery
	delay    func() time.Duration
	lose     func() bool
	tickets  quota.Ticket
	admitted []time.Time
	refused  int
	arrived  int
}

type delivery struct {
	at      time.Time
	deliver func()
}

func newFleet(hosts int, limit rules.Limit) *fleet {
	f := &fleet{
		now: start, limit: limit, ledger: quota.NewLedger(timing),
		tenure: quota.Tenure{Epoch: 1, Since: start.Add(-time.Hour)},
		delay:  func() time.Duration { return 2 * time.Millisecond }, lose: func() bool { return false },
		frozen: make([]time.Time, hosts),
	}
	for i := range hosts {
		f.hosts = append(f.hosts, quota.NewClient(ids.HostID(fmt.Sprint("h", i)), 800*time.Millisecond))
	}
	return f
}

func (f *fleet) send(d func()) {
	if !f.lose() {
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
	if f.now.Before(f.frozen[i]) {
		return // a frozen host neither acts nor hears
	}
	for _, cmd := range f.hosts[i].Step(f.now, e) {
		switch cmd := cmd.(type) {
		case quota.Admitted:
			f.admitted = append(f.admitted, f.now)
		case quota.Refused:
			f.refused++
		case quota.SendRequest:
			f.ask(i, cmd.Request)
		case quota.RetryLater:
		}
	}
}

func (f *fleet) ask(i int, a quota.TokenRequest) {
	sent := f.now
	timeout := f.now.Add(time.Second)
	answered := false
	f.send(func() {
		if f.now.Before(f.ownerOff) {
			return
		}
		answer := f.ledger.Grant(f.now, f.tenure, f.limit, a)
		f.send(func() {
			if f.now.Before(timeout) && !answered {
				answered = true
				f.step(i, quota.ResponseReceived{Request: a, Response: answer, Sent: sent})
			}
		})
	})
	f.queue = append(f.queue, delivery{timeout, func() {
		if !answered {
			answered = true
			f.step(i, quota.RequestFailed{Request: a})
		}
	}})
}

func (f *fleet) arrive(i int) {
	f.tickets++
	f.arrived++
	f.step(i, quota.TokenNeeded{Ticket: f.tickets, Bucket: bucket})
}

func (f *fleet) tick() {
	for i := range f.hosts {
		f.step(i, quota.Tick{})
	}
}

// changeOwner loses the owner and all it knows; a successor comes later.
func (f *fleet) changeOwner(gap time.Duration) {
	f.ownerOff = f.now.Add(gap)
	f.ledger = quota.NewLedger(timing)
	f.tenure = quota.Tenure{Epoch: f.tenure.Epoch + 1, Since: f.ownerOff}
}

// handOver changes the owner in order.
func (f *fleet) handOver() {
	f.tenure = quota.Tenure{
		Epoch: f.tenure.Epoch + 1, Since: f.now, Complete: f.tenure.UntrackedAreFull(f.now, timing),
		HandedOver: f.ledger.Balances(f.now, f.tenure, func(quota.Bucket) bool { return true }),
	}
	f.ledger = quota.NewLedger(timing)
}

// excess checks every window strictly: it returns the most by which burst+rate*t
// was exceeded.
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

// TestNoExcess drives random load, losses, delays, frozen hosts and owners that
// come and go, and checks that no window admits more than its limit.
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
		f.lose = func() bool { return rapid.IntRange(0, 9).Draw(rt, "lost") == 0 }
		for range rapid.IntRange(10, 150).Draw(rt, "steps") {
			switch rapid.IntRange(0, 30).Draw(rt, "what") {
			case 0:
				f.changeOwner(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "gap")) * time.Millisecond)
			case 1:
				i := rapid.IntRange(0, hosts-1).Draw(rt, "host")
				f.frozen[i] = f.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(rt, "freeze")) * time.Millisecond)
			default:
				i := rapid.IntRange(0, hosts-1).Draw(rt, "host")
				for range rapid.IntRange(0, 60).Draw(rt, "burst of arrivals") {
					f.arrive(i)
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

// run loads a fleet for a while with uneven balancing at a share of the rate.
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
			f.arrive(i)
		}
	}
}

// TestRefusedInsideTheRate counts refusals at 80 in 100 of the rate, in quiet
// running and around the loss of the owner.
func TestRefusedInsideTheRate(t *testing.T) {
	for _, tc := range []struct {
		name   string
		upset  func(f *fleet)
		within float64
	}{
		{"quiet", func(*fleet) {}, 0.001},
		{"owner hands over", func(f *fleet) { f.handOver() }, 0.001},
		{"owner lost for 8 s", func(f *fleet) { f.changeOwner(8 * time.Second) }, 0.01},
		{"owner lost twice", func(f *fleet) {
			f.changeOwner(8 * time.Second)
			f.run(10*time.Second, 32)
			f.changeOwner(8 * time.Second)
		}, 0.01},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(9, rules.Limit{RatePerSecond: 40, Burst: 80})
			f.run(20*time.Second, 32)
			tc.upset(f)
			f.run(100*time.Second, 32)
			refused := float64(f.refused) / float64(f.arrived)
			t.Logf("refused %d of %d", f.refused, f.arrived)
			c.Assert(refused <= tc.within, qt.IsTrue, qt.Commentf("refused %.4f", refused))
			c.Assert(excess(f.limit, f.admitted) <= rounding, qt.IsTrue)
		})
	}
}

// TestSuccessorGrantsAtOnce: an owner that follows a lost one grants what its own rate has made since,
// while all that the lost one may have given still counts against the burst.
func TestSuccessorGrantsAtOnce(t *testing.T) {
	c := qt.New(t)
	limit := rules.Limit{RatePerSecond: 400, Burst: 800}
	l := quota.NewLedger(timing)
	tenure := quota.Tenure{Epoch: 2, Since: start}
	a := l.Grant(start.Add(500*time.Millisecond), tenure, limit, quota.TokenRequest{Host: "h0", Bucket: bucket, Want: 100})
	// A tenth of the rate is surely not in a former share: 20 tokens in half a second.
	c.Assert(a.Grant.Tokens, qt.Equals, 20)
}

// TestExcessLoad checks that a tenant at five times its rate gets its rate and no more.
func TestExcessLoad(t *testing.T) {
	c := qt.New(t)
	f := newFleet(9, rules.Limit{RatePerSecond: 40, Burst: 80})
	f.run(60*time.Second, 200)
	c.Assert(excess(f.limit, f.admitted) <= rounding, qt.IsTrue)
	got := float64(len(f.admitted)) / 60
	c.Assert(got >= 0.95*40, qt.IsTrue, qt.Commentf("admitted %.1f/s of 40/s", got))
}

// TestWholeBurst checks that a full bucket lets its whole burst through one host.
func TestWholeBurst(t *testing.T) {
	for _, burst := range []float64{1, 10, 80} {
		c := qt.New(t)
		f := newFleet(9, rules.Limit{RatePerSecond: burst / 2, Burst: burst})
		for range int(burst) {
			f.arrive(0)
			f.advance(5 * time.Millisecond)
		}
		f.advance(100 * time.Millisecond)
		c.Check(f.refused, qt.Equals, 0, qt.Commentf("burst %g", burst))
		c.Check(len(f.admitted), qt.Equals, int(burst))
	}
}
