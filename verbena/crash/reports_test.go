package crash

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/scripted"
)

const testService ids.ServiceName = "llm"

// TestScripts replays the scripts of testdata. A line is an event with its time in milliseconds, followed by a software
// version and prompt parts, as v1:a,b.
func TestScripts(t *testing.T) {
	scripted.Run(t, func() scripted.Step {
		s := &script{}
		return func(t *testing.T, words scripted.Words) []string { return s.step(t, words) }
	})
}

type script struct {
	reports  Reports
	lastID   ReportID
	snapshot []Report
}

func (s *script) step(t *testing.T, words scripted.Words) (got []string) {
	now := words.Time()
	version, parts := promptOf(words.At(2))
	switch words.At(1) {
	case "crash", "trial":
		s.lastID++
		s.reports.Add(now, Unanswered{
			ID: s.lastID, Server: ids.BackendID(words.At(3)), Service: testService, Version: version, Parts: parts, Trial: words.At(1) == "trial",
			PlacedAt: now,
		})
	case "answered":
		s.reports.Answered(testService, version, parts, now.Add(-time.Duration(words.Number(3))*time.Millisecond))
	case "judge":
		j := s.reports.Judge(now, testService, version, parts, MaxCrashes)
		return []string{fmt.Sprintf("%s crashes=%d next_trial=%v", j.Verdict, j.Crashes, j.NextTrial)}
	case "snapshot":
		s.snapshot, _ = s.reports.Snapshot(now, 0)
	case "merge":
		s.reports.Merge(now, s.snapshot)
	case "new_host":
		s.reports = Reports{}
	case "expire":
		s.reports.RemoveExpired(now)
	case "count":
		return []string{fmt.Sprint(s.reports.Len())}
	default:
		t.Fatalf("unknown event %v", words)
	}
	return nil
}

func promptOf(text string) (version directory.SoftwareVersion, parts []ids.PromptPartID) {
	v, list, _ := strings.Cut(text, ":")
	for p := range strings.SplitSeq(list, ",") {
		if p != "" {
			parts = append(parts, ids.PromptPartID(p))
		}
	}
	return directory.SoftwareVersion(v), parts
}

// TestReportsAreBounded adds crashes with endless different parts. A blocked part must stay blocked.
func TestReportsAreBounded(t *testing.T) {
	c := qt.New(t)
	var rs Reports
	now := time.Unix(1000, 0)
	bad := []ids.PromptPartID{"bad"}
	for n := range MaxCrashes {
		now = now.Add(time.Second)
		rs.Add(now, Unanswered{ID: ReportID(n), Server: "s", Service: testService, Parts: bad, Trial: n > 0})
	}
	c.Assert(rs.Judge(now, testService, "", bad, MaxCrashes).Verdict, qt.Equals, Blocked)
	for n := range 10 * maxReports {
		now = now.Add(time.Millisecond)
		parts := make([]ids.PromptPartID, 2*maxCandidates)
		for p := range parts {
			parts[p] = ids.PromptPartID(fmt.Sprintf("%d-%d", n, p))
		}
		rs.Add(now, Unanswered{ID: ReportID(1000 + n), Server: ids.BackendID(fmt.Sprint(n)), Service: testService, Parts: parts})
	}
	c.Assert(rs.Len() <= maxReports, qt.IsTrue)
	for _, r := range rs.list {
		c.Assert(len(r.Candidates) <= maxCandidates, qt.IsTrue)
	}
	c.Assert(rs.Judge(now, testService, "", bad, MaxCrashes).Verdict, qt.Equals, Blocked)
	// So many blocked parts that their reports fill the memory don't keep a new part from being judged.
	for n := range maxReports {
		now = now.Add(time.Second)
		parts := []ids.PromptPartID{ids.PromptPartID(fmt.Sprint("bad-", n))}
		for crashes := range MaxCrashes {
			now = now.Add(time.Second)
			rs.Add(now, Unanswered{ID: ReportID(10_000 + 10*n + crashes), Server: "s", Service: testService, Parts: parts, Trial: true})
		}
		c.Assert(rs.Len() <= maxReports, qt.IsTrue)
		c.Assert(rs.Judge(now, testService, "", parts, MaxCrashes).Verdict, qt.Equals, Blocked, qt.Commentf("part %d", n))
	}
}
