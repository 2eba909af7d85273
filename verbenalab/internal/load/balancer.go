// Package load generates load as callers do: it sends chat requests and batch jobs to daemons through a balancer, and
// measures latencies.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	checkInterval = 200 * time.Millisecond
	checkTimeout  = 500 * time.Millisecond
)

// Target is a daemon to which a balancer sends requests.
type Target struct {
	CallerAddress string
	AdminAddress  string
	// Weight is the daemon's share of the requests, relative to the other targets.
	Weight float64
}

// Balancer is a stand-in for the platform's load balancer. It distributes requests by weight over the daemons whose
// readiness check succeeds.
type Balancer struct {
	targets []Target
	http    *http.Client

	mu    sync.Mutex
	ready []bool
}

// NewBalancer returns a balancer that regards every target as ready until its first check.
func NewBalancer(targets []Target) *Balancer {
	b := &Balancer{targets: targets, http: &http.Client{Timeout: checkTimeout}, ready: make([]bool, len(targets))}
	for i := range b.ready {
		b.ready[i] = true
	}
	return b
}

// Run checks the targets' readiness periodically until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		var wg sync.WaitGroup
		for i := range b.targets {
			wg.Go(func() { b.check(i) })
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Balancer) check(i int) {
	resp, err := b.http.Get("http://" + b.targets[i].AdminAddress + "/readyz")
	ready := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close() // only the status counts
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[i] = ready
}

// Pick returns the caller address of a random ready target, or of any target if none is ready.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0.0
	for i, t := range b.targets {
		if b.ready[i] {
			total += t.Weight
		}
	}
	remaining := rand.Float64() * total
	for i, t := range b.targets {
		if !b.ready[i] {
			continue
		}
		if remaining -= t.Weight; remaining < 0 {
			return t.CallerAddress
		}
	}
	return b.targets[rand.IntN(len(b.targets))].CallerAddress
}
