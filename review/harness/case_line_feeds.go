package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { plays["line-feeds"] = lineFeeds }

// lineFeeds submits a batch job whose texts have paragraphs: the data of some events begins with line feeds, which an event
// stream carries as empty data lines. Without the disruption the line feeds stand within the data. The check is that the
// text of a completed item is the data of all events in order, separated by line feeds.
func lineFeeds(f *fleet, trouble bool) (broken []string) {
	const events = 6
	text := func(id string, n int) string {
		switch {
		case n%3 == 0 && trouble:
			return fmt.Sprintf("\n\nParagraph %d of %s", n/3+1, id)
		case n%3 == 0:
			return fmt.Sprintf("Paragraph %d\n\nof %s", n/3+1, id)
		}
		return fmt.Sprintf("sentence %d,", n)
	}
	for range 3 {
		f.addReplica("llm", 8, events, 20*time.Millisecond).data = text
	}
	f.startAll(configuration(1, "llm", []map[string]any{tenant("evening", "key")}))
	const job = "5a3c00aa11bb22cc"
	items := newItems(job, 10)
	if status := f.submit(f.fronts()[0], "key", job, items); status != http.StatusAccepted {
		cannotRun("the job was answered %d", status)
	}
	var p page
	for end := time.Now().Add(20 * time.Second); len(p.Results) < len(items) && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if status, read := f.read(f.fronts()[1], "key", job, 0); status == http.StatusOK {
			p = read
		}
	}
	f.logf("%d of %d items are listed", len(p.Results), len(items))
	for _, r := range p.Results {
		var data []string
		for n := 1; n <= events; n++ {
			data = append(data, text(r.ID, n))
		}
		want := strings.Join(data, "\n")
		f.logf("item %s is %s\n  sent:   %q\n  listed: %q", r.ID, r.State, want, r.Output)
		if r.State == "completed" && r.Output != want {
			broken = append(broken, fmt.Sprintf("MIXED: item %s is completed with %q, its output was %q", r.ID, r.Output, want))
		}
	}
	if len(p.Results) == 0 {
		cannotRun("no result was listed")
	}
	return broken
}
