package fleet_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/fleet"
	"verbenaledge.example/verbenalab/internal/load"
	"verbenaledge.example/verbenalab/internal/platform"
	"verbenaledge.example/verbenalab/internal/service"
)

// serviceResponse is a plain service's response as its caller receives it.
type serviceResponse struct {
	status int
	body   string
	run    string
	id     string
}

// sendConfirmation sends a purchase confirmation to the plain service, with an idempotency key unless key is empty. It
// returns the zero value if the connection breaks.
func (f *testFleet) sendConfirmation(h *fleet.Host, key, body string) (response serviceResponse) {
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+h.CallerAddress+"/services/ledger/confirm", strings.NewReader(body))
	f.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+f.keys["archive"])
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return serviceResponse{}
	}
	data, err := io.ReadAll(resp.Body)
	f.Check(resp.Body.Close(), qt.IsNil)
	if err != nil {
		return serviceResponse{}
	}
	return serviceResponse{resp.StatusCode, string(data), resp.Header.Get("X-Run"), resp.Header.Get("X-Request-Id")}
}

// countRuns counts the runs of requests with the given body on all plain services.
func (f *testFleet) countRuns(body string) (n int) {
	for _, b := range f.Backends {
		for _, r := range f.ledgerOf(b).Runs {
			if r.Body == body {
				n++
			}
		}
	}
	return n
}

// setServiceBehaviour sets the behaviour of the plain service's stand-ins.
func (f *testFleet) setServiceBehaviour(behaviour service.Behaviour) {
	for _, b := range f.Backends {
		if b.Service == plainService {
			f.Assert(f.SetBehaviour(b, behaviour), qt.IsNil)
		}
	}
}

// TestNonIdempotentResentToAllHosts sends the same confirmation to every host several times concurrently. It must run
// once, and all callers must get its answer. Another body under the same key must be refused as a conflict.
func TestNonIdempotentResentToAllHosts(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	f.setServiceBehaviour(service.Behaviour{Delay: 300 * time.Millisecond})
	responses := make([]serviceResponse, 24)
	var wg sync.WaitGroup
	for i := range responses {
		wg.Go(func() { responses[i] = f.sendConfirmation(f.Hosts[i%len(f.Hosts)], "sale-1", "buy 10 sacks") })
	}
	wg.Wait()
	f.Assert(f.countRuns("buy 10 sacks"), qt.Equals, 1)
	for _, r := range responses {
		f.Assert(r.status, qt.Equals, 200)
		f.Assert(r.body, qt.Equals, responses[0].body)
	}
	other := f.sendConfirmation(f.Hosts[1], "sale-1", "buy 99 sacks")
	f.Assert(other.status, qt.Equals, 409)
	f.Assert(other.body, qt.Contains, "idempotency_conflict")
	f.Assert(f.countRuns("buy 99 sacks"), qt.Equals, 0)
}

// TestNonIdempotentHostLost kills the host while it waits for the service's answer. Resent requests must be answered
// with an unknown outcome, and nothing may run twice.
func TestNonIdempotentHostLost(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	f.setServiceBehaviour(service.Behaviour{Delay: 1500 * time.Millisecond})
	go f.sendConfirmation(f.Hosts[0], "sale-2", "buy 20 sacks")
	time.Sleep(500 * time.Millisecond)
	f.Hosts[0].Kill()
	f.setServiceBehaviour(service.Behaviour{})
	var last serviceResponse
	f.eventually(20*time.Second, "a final answer", func() bool {
		last = f.sendConfirmation(f.Hosts[1], "sale-2", "buy 20 sacks")
		return last.status == 502
	})
	f.Assert(last.run, qt.Equals, "unknown")
	resent := f.sendConfirmation(f.Hosts[2], "sale-2", "buy 20 sacks")
	f.Assert(resent.status, qt.Equals, 502)
	f.Assert(resent.run, qt.Equals, "unknown")
	f.Assert(f.countRuns("buy 20 sacks") <= 1, qt.IsTrue)
}

// TestNonIdempotentHostPaused pauses the host while it waits for the service's answer, until another host has resolved
// the claim as unknown for a resent request. When the host resumes, it must answer unknown too.
func TestNonIdempotentHostPaused(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	f.setServiceBehaviour(service.Behaviour{Delay: time.Second})
	first := make(chan serviceResponse, 1)
	go func() { first <- f.sendConfirmation(f.Hosts[0], "sale-3", "buy 30 sacks") }()
	time.Sleep(300 * time.Millisecond)
	f.Hosts[0].Pause()
	f.eventually(20*time.Second, "a final answer", func() bool { return f.sendConfirmation(f.Hosts[1], "sale-3", "buy 30 sacks").status == 502 })
	f.Hosts[0].Resume()
	response := <-first
	f.Assert(response.run, qt.Equals, "unknown", qt.Commentf("%+v", response))
	f.Assert(f.sendConfirmation(f.Hosts[2], "sale-3", "buy 30 sacks").run, qt.Equals, "unknown")
	f.Assert(f.countRuns("buy 30 sacks") <= 1, qt.IsTrue)
}

// TestNonIdempotentWritesLost loses the platform's answers to writes of claims that have taken effect: the request must
// still be answered and run once. Then it loses an answer of the service: the outcome must be reported as unknown.
func TestNonIdempotentWritesLost(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	for i := range 10 {
		body := "lost write " + string(rune('a'+i))
		f.Assert(f.SetFaults(platform.Faults{LoseAnswers: 3}), qt.IsNil)
		response := f.sendConfirmation(f.Hosts[i%3], "lost-"+body, body)
		resent := f.sendConfirmation(f.Hosts[(i+1)%3], "lost-"+body, body)
		f.Assert(response.status, qt.Equals, 200)
		f.Assert(resent.body, qt.Equals, response.body)
		f.Assert(f.countRuns(body), qt.Equals, 1)
	}
	f.Assert(f.SetFaults(platform.Faults{}), qt.IsNil)
	f.setServiceBehaviour(service.Behaviour{LoseAnswers: 1})
	response := f.sendConfirmation(f.Hosts[0], "lost-answer", "buy 40 sacks")
	f.Assert(response.run, qt.Equals, "unknown")
	f.Assert(f.sendConfirmation(f.Hosts[1], "lost-answer", "buy 40 sacks").run, qt.Equals, "unknown")
	f.Assert(f.countRuns("buy 40 sacks"), qt.Equals, 1)
}

// TestNonIdempotentPlatformDown sends a confirmation during an outage of the platform. As no claim can be written, it
// must be refused as not run.
func TestNonIdempotentPlatformDown(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	f.Assert(f.SetFaults(platform.Faults{Down: true}), qt.IsNil)
	response := f.sendConfirmation(f.Hosts[0], "sale-5", "buy 50 sacks")
	f.Assert(response.status, qt.Equals, 503)
	f.Assert(response.run, qt.Equals, "not_run")
	f.Assert(f.countRuns("buy 50 sacks"), qt.Equals, 0)
	f.Assert(f.SetFaults(platform.Faults{}), qt.IsNil)
	f.eventually(10*time.Second, "the platform is back", func() bool {
		return f.sendConfirmation(f.Hosts[0], "sale-5", "buy 50 sacks").status == 200
	})
	f.Assert(f.countRuns("buy 50 sacks"), qt.Equals, 1)
}

// TestNonIdempotentWithoutKey loses the service's answer to a request without an idempotency key. The request must not
// be sent again.
func TestNonIdempotentWithoutKey(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	for i := range 6 {
		f.setServiceBehaviour(service.Behaviour{LoseAnswers: 1})
		body := "keyless " + string(rune('a'+i))
		response := f.sendConfirmation(f.Hosts[i%3], "", body)
		f.Assert(response.run, qt.Equals, "unknown", qt.Commentf("%+v", response))
		f.Assert(f.countRuns(body), qt.Equals, 1)
	}
}

// TestForeignAnswers makes backend servers answer with IDs of other requests. No caller may receive such an answer.
func TestForeignAnswers(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	for _, b := range f.Backends {
		if b.Service == model {
			f.Assert(f.SetBehaviour(b, map[string]any{"wrong_ids": 2}), qt.IsNil)
		}
	}
	f.setServiceBehaviour(service.Behaviour{WrongIDs: 1})
	answers := make([]load.Answer, 0, 12)
	for i := range 12 {
		answers = append(answers, f.chat(f.Hosts[i%3], "archive", "crossed?"))
	}
	response := f.sendConfirmation(f.Hosts[0], "", "crossed")
	f.Assert(response.status, qt.Equals, 502)
	f.Assert(response.run, qt.Equals, "unknown")
	f.Assert(f.countRuns("crossed"), qt.Equals, 1)
	complete := 0
	for _, a := range answers {
		if a.Complete() {
			complete++
		}
	}
	f.Assert(complete >= 9, qt.IsTrue, qt.Commentf("codes %v", countCodes(answers)))
	f.checkLedgers(answers)
}
