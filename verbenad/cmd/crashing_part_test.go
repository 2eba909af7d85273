package cmd

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

const (
	deadlyPart = "dead"
	// maxCrashes is how many servers requests with one crashing part may end before they are contained, and
	// maxLaterRequests how many of them may reach servers once the fleet has had time to learn of that.
	maxCrashes       = 5
	maxLaterRequests = 3
	learningTime     = 500 * time.Millisecond
	// crashDownTime is how long a crashed server is down.
	crashDownTime = 300 * time.Millisecond
)

func promptHeaders(parts ...string) map[string]string {
	h := standin.StreamHeaders()
	h[standin.HeaderPromptParts] = strings.Join(parts, ":10,") + ":10"
	return h
}

func (f *fleet) callWithParts(parts ...string) result {
	n := f.requests.Load()
	return f.call("POST", fmt.Sprintf("/stream/%d", n), workspaceKey, promptHeaders(parts...), []byte(fmt.Sprint("question ", n)))
}

// crashTotals sums the crashes of all servers, and the requests with the crashing part that reached them.
func (f *fleet) crashTotals() (crashed, received int) {
	for _, s := range f.servers {
		c, r := s.Crashes()
		crashed, received = crashed+c, received+r
	}
	return crashed, received
}

func (f *fleet) crashOn(part string) {
	for _, s := range f.servers {
		s.CrashOn(part, crashDownTime)
	}
}

// TestFleetContainsCrashingPromptPart guards against requests that crash one server after the other because their
// prompts have a part in common, while no two of them are alike. Requests that share only their other parts must still
// be served.
func TestFleetContainsCrashingPromptPart(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 10_000)
	f.crashOn(deadlyPart)
	for n := 0; ; n++ {
		f.callWithParts("first", "second", deadlyPart, fmt.Sprint("own-", n))
		if crashed, _ := f.crashTotals(); crashed >= maxCrashes || n > 10 {
			break
		}
	}
	time.Sleep(learningTime)
	_, before := f.crashTotals()
	refused := 0
	for n := range 20 {
		r := f.callWithParts("first", "second", deadlyPart, fmt.Sprint("later-", n))
		if r.status == http.StatusServiceUnavailable {
			refused++
			c.Check(r.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			c.Check(f.runCount(r.id), qt.Equals, 0)
		}
	}
	_, after := f.crashTotals()
	c.Check(after-before <= maxLaterRequests, qt.IsTrue, qt.Commentf("%d requests with the part reached servers", after-before))
	c.Check(refused >= 20-maxLaterRequests, qt.IsTrue, qt.Commentf("%d refused", refused))
	f.eventually("all servers are back", func() bool { return f.callWithParts("first", "sound", "own").status == http.StatusOK })
	var wg sync.WaitGroup
	for n := range 10 {
		wg.Go(func() {
			r := f.callWithParts("first", "second", "sound", fmt.Sprint("sound-", n))
			c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
		})
	}
	wg.Wait()
}

// TestFleetResetsBlockNoPromptPart guards against servers that end the connections of some requests, and count as crashed although
// their other connections go on: prompt parts that such requests share were refused for 10 s.
func TestFleetResetsBlockNoPromptPart(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 10_000)
	var wg sync.WaitGroup
	callOthers := func() {
		for range 12 {
			wg.Go(func() { f.call("POST", "/stream/other", workspaceKey, standin.StreamHeaders(), nil) })
		}
		wg.Wait()
	}
	callOthers()
	time.Sleep(learningTime)
	reset := func(r *http.Request) standin.ServerFault {
		if strings.HasPrefix(r.Header.Get(standin.HeaderPromptParts), "first:") {
			return standin.CloseWithoutAnswer
		}
		return standin.NoFault
	}
	for _, s := range f.servers {
		s.SetFault(reset)
	}
	for n := range 6 {
		f.callWithParts("first", fmt.Sprint("reset-", n))
	}
	for _, s := range f.servers {
		s.SetFault(nil)
	}
	start := time.Now()
	f.eventually("requests with the part are served", func() bool {
		callOthers()
		return f.callWithParts("first", "own").status == http.StatusOK
	})
	c.Check(time.Since(start) < 3*time.Second, qt.IsTrue, qt.Commentf("served after %v", time.Since(start)))
}
