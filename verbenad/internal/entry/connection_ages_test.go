package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestConnectionAgesAreNotOverstated guards against a connection that counts as older than it is: its answers would refute
// crashes of which it knows nothing.
func TestConnectionAgesAreNotOverstated(t *testing.T) {
	c := qt.New(t)
	var ages connectionAges
	start := time.Unix(1000, 0)
	openAt := func(after time.Duration, number uint64) time.Duration {
		return ages.observe(start.Add(after), number).Sub(start)
	}
	c.Check(openAt(time.Second, 3), qt.Equals, time.Second)
	// Connection 5 was opened after the response on connection 3.
	c.Check(openAt(2*time.Second, 5), qt.Equals, 2*time.Second)
	c.Check(openAt(3*time.Second, 5), qt.Equals, 2*time.Second)
	// Connection 4 was opened before connection 5, and connection 2 before connection 3.
	c.Check(openAt(4*time.Second, 4), qt.Equals, 2*time.Second)
	c.Check(openAt(4*time.Second, 2), qt.Equals, time.Second)
	// Two within the resolution share the later time.
	c.Check(openAt(5*time.Second, 6), qt.Equals, 5*time.Second)
	c.Check(openAt(5*time.Second+connectionAgeResolution/2, 7), qt.Equals, 5*time.Second+connectionAgeResolution/2)
	c.Check(openAt(6*time.Second, 6), qt.Equals, 5*time.Second+connectionAgeResolution/2)
	// Greater ages are not distinguished.
	c.Check(openAt(5*time.Second+maxConnectionAge, 2), qt.Equals, 2*time.Second)
}

// TestConnectionAgesAreBounded guards against memory that grows with the number of connections.
func TestConnectionAgesAreBounded(t *testing.T) {
	var ages connectionAges
	now := time.Unix(1000, 0)
	for number := range uint64(100_000) {
		now = now.Add(10 * time.Millisecond)
		ages.observe(now, number)
	}
	qt.Assert(t, len(ages.opened) <= int(maxConnectionAge/connectionAgeResolution)+2, qt.IsTrue)
}
