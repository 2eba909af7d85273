package cmd

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

// alikeServedTime is the time after a crash of all servers within which requests are served that were running then: the time that the
// servers are down, and that of a caller's second try.
const alikeServedTime = 5 * time.Second

// TestFleetAlikeRequestsOutliveCrashes guards against requests that are refused for a minute or more because others that are alike were
// running when all servers crashed for a reason of their own.
func TestFleetAlikeRequestsOutliveCrashes(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 10_000)
	f.setEventPause(50 * time.Millisecond)
	call := func() result {
		return f.call("POST", "/stream/alike", workspaceKey, standin.StreamHeaders(), []byte("alike"))
	}
	var wg sync.WaitGroup
	for range 9 {
		wg.Go(func() { call() })
	}
	f.eventually("all servers run such a request", func() bool {
		for _, s := range f.servers {
			if s.Service == "llm" && s.Running() == 0 {
				return false
			}
		}
		return true
	})
	crashedAt := time.Now()
	for _, s := range f.servers {
		s.Crash(crashDownTime)
	}
	wg.Wait()
	f.eventually("such requests are served", func() bool { return call().status == http.StatusOK })
	c.Check(time.Since(crashedAt) < alikeServedTime, qt.IsTrue, qt.Commentf("served after %v", time.Since(crashedAt)))
	for range 6 {
		wg.Go(func() {
			r := call()
			c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
		})
	}
	wg.Wait()
}
