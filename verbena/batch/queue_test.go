package batch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/ids"
)

var start = time.Unix(1_000_000, 0)

func newJob(name string, w ids.WorkspaceID, items int) batch.Job {
	return batch.Job{
		ID: ids.JobID(name), Workspace: w, Service: "m", Items: items, State: batch.Open, Deadline: start.Add(time.Hour),
	}
}

// queueDriver carries out a queue's commands as its runtime would, and simulates
// lost, returned and duplicated items.
type queueDriver struct {
	queue               *batch.Queue
	now                 time.Time
	uncommitted         []batch.Result
	stored              map[batch.ItemRef]int
	assigned            []batch.ItemRef
	closed              map[ids.JobID]batch.CloseJob
	cancelled           map[ids.JobID]bool
	assignedAfterCancel int
}

func (d *queueDriver) step(e batch.Event) {
	for _, cmd := range d.queue.Step(d.now, e) {
		switch c := cmd.(type) {
		case batch.AssignItems:
			d.assigned = append(d.assigned, c.Items...)
			for _, i := range c.Items {
				if d.cancelled[i.Job] {
					d.assignedAfterCancel++
				}
			}
		case batch.StoreResult:
			d.uncommitted = append(d.uncommitted, c.Result)
			d.stored[batch.ItemRef{Job: c.Result.Job, Index: c.Result.Index}]++
		case batch.FailItem:
			d.step(batch.ItemFinished{Result: batch.Result{Job: c.Item.Job, Index: c.Item.Index, Failed: true}})
		case batch.CloseJob:
			if _, twice := d.closed[c.Job]; twice {
				panic("closed twice")
			}
			d.closed[c.Job] = c
		case batch.CancelItems:
		}
	}
}

// TestResultStoredOnce assigns items and loses, returns or duplicates them at random.
// Each result must be stored at most once, all results of a completed job must be
// stored, no item may be assigned after a cancel, and the job must close.
func TestResultStoredOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := &queueDriver{
			queue: batch.NewQueue(3, time.Minute), now: start, stored: map[batch.ItemRef]int{},
			closed: map[ids.JobID]batch.CloseJob{}, cancelled: map[ids.JobID]bool{},
		}
		n := rapid.IntRange(1, 60).Draw(rt, "items")
		d.step(batch.JobLoaded{Job: newJob("a", "w", n), Weight: 1})
		cancel := rapid.IntRange(-200, 60).Draw(rt, "cancel at")
		for i := 0; len(d.closed) == 0; i++ {
			if i > 5000 {
				rt.Fatalf("not closed")
			}
			if i == cancel {
				d.step(batch.CancelRequested{Job: "a"})
				d.cancelled["a"] = true
			}
			d.now = d.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(rt, "pause")) * time.Millisecond)
			d.step(batch.Tick{})
			d.step(batch.ItemsRequested{Manager: "h", Service: "m", Max: rapid.IntRange(1, 8).Draw(rt, "max")})
			d.resolveAssigned(rt)
			if rapid.Bool().Draw(rt, "commit") {
				done := d.uncommitted
				d.uncommitted = nil
				d.step(batch.ResultsCommitted{Results: done})
			}
		}
		for r, k := range d.stored {
			if k != 1 {
				rt.Fatalf("%v stored %d times", r, k)
			}
		}
		c := d.closed["a"]
		if c.State == batch.Completed && (len(d.stored) != n || c.Completed+c.Failed != n) {
			rt.Fatalf("closed with %d of %d results stored: %+v", len(d.stored), n, c)
		}
		if d.assignedAfterCancel > 0 {
			rt.Fatalf("%d items assigned after the cancel", d.assignedAfterCancel)
		}
	})
}

// resolveAssigned lets each assigned item finish once, finish twice, be returned or be lost.
func (d *queueDriver) resolveAssigned(rt *rapid.T) {
	assigned := d.assigned
	d.assigned = nil
	for _, r := range assigned {
		result := batch.ItemFinished{Result: batch.Result{Job: r.Job, Index: r.Index}}
		switch rapid.IntRange(0, 9).Draw(rt, "fate") {
		case 0: // lost
		case 1:
			d.step(batch.ItemReturned{Item: r, Manager: "h", Yielded: true})
		case 2:
			d.step(batch.ItemReturned{Item: r, Manager: "h", Reason: "failed"})
		case 3:
			d.step(result)
			d.step(result)
		case 4:
			d.step(batch.ManagersChanged{})
			d.step(result) // late
		default:
			d.step(result)
		}
	}
}

// TestFairShare assigns items of workspaces with large and small jobs: each workspace
// must get its max-min fair share by weight.
func TestFairShare(t *testing.T) {
	c := qt.New(t)
	q := batch.NewQueue(3, time.Hour)
	now := start
	q.Step(now, batch.JobLoaded{Job: newJob("large", "a", 5000), Weight: 1})
	q.Step(now, batch.JobLoaded{Job: newJob("heavy", "b", 5000), Weight: 2})
	q.Step(now, batch.JobLoaded{Job: newJob("small", "c", 30), Weight: 1})
	assigned := map[ids.JobID]int{}
	for range 400 {
		for _, cmd := range q.Step(now, batch.ItemsRequested{Manager: "h", Service: "m", Max: 3}) {
			a, _ := cmd.(batch.AssignItems)
			for _, i := range a.Items {
				assigned[i.Job]++
				q.Step(now, batch.ItemFinished{Result: batch.Result{Job: i.Job, Index: i.Index}})
			}
		}
	}
	c.Assert(assigned["small"], qt.Equals, 30)
	c.Assert(assigned["large"] >= 385 && assigned["large"] <= 395, qt.IsTrue, qt.Commentf("%v", assigned))
	c.Assert(assigned["heavy"] >= 775 && assigned["heavy"] <= 785, qt.IsTrue, qt.Commentf("%v", assigned))
}

// TestItemOutlivesCrashes guards against an item that is given up because servers crashed while they ran it. It is
// assigned again after each crash, more often than it has attempts, and its result is stored.
func TestItemOutlivesCrashes(t *testing.T) {
	c := qt.New(t)
	q := batch.NewQueue(3, time.Hour)
	q.Step(start, batch.JobLoaded{Job: newJob("a", "w", 1), Weight: 1})
	ref := batch.ItemRef{Job: "a", Index: 0}
	assigned := []batch.Command{batch.AssignItems{Manager: "h", Items: []batch.ItemRef{ref}}}
	request := batch.ItemsRequested{Manager: "h", Service: "m", Max: 1}
	for n := range 10 {
		c.Assert(q.Step(start, request), qt.DeepEquals, assigned, qt.Commentf("after %d crashes", n))
		c.Assert(q.Step(start, batch.ItemReturned{Item: ref, Manager: "h", Crashed: true, Reason: "crash"}), qt.HasLen, 0)
	}
	q.Step(start, request)
	result := batch.Result{Job: "a", Index: 0}
	c.Assert(q.Step(start, batch.ItemFinished{Result: result}), qt.DeepEquals, []batch.Command{batch.StoreResult{Result: result}})
}

// TestCrashesAreNoAttempts checks that an item keeps its attempts through crashes, and is given up after as many failures.
func TestCrashesAreNoAttempts(t *testing.T) {
	c := qt.New(t)
	q := batch.NewQueue(3, time.Hour)
	q.Step(start, batch.JobLoaded{Job: newJob("a", "w", 1), Weight: 1})
	ref := batch.ItemRef{Job: "a", Index: 0}
	for n, crashed := range []bool{false, true, false, true, true, false} {
		q.Step(start, batch.ItemsRequested{Manager: "h", Service: "m", Max: 1})
		cmds := q.Step(start, batch.ItemReturned{Item: ref, Manager: "h", Crashed: crashed, Reason: "failed"})
		if n < 5 {
			c.Assert(cmds, qt.HasLen, 0, qt.Commentf("return %d", n))
			continue
		}
		c.Assert(cmds, qt.DeepEquals, []batch.Command{batch.FailItem{Item: ref, Reason: "failed"}})
	}
}

// FuzzParseInput checks that no input makes the parser panic, and that the rows of
// accepted input are packed into chunks in which they can be found.
func FuzzParseInput(f *testing.F) {
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":"m","prompt":"x"}}`))
	f.Add([]byte("{}\n{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		in, err := batch.ParseInput(data)
		if err != nil {
			return
		}
		chunks, firstRows := batch.Pack(in.Lines)
		file := batch.File{FirstRows: firstRows, Rows: len(in.Lines)}
		if len(chunks) != len(firstRows) || file.ChunkOf(ids.ItemIndex(len(in.Lines)-1)) != len(chunks)-1 {
			t.Fatal("the chunks don't match the rows")
		}
	})
}

// TestParseInputErrors checks that each error names the invalid row.
func TestParseInputErrors(t *testing.T) {
	row := func(id, url, body string) string {
		return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":%q,"body":%s}`, id, url, body)
	}
	good := row("a", "/v1/chat/completions", `{"model":"m"}`)
	for _, tc := range []struct{ name, text, want string }{
		{"empty", "\n\n", "the file has no rows; send one JSON object a line"},
		{"not json", good + "\nx", "row 2: not a JSON object: invalid character 'x' looking for beginning of value"},
		{"no id", row("", "/v1/chat/completions", `{"model":"m"}`), "row 1: custom_id must have 1 to 256 bytes"},
		{"twice", good + "\n" + good, `row 2: custom_id "a" stands in row 1 already`},
		{"url", row("a", "/v1/embeddings", `{"model":"m"}`), "row 1: url must be /v1/chat/completions or /v1/completions"},
		{"stream", row("a", "/v1/completions", `{"model":"m","stream":true}`), "row 1: stream is not possible in a batch"},
		{
			"models", good + "\n" + row("b", "/v1/chat/completions", `{"model":"n"}`),
			"row 2: all rows must use one url and model; the first uses /v1/chat/completions and m",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := batch.ParseInput([]byte(tc.text))
			qt.Assert(t, err, qt.ErrorMatches, ".*")
			qt.Assert(t, err.Error(), qt.Equals, tc.want)
		})
	}
}
