package cmd

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

// TestFleetTakenUpStreamLooksComplete guards against a stream that ends as complete where one server closed its connection,
// although the server that was asked to resume it before had closed its connection before the next event.
func TestFleetTakenUpStreamLooksComplete(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 10_000)
	f.injectFaults("llm", standin.UnframedEmpty, standin.UnframedBetween, standin.InternalError)
	r := f.call("POST", "/resume/x", workspaceKey, resumeHeaders("8"), nil)
	c.Check(r.status, qt.Equals, http.StatusOK)
	c.Check(r.err, qt.IsNotNil)
}

// TestFleetUnconfirmedEndWithoutChunks guards against a reset at a caller with HTTP/1.0 whose stream ends as complete
// although no other server answered to confirm the end.
func TestFleetUnconfirmedEndWithoutChunks(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 10_000)
	f.injectFaults("llm", standin.Unframed, standin.InternalError, standin.InternalError)
	response, err := io.ReadAll(f.connectForStream(c, "/resume/x", "HTTP/1.0"))
	c.Assert(err, qt.IsNil)
	c.Assert(strings.HasSuffix(string(response), "\r\n\r\n"+streamBody("by-hand")), qt.IsTrue, qt.Commentf("%q", response))
}

// TestFleetUnframedItemsAskAnotherServer guards against a server that is asked to confirm its own end of an item.
func TestFleetUnframedItemsAskAnotherServer(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 10_000)
	f.injectFault("llm", 1<<40, standin.Unframed)
	for n := range 8 {
		job := fmt.Sprint("job-", n)
		f.submitUntilAccepted(job, 1)
		for _, item := range f.awaitResults(job, 1) {
			for id, s := range f.servers {
				c.Check(s.RunCount(item) <= 1, qt.IsTrue, qt.Commentf("%s ran %s %d times", id, item, s.RunCount(item)))
			}
			c.Check(f.runCount(item), qt.Equals, 3, qt.Commentf("two other servers agree"))
		}
	}
}
