package dispatch

import (
	"fmt"
	"testing"
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

// BenchmarkFairRoom measures a request that comes and one that ends while 3,000 servers are full and 400 requests of 50
// workspaces wait, 5 ms apart.
func BenchmarkFairRoom(b *testing.B) {
	for _, disabled := range []Mechanism{FairRoom, None} {
		b.Run("without "+string(disabled), func(b *testing.B) {
			const servers, waiting, workspaces = 3000, 400, 50
			now := time.Unix(1000, 0)
			sc := New("", WithDisabledMechanisms(disabled))
			list := make(map[ids.BackendID]directory.Server)
			for n := range servers {
				id := ids.BackendID(fmt.Sprintf("s%04d", n))
				list[id] = directory.Server{ID: id, Service: "llm", Slots: 1}
			}
			rates := make(map[ids.WorkspaceID]Rate)
			for n := range workspaces {
				rates[ids.WorkspaceID(fmt.Sprintf("w%02d", n))] = Rate{PerSecond: 1000, Burst: 1e9}
			}
			sc.Step(now, RatesChanged{Rates: rates})
			sc.Step(now, ServersChanged{Servers: list})
			next, end := Ticket(0), Ticket(0)
			request := func() {
				next++
				w := ids.WorkspaceID(fmt.Sprintf("w%02d", min(int(next)%(2*workspaces), workspaces-1))) // half of one workspace
				sc.Step(now, SlotRequested{Host: "f", Request: SlotRequest{
					Ticket: next, Service: "llm", Workspace: w, Objective: time.Hour, Remaining: 2 * time.Hour, FirstAttemptTime: 2 * time.Hour, StreamEvents: 1,
				}})
			}
			for range servers + waiting {
				request()
			}
			b.ResetTimer()
			for range b.N {
				now = now.Add(5 * time.Millisecond)
				request()
				end++
				for sc.runs[Key{"f", end}] == nil && end < next {
					end++
				}
				sc.Step(now, SendEnded{Host: "f", Outcome: Outcome{Ticket: end, Result: Cancelled}})
			}
		})
	}
}
