package slots

import (
	"bytes"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
)

// TestMachineMetrics guards against paces and memory that can't be seen by service, and against figures of servers of which none is known.
func TestMachineMetrics(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := dispatch.New("")
	s.Step(now, dispatch.ServicesChanged{Services: map[ids.ServiceName]dispatch.ServiceTraits{"sized": {MemoryTokens: 1000}}})
	s.Step(now, dispatch.ServersChanged{Servers: map[ids.BackendID]directory.Server{
		"a": {ID: "a", Service: "sized", Slots: 2}, "b": {ID: "b", Service: "plain", Slots: 2},
	}})
	for n := dispatch.Ticket(1); n <= 2; n++ {
		s.Step(now, dispatch.SlotRequested{Host: "f1", Request: dispatch.SlotRequest{
			Ticket: n, Service: "sized", PromptTokens: 300, Objective: time.Second, Remaining: time.Second,
		}})
	}
	s.Step(now, dispatch.SendEnded{Host: "f1", Outcome: dispatch.Outcome{Ticket: 1, Result: dispatch.Served, Pace: 140}})
	g := gauges{by: "test of machines"}
	g.update(now, s)
	var out bytes.Buffer
	metrics.WritePrometheus(&out, false)
	for _, line := range []string{
		`verbenad_dispatch_server_pace_percent_count{by="test of machines",service="sized"} 1`,
		`verbenad_dispatch_memory_held_share_sum{by="test of machines",service="sized"} 0.3`,
	} {
		c.Check(out.String(), qt.Contains, line)
	}
	for _, name := range []string{"server_pace_percent", "memory_held_share"} {
		c.Check(out.String(), qt.Not(qt.Contains), "verbenad_dispatch_"+name+`_count{by="test of machines",service="plain"}`)
	}
}
