package bulk

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
)

// TestGivenUpItemsKeepRuns guards against items that wait for a slot after they have been given up: other items don't start, and a
// server runs one whose result is no longer wanted.
func TestGivenUpItemsKeepRuns(t *testing.T) {
	f, s := newScriptedFixture(t, false)
	f.owner.SetCatalog(routesTo("r"))
	expired := jobOn("r", "a", 3)
	expired.GiveUpAt = time.Now().Add(500 * time.Millisecond)
	f.Assert(f.submit(expired), qt.Equals, bulk.Done)
	s.awaitRequests(f, "service-r", 3)
	f.eventually(func() bool {
		running := 0
		f.do(func() { running = f.owner.running })
		return running == 0
	})
}
