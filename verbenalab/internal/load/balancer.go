// Package load sends requests to daemons as callers would and measures the answers.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	checkEvery   = 200 * time.Millisecond
	checkTimeout = 500 * time.Millisecond
)

// Target is a daemon as the platform's balancer sees it.
type Target struct {
	Caller string
	Admin  string
	// Weight is the daemon's share of requests.
	Weight float64
}

// Balancer stands in for the platform's: it sends requests to daemons that say
// that they are ready, by weight.
type Balancer struct {
	targets []Target
	http    *http.Client

	mu    sync.Mutex
	ready []bool
}

// NewBalancer returns a balancer that takes every target for ready until it checks.
func NewBalancer(targets []Target) *Balancer {
	b := &Balancer{targets: targets, http: &http.Client{Timeout: checkTimeout}, ready: make([]bool, len(targets))}
	for i := range b.ready {
		b.ready[i] = true
	}
	return b
}

// Run checks the targets until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(checkEvery)
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
	resp, err := b.http.Get("http://" + b.targets[i].Admin + "/readyz")
	ready := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close() // only the status counts
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[i] = ready
}

// Pick returns the caller address of a ready target, or of any if none is ready.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0.0
	for i, t := range b.targets {
		if b.ready[i] {
			total += t.Weight
		}
	}
	at := rand.Float64() * total
	for i, t := range b.targets {
		if !b.ready[i] {
			continue
		}
		if at -= t.Weight; at < 0 {
			return t.Caller
		}
	}
	return b.targets[rand.IntN(len(b.targets))].Caller
}
