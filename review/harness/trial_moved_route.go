package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { plays["moved-route"] = movedRoute }

// configBound is configMs of the site.
const configBound = 2 * time.Second

// movedRoute submits a batch job that takes a while. The disruption is a configuration that moves its route to another
// service. The check is that no item reaches a replica of the former service later than configMs after the acknowledgement.
func movedRoute(f *fleet, trouble bool) (broken []string) {
	tenants := []map[string]any{tenant("evening", "key")}
	f.addReplica("llm", 8, 40, 50*time.Millisecond)
	f.addReplica("llm-b", 8, 40, 50*time.Millisecond)
	f.startAll(configuration(1, "llm", tenants))
	const job = "5a3c00aa11bb22cc"
	items := newItems(job, 60)
	if status := f.submit(f.fronts()[0], "key", job, items); status != http.StatusAccepted {
		cannotRun("the job was answered %d", status)
	}
	time.Sleep(3 * time.Second)
	service := "llm"
	if trouble {
		service = "llm-b"
	}
	f.store.put("config", "main", configuration(2, service, tenants))
	acknowledged := time.Now()
	f.logf("configuration 2 acknowledged: the route leads to %s", service)
	time.Sleep(20 * time.Second)
	late := 0
	for _, p := range f.replicas {
		for _, r := range p.allRuns() {
			f.logf("%s ran item %s %.2f s after the acknowledgement", r.Replica, r.ID, r.At.Sub(acknowledged).Seconds())
			if trouble && r.Service == "llm" && r.At.Sub(acknowledged) > configBound {
				late++
				broken = append(broken, fmt.Sprintf("CONFIG: item %s reached %s of the former service %.1f s after the acknowledgement",
					r.ID, r.Replica, r.At.Sub(acknowledged).Seconds()))
			}
		}
	}
	f.logf("%d items reached the former service too late", late)
	return broken
}
