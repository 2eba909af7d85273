package lateanswers_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbenalab/internal/soak/lateanswers"
)

// programsDir is the folder that `make build` writes the programs to.
const programsDir = "../../../../bin"

// The delays of late answers. A failed request is sent again after some hundred milliseconds at most, and answered 100 to 350 ms later.
var (
	usualDelays = lateanswers.Window{From: 110 * time.Millisecond, To: 360 * time.Millisecond}
	// itemDelays and callerDelays fall into the next run of an item, and of a caller's request.
	itemDelays   = lateanswers.Window{From: 240 * time.Millisecond, To: 300 * time.Millisecond}
	callerDelays = lateanswers.Window{From: 10 * time.Millisecond, To: 90 * time.Millisecond}
	longDelays   = lateanswers.Window{From: time.Second, To: 3 * time.Second}
)

// failing returns servers of which some runs fail with an answer that is sent again.
func failing(servers, share int, delays lateanswers.Window) lateanswers.Plan {
	return lateanswers.Plan{
		Seed: 1, Servers: servers, Slots: 8, Fault: standin.InternalError, FaultShare: share,
		Repeated: http.StatusInternalServerError, Copies: 1, Delays: delays,
	}
}

// repeating returns servers with another fault, which send the answers of a status again.
func repeating(fault standin.ServerFault, status int) lateanswers.Plan {
	p := failing(3, 40, usualDelays)
	p.Fault, p.Repeated = fault, status
	return p
}

// cutOff returns a plan in which some hosts reach the servers over others only.
func cutOff(p lateanswers.Plan) lateanswers.Plan {
	p.CutOff = true
	return p
}

// twice returns a plan in which each answer is sent again twice.
func twice(p lateanswers.Plan) lateanswers.Plan {
	p.Copies = 2
	return p
}

func options(t *testing.T, subnet int) lateanswers.Options {
	return lateanswers.Options{ProgramsDir: programsDir, Dir: t.TempDir(), Subnet: fmt.Sprintf("%d.%d", subnet, 1+os.Getpid()%250)}
}

func check(c *qt.C, p lateanswers.Plan, r lateanswers.Report, err error) {
	c.Assert(err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
	c.Logf("%s", &r)
	log := qt.Commentf("%s", strings.Join(r.LogLines, "\n"))
	c.Check(r.TooEarly, qt.HasLen, 0, log)
	c.Check(r.Wrong, qt.HasLen, 0, log)
	if !p.CutOff { // sends that a relay resets reach no server
		c.Check(r.LostAttempts, qt.Equals, 0, qt.Commentf("late answers to other requests used up attempts"))
	}
	c.Check(r.Served > 0, qt.IsTrue)
	if p.Repeated != http.StatusServiceUnavailable { // a connection that brought a refusal is closed
		c.Check(r.Repeated > 0, qt.IsTrue)
	}
	c.Check(r.Metrics.Relayed > 0, qt.Equals, p.CutOff)
}

var itemsPlans = []struct {
	name string
	plan lateanswers.ItemsPlan
}{
	{"many items at once", lateanswers.ItemsPlan{Plan: failing(3, 40, usualDelays), Jobs: 3, ItemsPerJob: 100, Callers: 3}},
	{"few items at once", lateanswers.ItemsPlan{Plan: failing(1, 60, itemDelays), Jobs: 54, ItemsPerJob: 1, Callers: 6}},
	{"few items at once, relayed", lateanswers.ItemsPlan{Plan: cutOff(failing(1, 60, itemDelays)), Jobs: 36, ItemsPerJob: 1, Callers: 6}},
	{"seconds later", lateanswers.ItemsPlan{Plan: failing(1, 60, longDelays), Jobs: 3, ItemsPerJob: 30, Callers: 3}},
	{"items that can't be done", lateanswers.ItemsPlan{
		Plan: repeating(standin.Unprocessable, http.StatusUnprocessableEntity), Jobs: 3, ItemsPerJob: 50, Callers: 3,
	}},
	{"refusals", lateanswers.ItemsPlan{Plan: repeating(standin.NotExecuted, http.StatusServiceUnavailable), Jobs: 3, ItemsPerJob: 50, Callers: 3}},
	{"streams", lateanswers.ItemsPlan{Plan: repeating(standin.InternalError, http.StatusOK), Jobs: 3, ItemsPerJob: 50, Callers: 3}},
}

// TestLateAnswersCountAsFurtherFailures guards against items that are listed as errored before their last attempt has failed.
func TestLateAnswersCountAsFurtherFailures(t *testing.T) {
	t.Parallel()
	for n, p := range itemsPlans {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			r, err := lateanswers.MeasureItems(t.Context(), options(t, 90+n), p.plan)
			check(qt.New(t), p.plan.Plan, r, err)
		})
	}
}

var callersPlans = []struct {
	name string
	plan lateanswers.CallersPlan
}{
	{"many callers", lateanswers.CallersPlan{Plan: failing(3, 0, usualDelays), Requests: 300, Callers: 18, Route: "app"}},
	{"few callers, two copies", lateanswers.CallersPlan{Plan: twice(failing(1, 0, callerDelays)), Requests: 120, Callers: 6, Route: "app"}},
	{"few callers, two copies, relayed", lateanswers.CallersPlan{
		Plan: cutOff(twice(failing(1, 0, callerDelays))), Requests: 120, Callers: 6, Route: "app",
	}},
	{"refusals, requests that may run once", lateanswers.CallersPlan{
		Plan: repeating(standin.NotExecuted, http.StatusServiceUnavailable), Requests: 200, Callers: 12, Route: "once",
	}},
}

// TestCallersGetFailureOfEarlierRun guards against failures of an earlier run that end a request while a later run is at work.
func TestCallersGetFailureOfEarlierRun(t *testing.T) {
	t.Parallel()
	for n, p := range callersPlans {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			r, err := lateanswers.MeasureCallers(t.Context(), options(t, 100+n), p.plan)
			check(qt.New(t), p.plan.Plan, r, err)
		})
	}
}
