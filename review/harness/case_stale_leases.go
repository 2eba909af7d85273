package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { plays["stale-leases"] = staleLeases }

// Bounds of the site aguaviva-ops, and the doses of its platform_compact.
const (
	catchUp      = 4600 * time.Millisecond
	contact      = 3 * time.Second
	settle       = time.Second
	staleBehind  = 6 * time.Second
	staleTime    = 12 * time.Second
	watchSilence = time.Second
	// slowAnswer is how long the store's answers take while it forgets its history; platform_slow makes them 50 times as
	// long as usualAnswer.
	slowAnswer = 16 * time.Millisecond
)

// acceptedJob is a batch job that was answered 202.
type acceptedJob struct {
	key, job string
	at       time.Time
}

// staleLeases replaces a storage machine as planned: the new one comes first, and the old one gets SIGTERM once the new one
// has had its catchUpS. The disruption is that the store forgets its history a second later: for a second watches hear
// nothing and answers take longer, and serializable reads are 6 s behind. The check is that jobs that were answered 202 can be read at the end.
func staleLeases(f *fleet, trouble bool) (broken []string) {
	var tenants []map[string]any
	var keys []string
	for n := range 32 {
		k := fmt.Sprintf("key%02d", n)
		keys = append(keys, k)
		tenants = append(tenants, tenant("t"+k, k))
	}
	for range 3 {
		f.addReplica("llm", 8, 6, 20*time.Millisecond)
	}
	var startups []time.Duration
	var seen sync.Mutex
	f.store.setHooks(nil, func(c call) {
		if c.Method == http.MethodPost && c.Kind == "verbena-leases" {
			seen.Lock()
			defer seen.Unlock()
			startups = append(startups, time.Since(f.host(c.Host).startedAt()))
		}
	})
	f.startAll(configuration(1, "llm", tenants))

	// What happens at the store: listings of the host that plans, the new machine's first write, changes of the map.
	planner, old := f.host("storage-zone-a-1"), f.host("storage-zone-c-1")
	next := f.addHost("storage", "storage-zone-c-2", "zone-c")
	listings, firstWrite, maps := make(chan time.Time, 1000), make(chan time.Time, 10), make(chan call, 1000)
	f.store.setHooks(func(c call) {
		if c.Stale && c.Kind == "verbena-leases" && c.Host == planner.name {
			listings <- time.Now()
		}
	}, func(c call) {
		switch {
		case c.Method == http.MethodPost && c.Kind == "verbena-leases" && c.Host == next.name:
			firstWrite <- time.Now()
		case c.Method == http.MethodPut && c.Kind == "verbena-owners":
			f.logf("map of owners written by %s", c.Host)
			maps <- c
		}
	})

	// The new machine starts so that its first write comes soon after a listing of the planning host.
	seen.Lock()
	slices.Sort(startups)
	startup := startups[len(startups)/2] // from the start of a process to its first write
	seen.Unlock()
	f.logf("a process takes %d ms to its first write", startup.Milliseconds())
	listed := <-listings
	time.Sleep(time.Until(listed.Add(time.Second + 240*time.Millisecond - startup)))
	next.start(false)
	born := <-firstWrite
	f.logf("first write of %s", next.name)
	for len(listings) > 0 {
		listed = <-listings
	}
	f.logf("the planning host listed the leases %d ms before", born.Sub(listed).Milliseconds())

	// The old machine is stopped once the new one has had its time, shortly before a listing of the planning host.
	stopAt := listed.Add(-60 * time.Millisecond)
	for stopAt.Before(born.Add(catchUp + 10*time.Millisecond)) {
		stopAt = stopAt.Add(time.Second)
	}
	if late := stopAt.Sub(born) - catchUp; late > 400*time.Millisecond {
		cannotRun("the new machine's first write came at the wrong moment: the old one would be stopped %d ms after its time", late.Milliseconds())
	}
	f.logf("the old machine is stopped %.2f s after the new one's first write", stopAt.Sub(born).Seconds())
	time.Sleep(time.Until(stopAt))
	old.signal(syscall.SIGTERM)
	select {
	case <-maps:
	case <-time.After(3 * time.Second):
		cannotRun("the old machine didn't hand over")
	}
	time.Sleep(time.Until(stopAt.Add(950 * time.Millisecond)))
	if trouble {
		f.logf("the store forgets its history: watches hear nothing for 1 s, serializable reads are 6 s behind")
		f.store.setDelay(slowAnswer)
		f.store.compact(watchSilence, staleBehind)
	}
	var mu sync.Mutex
	var jobs []acceptedJob
	var sending sync.WaitGroup
	submitAll := func(round int) {
		for n, k := range keys {
			sending.Go(func() {
				job := fmt.Sprintf("%04x%04x%08x", round, n, time.Now().UnixNano()&0xffffffff)
				at := f.fronts()[(n+round)%len(f.fronts())]
				status := f.submit(at, k, job, newItems(job, 1))
				f.logf("job %s of %s at %s: %d", job, k, at.name, status)
				if status == http.StatusAccepted {
					mu.Lock()
					defer mu.Unlock()
					jobs = append(jobs, acceptedJob{k, job, time.Now()})
				}
			})
		}
	}
	for round := range 5 {
		submitAll(round)
		time.Sleep(200 * time.Millisecond)
	}
	f.store.setDelay(usualAnswer)
	sending.Wait()
	time.Sleep(time.Until(born.Add(catchUp + staleTime)))
	f.store.endCompaction()
	f.logf("serializable reads are current again")
	time.Sleep(contact + settle + 4*time.Second) // the store is stable again, and machines are in touch

	// The end of the day: each job is read from the start, again after each failure.
	missing := 0
	for _, j := range jobs {
		status, p := 0, page{}
		for n := range 6 {
			at := f.fronts()[n%len(f.fronts())]
			if status, p = f.read(at, j.key, j.job, 0); status == http.StatusOK {
				break
			}
			f.logf("read of job %s of %s at %s: %d", j.job, j.key, at.name, status)
			time.Sleep(50 * time.Millisecond)
		}
		if status != http.StatusOK {
			missing++
			broken = append(broken, fmt.Sprintf("LOST: job %s was answered 202 %.1f s ago and can't be read: %d at each of %d fronts, twice",
				j.job, time.Since(j.at).Seconds(), status, len(f.fronts())))
			continue
		}
		f.logf("job %s: %d of %d results", j.job, len(p.Results), p.Total)
	}
	f.logf("%d jobs accepted, %d can't be read", len(jobs), missing)
	if len(jobs) == 0 {
		cannotRun("no job was accepted")
	}
	return broken
}
