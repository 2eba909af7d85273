package core_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/quota"
	"verbenaledge.example/verbena/route"
)

// fleetSize is the size of the fleet that a core knows.
type fleetSize struct{ hosts, servers, workspaces int }

// newSizedCore returns a core that knows a fleet of the given size and owns every shard.
func newSizedCore(z fleetSize) (*core.Core, time.Time) {
	cl := newCluster(1)
	cl.run(10 * time.Second)
	c := cl.hosts[0].core
	list := make([]backend.Server, 0, z.hosts+z.servers)
	for i := range z.hosts {
		list = append(list, backend.Server{
			ID: ids.BackendID(fmt.Sprint("host-", i)), Role: backend.RoleEntry,
			Zone: ids.ZoneID(fmt.Sprint("z", i%6)), Address: "10.0.0.1:9000", State: backend.Live,
		})
	}
	for i := range z.servers {
		list = append(list, backend.Server{
			ID: ids.BackendID(fmt.Sprint("replica-", i)), Role: backend.RoleBackend, Service: ids.ServiceName(fmt.Sprint("model-", i%8)),
			Zone: ids.ZoneID(fmt.Sprint("z", i%6)), Address: "10.0.1.1:9000", State: backend.Live,
		})
	}
	c.Step(cl.now, core.HostsRead{RequestedAt: cl.now, List: platform.HostList{Version: 1, Servers: list}})
	c.Step(cl.now, core.ConfigRead{RequestedAt: cl.now, Documents: []gossip.Document{{Name: gossip.Rules, Version: 1 << 40, Value: rulesDocument(z)}}})
	return c, cl.now
}

func rulesDocument(z fleetSize) []byte {
	text := ""
	for i := range 8 {
		text += fmt.Sprintf("service model-%d kind=model # asked by ana\n", i)
	}
	for i := range z.workspaces {
		text += fmt.Sprintf("allow workspace-%d model-%d rate=1000000/s burst=1000000 batch=1 # asked by ana\n", i, i%8)
	}
	return []byte(text)
}

var sizes = []fleetSize{{9, 9, 8}, {98, 150, 158}, {195, 300, 315}, {390, 600, 630}}

// BenchmarkRequest measures the control work for one request: admission, routing and end.
func BenchmarkRequest(b *testing.B) {
	for _, z := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", z.hosts), func(b *testing.B) {
			c, now := newSizedCore(z)
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(100 * time.Microsecond)
				w := i % z.workspaces
				bucket := quota.Bucket{Workspace: ids.WorkspaceID(fmt.Sprint("workspace-", w)), Service: ids.ServiceName(fmt.Sprint("model-", w%8))}
				c.Step(now, core.AdmissionRequested{Ticket: 1, Bucket: bucket})
				for _, cmd := range c.Step(now, core.RouteRequested{Ticket: 1, Request: route.Request{Service: bucket.Service, Affinity: "p"}}) {
					if r, ok := cmd.(core.Routed); ok {
						c.Step(now, core.BackendCallEnded{Backend: r.Server.ID, Load: 3})
					}
				}
			}
		})
	}
}

// BenchmarkTick measures the control work for a tick. There are 40 ticks per second.
func BenchmarkTick(b *testing.B) {
	for _, z := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", z.hosts), func(b *testing.B) {
			c, now := newSizedCore(z)
			b.ResetTimer()
			for range b.N {
				now = now.Add(25 * time.Millisecond)
				c.Step(now, core.Tick{})
			}
		})
	}
}

// BenchmarkItem measures the control work for a batch item in a job of 60,000 items, for several numbers of open
// jobs at the owner.
func BenchmarkItem(b *testing.B) {
	for _, n := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			q := batch.NewQueue(3, time.Minute)
			for j := range n {
				q.Step(start, batch.JobLoaded{Weight: 1, Job: batch.Job{
					ID: ids.JobID(fmt.Sprint("job-", j)), Workspace: ids.WorkspaceID(fmt.Sprint("w-", j%630)), Service: "m", Items: 60_000, State: batch.Open,
				}})
			}
			b.ResetTimer()
			for range b.N {
				for _, cmd := range q.Step(start, batch.ItemsRequested{Manager: "h", Service: "m", Max: 1}) {
					if a, ok := cmd.(batch.AssignItems); ok {
						for _, i := range a.Items {
							r := batch.Result{Job: i.Job, Index: i.Index}
							q.Step(start, batch.ItemFinished{Result: r})
							q.Step(start, batch.ResultsCommitted{Results: []batch.Result{r}})
						}
					}
				}
			}
		})
	}
}

// BenchmarkState measures the memory of the control state and the size of the documents sent between hosts.
func BenchmarkState(b *testing.B) {
	for _, z := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", z.hosts), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				c, now := newSizedCore(z)
				for i := range z.workspaces {
					bucket := quota.Bucket{Workspace: ids.WorkspaceID(fmt.Sprint("workspace-", i)), Service: ids.ServiceName(fmt.Sprint("model-", i%8))}
					c.Step(now, core.AdmissionRequested{Ticket: 1, Bucket: bucket})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state_bytes")
				b.ReportMetric(float64(len(rulesDocument(z))), "rules_bytes")
				hosts, _ := json.Marshal(make([]backend.Server, z.hosts+z.servers))
				b.ReportMetric(float64(len(hosts)), "min_hosts_bytes")
				runtime.KeepAlive(c)
			}
		})
	}
}
