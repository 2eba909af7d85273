package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { plays["blocked"] = blocked }

// blocked submits two batch jobs of 200 items on a route whose service has no replicas (yet), and then a small job on another
// route, whose replicas are idle. Without the disruption the first service has a replica, too. The check is that the items of
// the small job are listed after more than finishS.
func blocked(f *fleet, trouble bool) (broken []string) {
	const finish = 18 * time.Second
	f.addReplica("llm", 8, 6, 20*time.Millisecond)
	if !trouble {
		f.addReplica("llm-b", 8, 6, 20*time.Millisecond)
	}
	c := configuration(1, "llm", []map[string]any{tenant("evening", "key")})
	if routes, ok := c["routes"].([]map[string]any); ok {
		c["routes"] = append(routes, route("night", "batch", "llm-b", map[string]any{
			"timeoutMs": 15000, "sloMs": 400, "runTargetMs": 18000, "maxWaitS": 60, "cap": 1000000, "priority": 2,
		}))
	}
	f.startAll(c)
	for n := range 2 {
		job := fmt.Sprintf("5a3c00aa11bb2%03x", n)
		items := newItems(job, 200)
		for i := range items {
			items[i].Path = "/night/" + items[i].ID
		}
		raw, err := json.Marshal(map[string]any{"items": items})
		check(err)
		status, _ := f.do(f.fronts()[0], http.MethodPost, "/night/"+job, "key", map[string]string{
			"X-Verbenaledge-Request-Id": job, "X-Verbenaledge-Deadline-Ms": "4000",
		}, raw, 5500*time.Millisecond)
		f.logf("job %s on the other route: %d", job, status)
	}
	time.Sleep(time.Second)
	const small = "77777777777777aa"
	if status := f.submit(f.fronts()[0], "key", small, newItems(small, 4)); status != http.StatusAccepted {
		cannotRun("the small job was answered %d", status)
	}
	time.Sleep(finish + 7*time.Second)
	status, p := f.read(f.fronts()[1], "key", small, 0)
	runs := len(f.replicas[0].allRuns())
	f.logf("small job: %d, %d of 4 results; its replica ran %d requests", status, len(p.Results), runs)
	if len(p.Results) < 4 && runs == 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of 4 items of job %s aren't listed %.0f s after it was accepted; no replica had one of them, and its replicas are idle",
			4-len(p.Results), small, (finish+7*time.Second).Seconds()))
	}
	return broken
}
