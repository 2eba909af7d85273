package host

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/crash"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
)

// TestCrashReportsOutliveAllHosts guards against a fleet that, once all of its hosts were lost, lets requests with a known
// crashing part crash as many servers as before. The store refuses the first calls; reports that block nothing aren't kept.
func TestCrashReportsOutliveAllHosts(t *testing.T) {
	c := qt.New(t)
	store := memory.New()
	var calls atomic.Int64
	store.SetFault(func(memory.Op) memory.Fault {
		if calls.Add(1) <= 2 {
			return memory.Refuse
		}
		return memory.None
	})
	all := make([]crash.Report, 0, crash.MaxCrashes+1)
	all = append(all, crash.Report{ID: 9, Server: "x", Service: "llm", Candidates: []ids.PromptPartID{"sound"}})
	for n := range crash.MaxCrashes {
		all = append(all, crash.Report{ID: crash.ReportID(n + 1), Server: "s", Service: "llm", Candidates: []ids.PromptPartID{"bad"}, Trial: n > 0, Age: time.Second})
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	before := newStoredCrashReports(store, clock.System{})
	go before.run(ctx, func([]crash.Report) { t.Error("nothing was stored yet") })
	before.save(all[:1])
	before.save(all)
	loaded := make(chan []crash.Report, 1)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		afterCtx, stop := context.WithTimeout(ctx, 200*time.Millisecond)
		newStoredCrashReports(store, clock.System{}).run(afterCtx, func(list []crash.Report) { loaded <- list })
		stop()
		if len(loaded) > 0 {
			break
		}
	}
	c.Assert(loaded, qt.HasLen, 1)
	list := <-loaded
	c.Assert(list, qt.HasLen, crash.MaxCrashes)
	var after crash.Reports
	after.Merge(time.Now(), list)
	verdict := after.Judge(time.Now(), "llm", "", []ids.PromptPartID{"bad", "other"}, crash.MaxCrashes)
	c.Assert(verdict.Verdict, qt.Equals, crash.Blocked)
}
