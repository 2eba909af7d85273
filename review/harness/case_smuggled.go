package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { plays["smuggled"] = smuggled }

// smuggled submits a batch job as one tenant. The disruption is an item whose path holds line ends, and behind them a whole
// request in the name of another tenant. The check is that replicas run only requests whose ids a client sent, for the
// tenant that holds the client's key.
func smuggled(f *fleet, trouble bool) (broken []string) {
	for range 3 {
		f.addReplica("llm", 8, 6, 20*time.Millisecond)
	}
	f.startAll(configuration(1, "llm", []map[string]any{tenant("mallory", "key-m"), tenant("victim", "key-v")}))
	const job, hidden = "5a3c00aa11bb22cc", "0bad0bad0bad0bad"
	items := newItems(job, 3)
	if trouble {
		p := items[1].Path
		items[1].Path = p + " HTTP/1.1\r\nHost: " + hostName + "\r\nX-Verbenaledge-Request-Id: " + items[1].ID + "\r\nContent-Length: 0\r\n\r\n" +
			"POST /ask/hidden HTTP/1.1\r\nHost: " + hostName + "\r\nX-Verbenaledge-Request-Id: " + hidden + "\r\nX-Verbenaledge-Tenant: victim\r\n" +
			"Content-Length: 0\r\n\r\nPOST " + p
	}
	status := f.submit(f.fronts()[0], "key-m", job, items)
	f.logf("job %s: %d", job, status)
	if status != http.StatusAccepted && !trouble {
		cannotRun("the job was answered %d", status)
	}
	time.Sleep(8 * time.Second)
	sent := map[string]bool{}
	for _, i := range items {
		sent[i.ID] = true
	}
	seen := 0
	for _, p := range f.replicas {
		for _, r := range p.allRuns() {
			seen++
			f.logf("replica %s ran %s %s, id %s, tenant %s", r.Replica, r.Method, r.Target, r.ID, r.Tenant)
			switch {
			case !sent[r.ID]:
				broken = append(broken, fmt.Sprintf("UNASKED: replica %s ran %s %s with id %s, which no client sent, for tenant %q; key of tenant mallory",
					r.Replica, r.Method, r.Target, r.ID, r.Tenant))
			case r.Tenant != "mallory":
				broken = append(broken, fmt.Sprintf("UNASKED: replica %s ran id %s for tenant %q; the key is mallory's", r.Replica, r.ID, r.Tenant))
			}
		}
	}
	if seen == 0 && !trouble {
		cannotRun("no replica ran anything")
	}
	return broken
}
