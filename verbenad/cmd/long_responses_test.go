package cmd

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

// TestFleetTooLongResponsesRefuseRequest guards against a request that is refused to all callers as one that crashes servers,
// because some of its responses exceeded what an entry host forwards.
func TestFleetTooLongResponsesRefuseRequest(t *testing.T) {
	const responses = 3
	c := qt.New(t)
	f := newFleet(t, 1000)
	f.injectFault("app", responses, standin.EndlessBody)
	for range responses {
		r := f.call("GET", "/app/long", workspaceKey, nil, nil)
		c.Assert(r.err, qt.IsNotNil, qt.Commentf("a cut response must not look complete"))
	}
	r := f.call("GET", "/app/long", workspaceKey, nil, nil)
	c.Assert(r.err, qt.IsNil)
	c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
}
