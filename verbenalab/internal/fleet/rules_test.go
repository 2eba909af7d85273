package fleet_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/fleet"
	"verbenaledge.example/verbenalab/internal/platform"
)

// rulesLimit bounds the time until all daemons have new rules.
const rulesLimit = 5 * time.Second

// TestConcurrentRulesChanges applies several rules files concurrently to the same version. One must succeed and reach
// all hosts within the limit, and the others must fail with the exit code for a conflict. A daemon that is restarted
// during an outage of the platform must not fall back to older rules.
func TestConcurrentRulesChanges(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	out, err := f.Verbenactl(f.ctx, "--json", "rules", "show")
	f.Assert(err, qt.IsNil)
	version := textBetween(string(out), `"version": `, ",")
	results := make([]error, 4)
	var wg sync.WaitGroup
	for i := range results {
		text := rulesText + fmt.Sprintf("allow racer-%d model rate=1/s burst=1 # asked by operator %d\n", i, i)
		file := filepath.Join(f.dir, fmt.Sprintf("race-%d.rules", i))
		f.Assert(os.WriteFile(file, []byte(text), 0o644), qt.IsNil)
		wg.Go(func() {
			_, results[i] = f.Verbenactl(f.ctx, "rules", "apply", "--no-wait", "--if-version", version, file)
		})
	}
	wg.Wait()
	winner := -1
	for i, err := range results {
		if err == nil {
			f.Assert(winner, qt.Equals, -1)
			winner = i
			continue
		}
		var failed *fleet.ExitError
		f.Assert(err, qt.ErrorAs, &failed)
		f.Assert(failed.Code, qt.Equals, 4)
	}
	f.Assert(winner >= 0, qt.IsTrue)
	elapsed := f.eventually(rulesLimit, "rules in force", func() bool { return f.oldestRulesVersion() > parseVersion(version) })
	t.Logf("in force on all hosts after %s", elapsed.Round(time.Millisecond))
	newest := f.oldestRulesVersion()
	f.Assert(f.SetFaults(platform.Faults{Down: true}), qt.IsNil)
	f.Hosts[0].Kill()
	f.Assert(f.StartHost(f.Hosts[0]), qt.IsNil)
	f.eventually(rulesLimit, "the restarted daemon has the rules of its peers", func() bool { return f.oldestRulesVersion() == newest })
	f.Assert(f.SetFaults(platform.Faults{}), qt.IsNil)
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		f.Assert(f.oldestRulesVersion() >= newest, qt.IsTrue)
	}
}

// oldestRulesVersion returns the lowest version of the rules over all daemons, or 0 if one doesn't answer.
func (f *testFleet) oldestRulesVersion() (oldest uint64) {
	for i, h := range f.Hosts {
		var s struct {
			Versions map[string]uint64 `json:"versions"`
		}
		if f.ReadAdmin(h, "/admin/status", &s) != nil {
			return 0
		}
		if v := s.Versions["rules"]; i == 0 || v < oldest {
			oldest = v
		}
	}
	return oldest
}

// textBetween returns the text between the first start and the next end, without surrounding spaces.
func textBetween(text, start, end string) string {
	_, rest, _ := strings.Cut(text, start)
	found, _, _ := strings.Cut(rest, end)
	return strings.TrimSpace(found)
}

func parseVersion(text string) (n uint64) {
	_, _ = fmt.Sscan(text, &n)
	return n
}
