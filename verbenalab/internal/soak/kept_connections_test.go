package soak_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/soak"
)

// keptConnectionPlans use connections about when a stopping host closes those that it takes for idle, 2.52 s after SIGTERM, and
// about when it no longer expects a first request on those that it accepted last, 1 s after their start.
var keptConnectionPlans = []struct {
	name        string
	plan        soak.KeptConnectionsPlan
	allAnswered bool // the host is busy at each use, and keeps unused connections
}{
	{"used before, and again when idle ones are closed", soak.KeptConnectionsPlan{
		Connections: 300, Stops: 3, Used: soak.TimeWindow{From: 2505 * time.Millisecond, To: 2545 * time.Millisecond},
	}, false},
	{"opened before the listener closes, and first used a second later", soak.KeptConnectionsPlan{
		Connections: 300, Stops: 3, SlowFrom: time.Second,
		Opened: soak.TimeWindow{From: 2300 * time.Millisecond, To: 2400 * time.Millisecond},
		Used:   soak.TimeWindow{From: 3380 * time.Millisecond, To: 3500 * time.Millisecond},
	}, true},
}

// TestStopDropsRequestsOnKeptConnections guards against stops that drop requests which were read (docs/incidents/0031).
func TestStopDropsRequestsOnKeptConnections(t *testing.T) {
	for n, p := range keptConnectionPlans {
		t.Run(p.name, func(t *testing.T) {
			c := qt.New(t)
			r, err := soak.MeasureKeptConnections(t.Context(), soak.Options{
				ProgramsDir: programsDir, Dir: t.TempDir(), Seed: 1, Subnet: fmt.Sprintf("%d.%d", 75+n, 1+os.Getpid()%250),
			}, p.plan)
			c.Assert(err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
			t.Logf("%d answered, refused %v, %d closed unread, %d closed by the host", r.Answered, r.Refused, r.ClosedUnread, r.ClosedByHost)
			c.Check(r.Lost, qt.HasLen, 0)
			c.Check(r.ClosedByHost, qt.Equals, 0)
			c.Check(r.Departed, qt.Equals, 0)
			if p.allAnswered {
				c.Check(r.ClosedUnread, qt.Equals, 0)
			}
		})
	}
}
