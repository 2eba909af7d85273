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

// reply is a plain service's answer as its caller sees it.
type reply struct {
	status int
	body   string
	run    string
	id     string
}

// confirm sends a purchase confirmation under an idempotency key.
func (r *rig) confirm(h *fleet.Host, key, body string) (p reply) {
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+h.Caller+"/services/ledger/confirm", strings.NewReader(body))
	r.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+r.keys["archive"])
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}
	}
	data, err := io.ReadAll(resp.Body)
	r.Check(resp.Body.Close(), qt.IsNil)
	if err != nil {
		return reply{}
	}
	return reply{resp.StatusCode, string(data), resp.Header.Get("X-Run"), resp.Header.Get("X-Request-Id")}
}

// runsOf counts the runs of calls with a body.
func (r *rig) runsOf(body string) (n int) {
	for _, b := range r.Backends {
		for _, x := range r.ledgerOf(b).Runs {
			if x.Body == body {
				n++
			}
		}
	}
	return n
}

func (r *rig) behave(x service.Behaviour) {
	for _, b := range r.Backends {
		if b.Service == plain {
			r.Assert(r.Control(b, x), qt.IsNil)
		}
	}
}

// TestOnceResentToAllHosts sends one confirmation to every host many times at once.
func TestOnceResentToAllHosts(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.behave(service.Behaviour{Delay: 300 * time.Millisecond})
	replies := make([]reply, 24)
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() { replies[i] = r.confirm(r.Hosts[i%len(r.Hosts)], "sale-1", "buy 10 sacks") })
	}
	wg.Wait()
	r.Assert(r.runsOf("buy 10 sacks"), qt.Equals, 1)
	for _, p := range replies {
		r.Assert(p.status, qt.Equals, 200)
		r.Assert(p.body, qt.Equals, replies[0].body)
	}
	other := r.confirm(r.Hosts[1], "sale-1", "buy 99 sacks")
	r.Assert(other.status, qt.Equals, 409)
	r.Assert(other.body, qt.Contains, "idempotency_conflict")
	r.Assert(r.runsOf("buy 99 sacks"), qt.Equals, 0)
}

// TestOnceHostLost kills the host between sending a call and its answer: resends
// learn that the outcome is unknown, and nothing runs twice.
func TestOnceHostLost(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.behave(service.Behaviour{Delay: 1500 * time.Millisecond})
	go r.confirm(r.Hosts[0], "sale-2", "buy 20 sacks")
	time.Sleep(500 * time.Millisecond)
	r.Hosts[0].Kill()
	r.behave(service.Behaviour{})
	var last reply
	r.eventually(20*time.Second, "a final answer", func() bool {
		last = r.confirm(r.Hosts[1], "sale-2", "buy 20 sacks")
		return last.status == 502
	})
	r.Assert(last.run, qt.Equals, "unknown")
	again := r.confirm(r.Hosts[2], "sale-2", "buy 20 sacks")
	r.Assert(again.status, qt.Equals, 502)
	r.Assert(again.run, qt.Equals, "unknown")
	r.Assert(r.runsOf("buy 20 sacks") <= 1, qt.IsTrue)
}

// TestOnceHostFrozen freezes the host while a call is under way, lets a resend
// settle the claim, and thaws the host.
func TestOnceHostFrozen(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.behave(service.Behaviour{Delay: time.Second})
	first := make(chan reply, 1)
	go func() { first <- r.confirm(r.Hosts[0], "sale-3", "buy 30 sacks") }()
	time.Sleep(300 * time.Millisecond)
	r.Hosts[0].Pause()
	r.eventually(20*time.Second, "a final answer", func() bool { return r.confirm(r.Hosts[1], "sale-3", "buy 30 sacks").status == 502 })
	r.Hosts[0].Resume()
	p := <-first
	r.Assert(p.run, qt.Equals, "unknown", qt.Commentf("%+v", p))
	r.Assert(r.confirm(r.Hosts[2], "sale-3", "buy 30 sacks").run, qt.Equals, "unknown")
	r.Assert(r.runsOf("buy 30 sacks") <= 1, qt.IsTrue)
}

// TestOnceWritesLost loses answers of claims' writes after they took effect, and
// the service's own answers.
func TestOnceWritesLost(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	for i := range 10 {
		body := "lost write " + string(rune('a'+i))
		r.Assert(r.SetFaults(platform.Faults{LoseAnswers: 3}), qt.IsNil)
		p := r.confirm(r.Hosts[i%3], "lost-"+body, body)
		again := r.confirm(r.Hosts[(i+1)%3], "lost-"+body, body)
		r.Assert(p.status, qt.Equals, 200)
		r.Assert(again.body, qt.Equals, p.body)
		r.Assert(r.runsOf(body), qt.Equals, 1)
	}
	r.Assert(r.SetFaults(platform.Faults{}), qt.IsNil)
	r.behave(service.Behaviour{LoseAnswers: 1})
	p := r.confirm(r.Hosts[0], "lost-answer", "buy 40 sacks")
	r.Assert(p.run, qt.Equals, "unknown")
	r.Assert(r.confirm(r.Hosts[1], "lost-answer", "buy 40 sacks").run, qt.Equals, "unknown")
	r.Assert(r.runsOf("buy 40 sacks"), qt.Equals, 1)
}

// TestOncePlatformDown refuses what can't be claimed as not run.
func TestOncePlatformDown(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.Assert(r.SetFaults(platform.Faults{Down: true}), qt.IsNil)
	p := r.confirm(r.Hosts[0], "sale-5", "buy 50 sacks")
	r.Assert(p.status, qt.Equals, 503)
	r.Assert(p.run, qt.Equals, "not_run")
	r.Assert(r.runsOf("buy 50 sacks"), qt.Equals, 0)
	r.Assert(r.SetFaults(platform.Faults{}), qt.IsNil)
	r.eventually(10*time.Second, "the platform is back", func() bool {
		return r.confirm(r.Hosts[0], "sale-5", "buy 50 sacks").status == 200
	})
	r.Assert(r.runsOf("buy 50 sacks"), qt.Equals, 1)
}

// TestOnceWithoutKey sends a call without an idempotency key whose answer is lost:
// it is not sent again.
func TestOnceWithoutKey(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	for i := range 6 {
		r.behave(service.Behaviour{LoseAnswers: 1})
		body := "keyless " + string(rune('a'+i))
		p := r.confirm(r.Hosts[i%3], "", body)
		r.Assert(p.run, qt.Equals, "unknown", qt.Commentf("%+v", p))
		r.Assert(r.runsOf(body), qt.Equals, 1)
	}
}

// TestWrongAnswers lets backend servers answer with other requests' ids: no caller
// sees such an answer.
func TestWrongAnswers(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	for _, b := range r.Backends {
		if b.Service == model {
			r.Assert(r.Control(b, map[string]any{"wrong_ids": 2}), qt.IsNil)
		}
	}
	r.behave(service.Behaviour{WrongIDs: 1})
	answers := make([]load.Answer, 0, 12)
	for i := range 12 {
		answers = append(answers, r.ask(r.Hosts[i%3], "archive", "crossed?"))
	}
	p := r.confirm(r.Hosts[0], "", "crossed")
	r.Assert(p.status, qt.Equals, 502)
	r.Assert(p.run, qt.Equals, "unknown")
	r.Assert(r.runsOf("crossed"), qt.Equals, 1)
	whole := 0
	for _, a := range answers {
		if a.Whole() {
			whole++
		}
	}
	r.Assert(whole >= 9, qt.IsTrue, qt.Commentf("codes %v", codes(answers)))
	r.checkTruth(answers)
}
