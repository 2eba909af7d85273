package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { plays["cut-twice"] = cutTwice }

// cutTwice submits a batch job of 100 items. The disruption is that two answers, to the same item, have no length and are
// broken off between events by an orderly close: the first after four events of twelve, and the next, of another replica,
// before its first event. The check is that the text of a completed item is whole.
func cutTwice(f *fleet, trouble bool) (broken []string) {
	const events, cutAfter = 12, 4
	const job = "5a3c00aa11bb22cc"
	items := newItems(job, 100)
	chosen := items[40].ID
	var mu sync.Mutex
	cuts := 0
	for range 4 {
		p := f.addReplica("llm", 8, events, 15*time.Millisecond)
		p.answer = func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
			id := r.Header.Get("X-Verbenaledge-Request-Id")
			mu.Lock()
			cut := trouble && id == chosen && cuts < 2
			if cut {
				cuts++
			}
			n := cuts
			mu.Unlock()
			if !cut {
				return false
			}
			first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			f.logf("%s breaks off its answer to item %s, asked to go on after event %d", p.id, id, first)
			c, b, err := http.NewResponseController(w).Hijack()
			check(err)
			fmt.Fprintf(b, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Verbenaledge-Request-Id: %s\r\n"+
				"X-Verbenaledge-Instance-Id: %s\r\nX-Verbenaledge-Response-Signature: signed.%s\r\n\r\n", id, p.id, id)
			if n == 1 {
				for e := first + 1; e <= first+cutAfter; e++ {
					fmt.Fprintf(b, "id: %d\ndata: %s\n\n", e, p.text(id, e))
				}
			}
			_ = b.Flush() // the connection may have ended
			time.Sleep(15 * time.Millisecond)
			_ = c.Close()
			return true
		}
	}
	f.startAll(configuration(1, "llm", []map[string]any{tenant("evening", "key")}))
	if status := f.submit(f.fronts()[0], "key", job, items); status != http.StatusAccepted {
		cannotRun("the job was answered %d", status)
	}
	var results []result
	for end := time.Now().Add(20 * time.Second); len(results) < len(items) && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if status, p := f.read(f.fronts()[1], "key", job, len(results)); status == http.StatusOK {
			results = append(results, p.Results...)
		}
	}
	f.logf("%d of %d items are listed", len(results), len(items))
	for _, r := range results {
		want := ""
		for n := 1; n <= events; n++ {
			if n > 1 {
				want += "\n"
			}
			want += f.replicas[0].text(r.ID, n)
		}
		if r.State != "completed" || r.Output != want {
			broken = append(broken, fmt.Sprintf("MIXED: item %s is %s with %q of %d events", r.ID, r.State, r.Output, events))
		}
	}
	if len(results) < len(items) {
		cannotRun("not all items were listed")
	}
	return broken
}
