package cmd

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenad/internal/host"
)

func TestFleetServes(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1000)

	c.Run("complete responses", func(c *qt.C) {
		r := f.call("POST", "/app/x?a=%2F", workspaceKey, nil, []byte("question"))
		c.Assert(r.status, qt.Equals, 200)
		c.Assert(r.body, qt.Equals, "answer to question")
		c.Assert(r.header.Get(standin.HeaderSignature), qt.Equals, "signed")
		c.Assert(r.header.Get(standin.HeaderRequestID), qt.Equals, r.id)
	})
	c.Run("streams", func(c *qt.C) {
		r := f.call("POST", "/stream/x", workspaceKey, streamHeaders, nil)
		c.Assert(r.err, qt.IsNil)
		c.Assert(r.body, qt.Equals, streamBody(r.id))
	})
	c.Run("keys", func(c *qt.C) {
		c.Assert(f.call("GET", "/app/x", "unknown", nil, nil).status, qt.Equals, 401)
		c.Assert(f.call("GET", "/app/x", "", nil, nil).status, qt.Equals, 401)
		c.Assert(f.call("GET", "/none/x", workspaceKey, nil, nil).status, qt.Equals, 404)
		for _, s := range f.servers {
			_, keys := s.Totals()
			c.Assert(keys, qt.Equals, 0)
		}
	})
	c.Run("an idempotent request is retried", func(c *qt.C) {
		f.injectFault("app", 1, standin.CloseWithoutAnswer)
		r := f.call("POST", "/app/x", workspaceKey, nil, []byte("q"))
		c.Assert(r.status, qt.Equals, 200)
		c.Assert(f.runCount(r.id), qt.Equals, 2)
	})
	c.Run("another request's response is not forwarded", func(c *qt.C) {
		f.injectFault("app", 1, standin.ForeignAnswer)
		r := f.call("POST", "/app/x", workspaceKey, nil, []byte("q"))
		c.Assert(r.status, qt.Equals, 200)
		c.Assert(r.header.Get(standin.HeaderRequestID), qt.Equals, r.id)
	})
	c.Run("a non-idempotent request is not retried", func(c *qt.C) {
		f.injectFault("app", 1, standin.CloseWithoutAnswer)
		r := f.call("POST", "/once/x", workspaceKey, nil, []byte("q"))
		c.Assert(r.status, qt.Equals, 502)
		c.Assert(f.runCount(r.id), qt.Equals, 1)
	})
	c.Run("a cut stream is resumed at another server", func(c *qt.C) {
		f.injectFault("llm", 1, standin.CutAnswer)
		r := f.call("POST", "/resume/x", workspaceKey, streamHeaders, nil)
		c.Assert(r.err, qt.IsNil)
		c.Assert(r.body, qt.Equals, streamBody(r.id))
		c.Assert(f.runCount(r.id), qt.Equals, 2)
	})
	c.Run("a request whose server sends nothing is sent to another one", func(c *qt.C) {
		f.injectFault("app", 1, standin.NoAnswer)
		begin := time.Now()
		r := f.call("POST", "/app/x", workspaceKey, nil, []byte("q"))
		c.Assert(r.status, qt.Equals, 200)
		c.Assert(f.runCount(r.id), qt.Equals, 2)
		c.Assert(time.Since(begin) < 3*time.Second, qt.IsTrue, qt.Commentf("%s; the route's objective is a second, its timeout five", time.Since(begin)))
	})
	c.Run("a silent stream is resumed at another server", func(c *qt.C) {
		f.injectFault("llm", 1, standin.Stall)
		begin := time.Now()
		r := f.call("POST", "/resume/x", workspaceKey, streamHeaders, nil)
		c.Assert(r.err, qt.IsNil)
		c.Assert(r.body, qt.Equals, streamBody(r.id))
		c.Assert(time.Since(begin) < 3*time.Second, qt.IsTrue)
	})
	c.Run("a non-idempotent request waits for its silent server", func(c *qt.C) {
		f.injectFault("app", 1, standin.NoAnswer)
		r := f.call("POST", "/once/x", workspaceKey, nil, []byte("q"))
		c.Assert(r.status, qt.Equals, 504)
		c.Assert(f.runCount(r.id), qt.Equals, 1)
	})
	c.Run("a cut stream that can't be resumed doesn't look complete", func(c *qt.C) {
		f.injectFault("llm", 1, standin.CutAnswer)
		r := f.call("POST", "/stream/x", workspaceKey, streamHeaders, nil)
		c.Assert(r.err, qt.IsNotNil)
		c.Assert(strings.HasPrefix(streamBody(r.id), r.body), qt.IsTrue)
		c.Assert(f.runCount(r.id), qt.Equals, 1)
	})
	c.Run("a server's failure response is forwarded unchanged", func(c *qt.C) {
		f.injectFault("app", 9, standin.InternalError)
		r := f.call("POST", "/app/x", workspaceKey, nil, nil)
		c.Assert(r.status, qt.Equals, 500)
		c.Assert(r.header.Get(standin.HeaderSignature), qt.Equals, "signed")
		c.Assert(f.runCount(r.id), qt.Equals, 3)
		f.injectFault("app", 0, standin.NoFault)
	})
	c.Run("a caller that disconnects stops the server's work", func(c *qt.C) {
		f.injectFault("llm", 0, standin.NoFault)
		ctx, cancel := context.WithCancel(c.Context())
		request, err := http.NewRequestWithContext(ctx, "POST", "http://"+f.callerAddresses[0]+"/stream/x", nil)
		c.Assert(err, qt.IsNil)
		request.Host = "host.example"
		request.Header = http.Header{"Authorization": {"Bearer " + workspaceKey}, standin.HeaderRequestID: {"leaver"}}
		for k, v := range streamHeaders {
			request.Header.Set(k, v)
		}
		response, err := http.DefaultClient.Do(request)
		c.Assert(err, qt.IsNil)
		cancel()
		_ = response.Body.Close()
		f.eventually("no server runs a request", func() bool {
			running := 0
			for _, s := range f.servers {
				running += s.Running()
			}
			return running == 0
		})
	})
	c.Run("a new configuration is applied", func(c *qt.C) {
		c.Assert(standin.Configure(f.store, standin.Configuration(5, map[string]string{"new": "w"}, 1000)), qt.IsNil)
		f.eventually("the old key is refused", func() bool {
			first, second := f.call("GET", "/app/x", workspaceKey, nil, nil), f.call("GET", "/app/x", workspaceKey, nil, nil)
			return first.status == 401 && second.status == 401
		})
		c.Assert(f.call("GET", "/app/x", "new", nil, nil).status, qt.Equals, 200)
	})
}

// TestFleetStartsDuringOutage checks that a host that starts while the store can't be reached gets everything from other
// hosts, and serves.
func TestFleetStartsDuringOutage(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1000)
	f.store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
	f.startHost("front-late", host.RunFront)
	f.callerAddresses = f.callerAddresses[len(f.callerAddresses)-1:]
	f.eventually("the late host serves", func() bool { return f.call("GET", "/app/x", workspaceKey, nil, nil).status == http.StatusOK })
	c.Assert(f.call("GET", "/app/x", "unknown", nil, nil).status, qt.Equals, 401)
}

// TestRefusedThenServedCounts guards against a workspace that exceeds its rate: a request that one server refuses and
// another serves must count like any other.
func TestRefusedThenServedCounts(t *testing.T) {
	f := newFleet(t, 5)
	var n atomic.Int64
	for _, s := range f.servers {
		if s.Service == "app" {
			s.SetFault(func(*http.Request) standin.ServerFault {
				if n.Add(1)%2 == 1 {
					return standin.NotExecuted
				}
				return standin.NoFault
			})
		}
	}
	begin := time.Now()
	served := 0
	for time.Since(begin) < 2*time.Second {
		if f.call("GET", "/app/x", "key-of-v", nil, nil).status == http.StatusOK {
			served++
		}
	}
	most := 5 + 5*time.Since(begin).Seconds() + 1
	qt.Assert(t, float64(served) <= most, qt.IsTrue, qt.Commentf("%d served, %f allowed", served, most))
}

// TestFleetEnforcesRates checks that a workspace gets its burst and rate over both entry hosts together, and that refusals
// carry a Retry-After.
func TestFleetEnforcesRates(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 5)
	begin := time.Now()
	served, refused := 0, 0
	for time.Since(begin) < 2*time.Second {
		switch r := f.call("GET", "/app/x", "key-of-v", nil, nil); r.status {
		case 200:
			served++
		case 429:
			refused++
			c.Assert(r.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		default:
			c.Fatalf("status %d", r.status)
		}
	}
	most := 5 + 5*time.Since(begin).Seconds() + 1
	c.Assert(float64(served) <= most, qt.IsTrue, qt.Commentf("%d served, %f allowed", served, most))
	c.Assert(served > 5, qt.IsTrue)
	c.Assert(refused > 0, qt.IsTrue)
}
