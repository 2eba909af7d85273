package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { plays["escaped-results"] = escapedResults }

// outage is how long the store is down, as among the troubles of the site; on one of its days it is down for 6.2 s.
const outage = 4500 * time.Millisecond

// tableRow is what the items' texts consist of.
const tableRow = "<tr><td>1</td><td>2</td><td>3</td></tr>"

// escapedResults submits a batch job of 160 items whose texts are tables of about 4 kB each. The disruption is that the
// store is down for 4.5 s (it answers 503), so that results wait. The check is that every item is listed at the end.
func escapedResults(f *fleet, trouble bool) (broken []string) {
	const events = 10
	data := strings.Repeat(tableRow, 11)
	for range 3 {
		p := f.addReplica("llm", 8, events, 60*time.Millisecond)
		p.data = func(string, int) string { return data }
	}
	f.startAll(configuration(1, "llm", []map[string]any{tenant("evening", "key")}))
	const job = "5a3c00aa11bb22cc"
	items := newItems(job, 160)
	for n := range items {
		items[n].Headers["X-Verbenaledge-Token-Usage"], items[n].Tokens = "250,3000", 3250
	}
	if status := f.submit(f.fronts()[0], "key", job, items); status != http.StatusAccepted {
		cannotRun("the job was answered %d", status)
	}
	f.logf("job %s with %d items accepted, %d bytes of text an item", job, len(items), events*(len(data)+1)-1)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		f.logf("the store is down")
		f.store.setDown(true)
		time.Sleep(outage)
		f.store.setDown(false)
		f.logf("the store is up")
	}
	// finishS, and all the time that it takes until the job has been calm for long.
	want := strings.TrimSuffix(strings.Repeat(data+"\n", events), "\n")
	var p page
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		var results []result
		for {
			status, part := f.read(f.fronts()[1], "key", job, len(results))
			if status != http.StatusOK || len(part.Results) == 0 {
				p.Total = max(p.Total, part.Total)
				break
			}
			results = append(results, part.Results...)
		}
		p.Results = results
		f.logf("%d of %d items are listed", len(p.Results), len(items))
		if len(p.Results) == len(items) {
			break
		}
	}
	listed := map[string]bool{}
	for _, r := range p.Results {
		listed[r.ID] = true
		if r.State != "completed" || r.Output != want {
			broken = append(broken, fmt.Sprintf("MIXED: item %s is listed as %s with %d bytes", r.ID, r.State, len(r.Output)))
		}
	}
	now, running, last := time.Now(), 0, time.Time{}
	for _, r := range f.replicas {
		r.mu.Lock()
		running += r.running
		if r.lastEnd.After(last) {
			last = r.lastEnd
		}
		r.mu.Unlock()
	}
	f.logf("replicas are at work on %d requests; the last run ended %.1f s ago", running, now.Sub(last).Seconds())
	if missing := len(items) - len(listed); missing > 0 && running == 0 && now.Sub(last) > 5*time.Second {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d items are listed neither as completed nor as errored %.0f s after the last run ended",
			missing, len(items), now.Sub(last).Seconds()))
	}
	return broken
}
