package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// probeCallers send one request each probeEvery, half of them plain and half streams.
	probeCallers = 10
	probeEvery   = 200 * time.Millisecond
	// probeRate is far above what the probes ask.
	probeRate = 10_000
	// troubleTime is how long each trouble lasts, afterTime how long is looked at afterwards: a lease is
	// broken after three seconds and taken over within another.
	troubleTime = 4 * time.Second
	afterTime   = 5 * time.Second
)

// Recovery is what one trouble cost callers.
type Recovery struct {
	Kind FaultKind
	// Where is the host or server that the trouble struck.
	Target string
	Sent   int
	// Lost counts requests without a whole answer, after one more try at the other host.
	Failed int
	// FirstSecond is the share that was answered of what was sent in the first second.
	FirstSecond float64
	// BackAfter is when the last request that was lost had been sent, after the beginning; 0 if none was.
	Downtime time.Duration
	// Slowest is the longest time to a whole answer.
	Slowest time.Duration
}

// Recoveries plays one trouble after another, each alone, beside steady callers.
func MeasureRecoveries(ctx context.Context, o Options, kinds []FaultKind) (list []Recovery, err error) {
	o.Rate = probeRate
	t, err := NewTown(o)
	if err != nil {
		return nil, err
	}
	defer func() { _ = t.Close() }() // all that it started ends with this process
	c := &Callers{town: t}
	for _, k := range kinds {
		for _, target := range t.targets(k) {
			t.heal()
			if !t.eventually(ctx, startTime, "start", "every host serves", c.serves) {
				return list, ctx.Err()
			}
			list = append(list, t.recovery(ctx, c, k, target))
		}
	}
	return list, ctx.Err()
}

// probe is a request of a steady caller.
type probe struct {
	sent, ended time.Time
	answered    bool
}

// targets are those that a trouble is measured at: a host that callers reach and the one that dispatches,
// or the first of what it strikes.
func (t *Town) targets(k FaultKind) []int {
	if k.of().targets != hosts || strings.HasPrefix(string(k), "server_") {
		return []int{0}
	}
	dispatcher, _ := t.seats()
	for n, h := range t.hosts {
		if h == dispatcher {
			return []int{0, n}
		}
	}
	return []int{0}
}

// where names the target of a trouble.
func (t *Town) where(k FaultKind, target int) string {
	switch {
	case strings.HasPrefix(string(k), "server_"):
		return t.servers[target].server.ID
	case k.of().targets == 1:
		return ""
	case target == 0:
		return "callers' host"
	}
	return "dispatcher"
}

func (t *Town) recovery(ctx context.Context, c *Callers, k FaultKind, target int) (r Recovery) {
	calling, hangUp := context.WithCancel(ctx)
	var (
		mu     sync.Mutex
		probes []probe
		all    sync.WaitGroup
		serial atomic.Uint64
	)
	for range probeCallers {
		all.Go(func() {
			a := &agent{callers: c, stays: true, random: rand.New(rand.NewPCG(t.options.Seed, serial.Add(1))), http: &http.Client{Transport: &http.Transport{}}}
			defer a.http.CloseIdleConnections()
			for calling.Err() == nil {
				p := a.probe()
				mu.Lock()
				probes = append(probes, p)
				mu.Unlock()
				time.Sleep(time.Until(p.sent.Add(probeEvery)))
			}
		})
	}
	time.Sleep(time.Second)
	begin := time.Now()
	k.of().begin(t, target)
	time.Sleep(troubleTime)
	k.of().end(t, target)
	time.Sleep(afterTime)
	hangUp()
	all.Wait()
	r = sum(k, begin, probes)
	r.Target = t.where(k, target)
	return r
}

// probe sends one request, and again to the other host if the first broke it off or was not ready.
func (a *agent) probe() (p probe) {
	p.sent = time.Now()
	route := []Route{RouteApp, RouteResume}[a.random.IntN(2)]
	first := a.random.IntN(fronts)
	for try := range fronts {
		c := a.requestTo(a.callers.town.hosts[(first+try)%fronts], route, keyUsual)
		if p.answered = c.Status == http.StatusOK && c.Whole; p.answered || c.Status > 0 && c.Status != http.StatusServiceUnavailable {
			break
		}
	}
	p.ended = time.Now()
	return p
}

func sum(k FaultKind, begin time.Time, probes []probe) (r Recovery) {
	r.Kind = k
	first, firstAnswered := 0, 0
	slices.SortFunc(probes, func(x, y probe) int { return x.sent.Compare(y.sent) })
	for _, p := range probes {
		after := p.sent.Sub(begin)
		if after < 0 {
			continue
		}
		r.Sent++
		if after < time.Second {
			first++
		}
		if !p.answered {
			r.Failed++
			r.Downtime = after
			continue
		}
		if after < time.Second {
			firstAnswered++
		}
		r.Slowest = max(r.Slowest, p.ended.Sub(p.sent))
	}
	r.FirstSecond = float64(firstAnswered) / float64(max(1, first))
	return r
}
