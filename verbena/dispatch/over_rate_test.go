package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

// refusalsUntilServed sends a number of requests of one workspace at once, repeats each after the time that its refusal gives,
// and returns how many refusals there were and when the last request was served.
func refusalsUntilServed(callers int, disabled Mechanism) (refusals int, last time.Duration) {
	start := time.Unix(1000, 0)
	sc := New("", WithDisabledMechanisms(disabled))
	sc.Step(start, RatesChanged{Rates: map[ids.WorkspaceID]Rate{"w": {PerSecond: 10, Burst: 4}}})
	sc.Step(start, ServersChanged{Servers: map[ids.BackendID]directory.Server{"a": {ID: "a", Service: "app", Slots: 1000}}})
	attempts := make([]time.Duration, callers)
	ticket := Ticket(0)
	for len(attempts) > 0 {
		next := 0
		for n, at := range attempts {
			if at < attempts[next] {
				next = n
			}
		}
		at := attempts[next]
		ticket++
		for _, cmd := range sc.Step(start.Add(at), SlotRequested{Host: "f", Request: SlotRequest{
			Ticket: ticket, Service: "app", Workspace: "w", Objective: time.Second, Remaining: 20 * time.Second, FirstAttemptTime: 20 * time.Second,
			StreamEvents: 1, Metered: true,
		}}) {
			switch cmd := cmd.(type) {
			case Grant:
				attempts = append(attempts[:next], attempts[next+1:]...)
				last = at
			case Refuse:
				refusals++
				attempts[next] = at + cmd.RetryAfter
			}
		}
	}
	return refusals, last
}

// TestOverRateReturnsSpread guards against callers that are refused together for their workspace's rate, return together and
// are refused again. The rate must be used as fully as without it.
func TestOverRateReturnsSpread(t *testing.T) {
	c := qt.New(t)
	for _, callers := range []int{8, 14, 60} {
		before, lastBefore := refusalsUntilServed(callers, CountReturning)
		after, lastAfter := refusalsUntilServed(callers, None)
		t.Logf("%d callers: %d -> %d refusals, the last served after %v -> %v", callers, before, after, lastBefore, lastAfter)
		c.Check(after < before, qt.IsTrue)
		if callers < 16 { // those that fit into the longest retry time
			c.Check(after, qt.Equals, callers-1)
		}
		c.Check(lastAfter <= lastBefore+maxRetryAfter, qt.IsTrue)
	}
}

// TestOverRateReturnsBounded guards against a count that grows with the refusals and makes each of them dearer.
func TestOverRateReturnsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	sc := New("")
	sc.Step(now, RatesChanged{Rates: map[ids.WorkspaceID]Rate{"w": {PerSecond: 10, Burst: 4}}})
	sc.Step(now, ServersChanged{Servers: map[ids.BackendID]directory.Server{"a": {ID: "a", Service: "app", Slots: 1}}})
	for n := range 5000 {
		sc.Step(now, SlotRequested{Host: "f", Request: SlotRequest{
			Ticket: Ticket(n), Service: "app", Workspace: "w", Objective: time.Second, Remaining: 20 * time.Second, Metered: true,
		}})
	}
	qt.Assert(t, len(sc.buckets["w"].returning) <= 20, qt.IsTrue)
}
