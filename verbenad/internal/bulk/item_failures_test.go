package bulk

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbenad/internal/slots"
)

// newFailingServer returns a server that answers each item with 500.
func newFailingServer(t *testing.T) directory.Server {
	failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}))
	t.Cleanup(failing.Close)
	return directory.Server{
		ID: "failing", Service: "llm", SoftwareVersion: "1", Incarnation: 1, Address: strings.TrimPrefix(failing.URL, "http://"),
	}
}

// TestLoweredAttemptsEndRunningItem guards against an item that is errored at its first failure because a configuration has lowered the
// attempts that its route allows.
func TestLoweredAttemptsEndRunningItem(t *testing.T) {
	i := newItemRun(t)
	i.owner.configuration.Store(10)
	i.record.Job.Configuration, i.record.Job.MaxAttempts = 9, 3
	failing := newFailingServer(t)
	for _, want := range []sendResult{itemRetry, itemRetry, itemErrored} {
		slot := &slots.Slot{Server: failing, Yielded: make(chan struct{})}
		qt.Assert(t, i.send(t.Context(), &catalog.Route{MaxAttempts: 1}, slot), qt.Equals, want)
	}
}
