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
	// probeCallers each send one request per probeInterval, half of them to RouteApp and half to RouteResume.
	probeCallers  = 10
	probeInterval = 200 * time.Millisecond
	// probeRate is a rate limit far above the rate of the probes.
	probeRate = 10_000
	// faultDuration is the duration of each fault, observeAfterFault the time that probes continue afterwards: a lease is
	// broken after three seconds and taken over within one more.
	faultDuration     = 4 * time.Second
	observeAfterFault = 5 * time.Second
)

// Recovery is the effect of one fault on callers.
type Recovery struct {
	Kind FaultKind
	// Target is the host or server that the fault was injected into.
	Target string
	Sent   int
	// Failed counts requests without a complete response, after one retry at the other entry host.
	Failed int
	// FirstSecond is the share of the requests sent in the first second of the fault that were answered.
	FirstSecond float64
	// Downtime is the time from the start of the fault until the last failed request was sent, 0 if none failed.
	Downtime time.Duration
	// Slowest is the longest time to a complete response.
	Slowest time.Duration
}

// MeasureRecoveries injects the faults one at a time while callers send probes at a constant rate.
func MeasureRecoveries(ctx context.Context, o Options, kinds []FaultKind) (list []Recovery, err error) {
	o.Rate = probeRate
	e, err := NewEnvironment(o)
	if err != nil {
		return nil, err
	}
	defer func() { _ = e.Close() }() // what fails to stop ends with this process
	c := &Callers{env: e}
	for _, k := range kinds {
		for _, t := range e.measuredTargets(k) {
			e.recoverAll()
			if !e.eventually(ctx, startTimeout, "start", "every host serves", c.allServing) {
				return list, ctx.Err()
			}
			list = append(list, e.measureRecovery(ctx, c, k, t))
		}
	}
	return list, ctx.Err()
}

// probe is one request of a probing caller, with its retry.
type probe struct {
	sent, ended time.Time
	answered    bool
}

// measuredTargets returns the targets that a fault is measured at: the first entry host and the dispatcher for faults
// of hosts, otherwise the first target.
func (e *Environment) measuredTargets(k FaultKind) []int {
	if k.fault().targetCount != hostCount || strings.HasPrefix(string(k), "server_") {
		return []int{0}
	}
	dispatcher, _ := e.placers()
	for n, h := range e.hosts {
		if h == dispatcher {
			return []int{0, n}
		}
	}
	return []int{0}
}

// targetName returns the name of a fault's target.
func (e *Environment) targetName(k FaultKind, target int) string {
	switch {
	case strings.HasPrefix(string(k), "server_"):
		return e.servers[target].server.ID
	case k.fault().targetCount == 1:
		return ""
	case target == 0:
		return "entry host"
	}
	return "dispatcher"
}

func (e *Environment) measureRecovery(ctx context.Context, c *Callers, k FaultKind, target int) (r Recovery) {
	callersCtx, stopCallers := context.WithCancel(ctx)
	var (
		mu       sync.Mutex
		probes   []probe
		callers  sync.WaitGroup
		lastSeed atomic.Uint64
	)
	for range probeCallers {
		callers.Go(func() {
			ca := &caller{
				group: c, neverAbandons: true, random: rand.New(rand.NewPCG(e.options.Seed, lastSeed.Add(1))),
				client: &http.Client{Transport: &http.Transport{}},
			}
			defer ca.client.CloseIdleConnections()
			for callersCtx.Err() == nil {
				p := ca.sendProbe()
				mu.Lock()
				probes = append(probes, p)
				mu.Unlock()
				time.Sleep(time.Until(p.sent.Add(probeInterval)))
			}
		})
	}
	time.Sleep(time.Second)
	faultStart := time.Now()
	k.fault().begin(e, target)
	time.Sleep(faultDuration)
	k.fault().end(e, target)
	time.Sleep(observeAfterFault)
	stopCallers()
	callers.Wait()
	r = summarize(k, faultStart, probes)
	r.Target = e.targetName(k, target)
	return r
}

// sendProbe sends one request, and retries it at the other entry host if the first broke it off or answered 503.
func (ca *caller) sendProbe() (p probe) {
	p.sent = time.Now()
	route := []Route{RouteApp, RouteResume}[ca.random.IntN(2)]
	first := ca.random.IntN(entryHosts)
	for n := range entryHosts {
		c := ca.requestTo(ca.group.env.hosts[(first+n)%entryHosts], route, keyWithinRate)
		if p.answered = c.Status == http.StatusOK && c.Complete; p.answered || c.Status > 0 && c.Status != http.StatusServiceUnavailable {
			break
		}
	}
	p.ended = time.Now()
	return p
}

func summarize(k FaultKind, faultStart time.Time, probes []probe) (r Recovery) {
	r.Kind = k
	first, answeredInFirst := 0, 0
	slices.SortFunc(probes, func(x, y probe) int { return x.sent.Compare(y.sent) })
	for _, p := range probes {
		sinceFault := p.sent.Sub(faultStart)
		if sinceFault < 0 {
			continue
		}
		r.Sent++
		if sinceFault < time.Second {
			first++
		}
		if !p.answered {
			r.Failed++
			r.Downtime = sinceFault
			continue
		}
		if sinceFault < time.Second {
			answeredInFirst++
		}
		r.Slowest = max(r.Slowest, p.ended.Sub(p.sent))
	}
	r.FirstSecond = float64(answeredInFirst) / float64(max(1, first))
	return r
}
