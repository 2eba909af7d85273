package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/catalog"
)

// manualClock is a clock that a test sets.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// TestRequestsWaitForTheFirstConfiguration checks that a starting host lets a request wait for the first configuration,
// and that one without a configuration after its startup time rejects requests at once.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	c := qt.New(t)
	clock := &manualClock{now: time.Unix(1000, 0)}
	h := New(nil, nil, nil, nil, nil, clock, 64)
	found := make(chan *catalog.Catalog)
	go func() { found <- h.awaitCatalog(t.Context()) }()
	newest := catalog.New(1, nil, nil, nil, catalog.Limits{})
	c.Assert(h.SetCatalog(newest), qt.IsTrue)
	c.Assert(<-found, qt.Equals, newest)
	c.Assert(h.SetCatalog(catalog.New(2, nil, nil, nil, catalog.Limits{})), qt.IsTrue)

	late := New(nil, nil, nil, nil, nil, clock, 64)
	clock.now = clock.now.Add(startupTime)
	begin := time.Now()
	c.Assert(late.awaitCatalog(t.Context()), qt.IsNil)
	c.Assert(time.Since(begin) < unavailableRetryAfter, qt.IsTrue)
}
