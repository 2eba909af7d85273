package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { plays["dotted-id"] = dottedID }

// dottedID submits a batch job whose id holds a dot, reads its first results, ends it, and reads it again. The disruption
// is that the storage machine that owns it is killed after the end was acknowledged, and is back within a second. The check
// is that results that had been read come again.
func dottedID(f *fleet, trouble bool) (broken []string) {
	for range 3 {
		f.addReplica("llm", 8, 6, 20*time.Millisecond)
	}
	f.startAll(configuration(1, "llm", []map[string]any{tenant("evening", "key")}))
	const job = "drafts.2026-12-05"
	items := newItems("abcdef", 12)
	if status := f.submit(f.fronts()[0], "key", job, items); status != http.StatusAccepted {
		cannotRun("the job was answered %d", status)
	}
	f.logf("job %s with %d items accepted", job, len(items))
	var before page
	for end := time.Now().Add(20 * time.Second); len(before.Results) < len(items) && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		status, p := f.read(f.fronts()[1], "key", job, 0)
		f.logf("read: %d, %d results", status, len(p.Results))
		if status == http.StatusOK {
			before = p
		}
	}
	if len(before.Results) == 0 {
		cannotRun("no result was listed")
	}
	status, _ := f.do(f.fronts()[2], http.MethodDelete, "/lots/"+job, "key", nil, nil, 5*time.Second)
	f.logf("end of the job: %d", status)
	if status != http.StatusOK {
		cannotRun("the end was answered %d", status)
	}
	if trouble {
		owner := f.jobOwner(job)
		f.logf("the job's owner is %s", owner.name)
		owner.signal(syscall.SIGKILL)
		owner.waitEnded()
		time.Sleep(500 * time.Millisecond)
		owner.start(false)
	}
	time.Sleep(12 * time.Second) // recoveryS
	status, after := f.readSettled("key", job, 10*time.Second)
	f.logf("read at the end: %d, %d results of %d that had been read", status, len(after.Results), len(before.Results))
	for n, r := range before.Results {
		if n >= len(after.Results) {
			return append(broken, fmt.Sprintf("LOST: result %s at position %d had been read and doesn't come again (read: %d, %d results)",
				r.ID, n, status, len(after.Results)))
		}
		if after.Results[n] != r {
			return append(broken, fmt.Sprintf("TWICE: position %d holds another result than before", n))
		}
	}
	return broken
}
