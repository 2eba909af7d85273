package main

import (
	"bytes"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { plays["half-deleted"] = halfDeleted }

const (
	// keepResults is statusS of this case: 5 s in place of 120, so that a job's results expire within the script.
	keepResults = 5
	// expiry is when the owner deletes a job: statusS after its submission, and a margin of the product of 60 s.
	expiry = keepResults*time.Second + 60*time.Second
	// lostShare and lostTime are how many writes the store carries out without an answer, and how long.
	lostShare, lostTime = 0.3, 4500 * time.Millisecond
	recovery            = 12 * time.Second
)

// halfDeleted submits a large batch job, which is completed, read, and kept for statusS. The storage host that owns it is
// stopped and started again, as planned. The disruption is that answers of the store are lost while the job's objects are
// deleted. Then the tenant submits another job, and the host that owns it is stopped and started again, too. The check is
// that this other job can be read at the end.
func halfDeleted(f *fleet, trouble bool) (broken []string) {
	f.bounds = map[string]any{"statusS": keepResults}
	for range 3 {
		f.addReplica("llm", 8, 6, 20*time.Millisecond)
	}
	f.startAll(configuration(1, "llm", []map[string]any{tenant("evening", "key")}))
	const large, small = "5a3c00aa11bb22cc", "5a3c00aa11bb22dd"
	items := newItems(large, 28)
	for n := range items {
		items[n].Body = bytes.Repeat([]byte{byte('a' + n%26)}, 100_000)
	}
	submitted := time.Now()
	if status := f.submit(f.fronts()[0], "key", large, items); status != http.StatusAccepted {
		cannotRun("the large job was answered %d", status)
	}
	f.logf("large job accepted: %d items, bodies of 100 kB", len(items))
	var p page
	for end := time.Now().Add(20 * time.Second); len(p.Results) < len(items) && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		_, p = f.read(f.fronts()[1], "key", large, 0)
	}
	f.logf("large job: %d of %d results", len(p.Results), len(items))
	if len(p.Results) < len(items) {
		cannotRun("the large job wasn't completed")
	}
	restart := func(h *host) {
		h.signal(syscall.SIGTERM)
		h.waitEnded()
		time.Sleep(500 * time.Millisecond)
		h.start(false)
	}
	restart(f.jobOwner(large))
	time.Sleep(time.Until(submitted.Add(expiry - 500*time.Millisecond)))
	if trouble {
		f.logf("the store loses %.0f %% of its answers to writes", 100*lostShare)
		f.store.setLost(lostShare)
	}
	time.Sleep(lostTime)
	f.store.setLost(0)
	f.logf("the store answers all calls")
	time.Sleep(500 * time.Millisecond)
	if status := f.submit(f.fronts()[0], "key", small, newItems(small, 3)); status != http.StatusAccepted {
		cannotRun("the small job was answered %d", status)
	}
	f.logf("small job accepted")
	restart(f.jobOwner(small))
	time.Sleep(recovery)
	status := 0
	for n := range 6 {
		at := f.fronts()[n%len(f.fronts())]
		if status, p = f.read(at, "key", small, 0); status == http.StatusOK {
			break
		}
		f.logf("read of the small job at %s: %d", at.name, status)
	}
	f.logf("small job: %d, %d of %d results", status, len(p.Results), 3)
	if status != http.StatusOK {
		broken = append(broken, fmt.Sprintf("LOST: job %s was answered 202 and can't be read: %d at each front, twice", small, status))
	}
	return broken
}
