package lease_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/lease"
)

var (
	start  = time.UnixMicro(1)
	timing = lease.Timing{Duration: 6 * time.Second, Margin: 500 * time.Millisecond, Renew: 1500 * time.Millisecond}
)

// TestScripts runs the files in testdata. Each line is an event; lines that begin with > are the commands
// that must follow from it.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) { runScript(t, f) })
	}
}

func runScript(t *testing.T, name string) {
	f, err := os.Open(name)
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, f.Close(), qt.IsNil) }()
	h := lease.NewHolder(timing)
	var got []string
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		want, isCommand := strings.CutPrefix(line, "> ")
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case isCommand:
			qt.Assert(t, got, qt.Not(qt.HasLen), 0, qt.Commentf("line %d: nothing follows, want %s", n, want))
			qt.Assert(t, got[0], qt.Equals, want, qt.Commentf("line %d", n))
			got = got[1:]
		default:
			qt.Assert(t, got, qt.HasLen, 0, qt.Commentf("line %d", n))
			got = step(t, h, strings.Fields(line))
		}
	}
	qt.Assert(t, got, qt.HasLen, 0)
}

func step(t *testing.T, h *lease.Holder, words []string) (got []string) {
	at := moment(t, words[0])
	var e lease.Event
	switch words[1] {
	case "tick":
		e = lease.Tick{}
	case "written":
		e = lease.Written{Term: 1, Version: 7, Sent: moment(t, words[2])}
	case "failed":
		e = lease.WriteFailed{Term: 1}
	case "lost":
		e = lease.WriteFailed{Term: 1, Lost: true}
	case "give-up":
		e = lease.GiveUp{}
	case "release":
		e = lease.Release{}
	case "valid":
		return []string{fmt.Sprint(h.Valid(at))}
	}
	for _, c := range h.Step(at, e) {
		got = append(got, strings.TrimPrefix(fmt.Sprintf("%T", c), "lease."))
	}
	return got
}

func moment(t *testing.T, text string) time.Time {
	d, err := time.ParseDuration(text)
	qt.Assert(t, err, qt.IsNil)
	return start.Add(d)
}

// TestHolderStopsOnceLeaseIsBroken runs a holder and a monitor against a platform that delays writes and
// loses answers, and checks that the holder no longer acts once the monitor has broken its lease.
func TestHolderStopsOnceLeaseIsBroken(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := start
		h := lease.NewHolder(timing)
		m := lease.NewMonitor(timing.Duration)
		version := ids.Version(0)
		term := ids.Term(0)
		broken := false
		for range rapid.IntRange(10, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 20, 700, 2500, 9000}).Draw(rt, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "holder is paused") {
				checkLeases(rt, m, &now, version, term, &broken)
				if broken && h.Valid(now) && h.Term() == term {
					rt.Fatalf("the holder acts at %s though its lease is broken", now.Sub(start))
				}
				continue
			}
			for _, c := range h.Step(now, lease.Tick{}) {
				sent := now
				now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 50, 4000}).Draw(rt, "time of the call")) * time.Millisecond)
				h.Step(now, storeWrite(rt, c, sent, &version, &term, &broken))
			}
			checkLeases(rt, m, &now, version, term, &broken)
			if broken && h.Valid(now) && h.Term() == term {
				rt.Fatalf("the holder acts at %s though its lease is broken", now.Sub(start))
			}
		}
	})
}

// checkLeases lets the monitor list the leases and break one that has expired.
func checkLeases(rt *rapid.T, m *lease.Monitor, now *time.Time, version ids.Version, term ids.Term, broken *bool) {
	if version == 0 || *broken || rapid.Bool().Draw(rt, "monitor is busy") {
		return
	}
	asked := *now
	*now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 300}).Draw(rt, "time of the listing")) * time.Millisecond)
	listing := []lease.Entry{{ID: lease.ID{Host: "h", Term: term}, Version: version}}
	*broken = len(m.Observe(asked, *now, listing)) > 0
}

// storeWrite simulates the platform: it executes a write at some time between the call and the answer, which may be lost.
func storeWrite(rt *rapid.T, cmd lease.Command, sent time.Time, version *ids.Version, term *ids.Term, broken *bool) lease.Event {
	lost := rapid.IntRange(0, 3).Draw(rt, "answer lost") == 0
	switch c := cmd.(type) {
	case lease.Create:
		*version++
		*term, *broken = c.Term, false
		if lost {
			return lease.WriteFailed{Term: c.Term}
		}
		return lease.Written{Term: c.Term, Version: *version, Sent: sent}
	case lease.Renew:
		if *broken || c.Term != *term {
			return lease.WriteFailed{Term: c.Term, Lost: true}
		}
		*version++
		if lost {
			return lease.WriteFailed{Term: c.Term}
		}
		return lease.Written{Term: c.Term, Version: *version, Sent: sent}
	}
	return lease.Tick{}
}
