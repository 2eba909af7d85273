package placing_test

import (
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/placing"
)

func recorded(t *testing.T) []placing.Arrival {
	f, err := os.Open("testdata/bursts.txt")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = f.Close() }() // it is read only
	load, err := placing.ReadLoad(f)
	qt.Assert(t, err, qt.IsNil)
	return load
}

// densities are how many times the recorded bursts are played at once: up to where no policy helps all.
var densities = []float64{1, 1.5, 2, 2.5, 3}

// TestOwnerServesMost: at each density one owner of the slots starts more answers in time than counts of
// peers do, and these no fewer than hosts that go by their own counts.
func TestOwnerServesMost(t *testing.T) {
	c := qt.New(t)
	for _, d := range densities {
		load := placing.Dense(recorded(t), d)
		alone := placing.Play(load, placing.Standard(placing.Alone))
		peers := placing.Play(load, placing.Standard(placing.Peers))
		owner := placing.Play(load, placing.Standard(placing.Owner))
		c.Check(owner.InTime > peers.InTime, qt.IsTrue, qt.Commentf("density %.1f: %d by an owner, %d by peers", d, owner.InTime, peers.InTime))
		c.Check(peers.InTime >= alone.InTime, qt.IsTrue, qt.Commentf("density %.1f: %d by peers, %d alone", d, peers.InTime, alone.InTime))
	}
}

// TestEarlyRefusalServesMore: callers who are refused early and told when to come back get more answers
// in time than callers who all wait, and no caller waits longer for its last word.
func TestEarlyRefusalServesMore(t *testing.T) {
	c := qt.New(t)
	for _, d := range densities {
		load := placing.Dense(recorded(t), d)
		s := placing.Standard(placing.Owner)
		early := placing.Play(load, s)
		s.Waits = true
		waits := placing.Play(load, s)
		c.Check(early.InTime >= waits.InTime, qt.IsTrue, qt.Commentf("density %.1f: %d early, %d waiting", d, early.InTime, waits.InTime))
		c.Check(early.Words.At(1) <= s.Patience, qt.IsTrue)
	}
}

// TestSameResult: a play is the same each time.
func TestSameResult(t *testing.T) {
	load := placing.Dense(recorded(t), 2)
	qt.Assert(t, placing.Play(load, placing.Standard(placing.Owner)), qt.DeepEquals, placing.Play(load, placing.Standard(placing.Owner)))
}

func TestReadLoad(t *testing.T) {
	c := qt.New(t)
	load, err := placing.ReadLoad(strings.NewReader("# a comment\n\n15 3 20\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(load, qt.DeepEquals, []placing.Arrival{{At: 15 * time.Millisecond, Host: 3, Events: 20}})
	_, err = placing.ReadLoad(strings.NewReader("15 3\n"))
	c.Assert(err, qt.ErrorMatches, "line 1 of the load: .*")
	c.Assert(placing.Dense(load, 2.5), qt.HasLen, 2)
}
