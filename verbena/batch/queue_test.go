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

// owner drives a queue as its runtime would, with everything that can go wrong.
type owner struct {
	queue    *batch.Queue
	now      time.Time
	pending  []batch.Result
	kept     map[batch.ItemRef]int
	out      []batch.ItemRef
	closed   map[ids.JobID]batch.CloseJob
	stopped  map[ids.JobID]bool
	afterEnd int
}

func (o *owner) step(e batch.Event) {
	for _, cmd := range o.queue.Step(o.now, e) {
		switch c := cmd.(type) {
		case batch.AssignItems:
			o.out = append(o.out, c.Items...)
			for _, i := range c.Items {
				if o.stopped[i.Job] {
					o.afterEnd++
				}
			}
		case batch.StoreResult:
			o.pending = append(o.pending, c.Result)
			o.kept[batch.ItemRef{Job: c.Result.Job, Index: c.Result.Index}]++
		case batch.FailItem:
			o.step(batch.ItemFinished{Result: batch.Result{Job: c.Item.Job, Index: c.Item.Index, Failed: true}})
		case batch.CloseJob:
			if _, twice := o.closed[c.Job]; twice {
				panic("closed twice")
			}
			o.closed[c.Job] = c
		case batch.CancelItems:
		}
	}
}

// TestEachItemOnce gives items out, loses, returns and doubles them at random, and
// checks that each is kept once and that the job closes.
func TestEachItemOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := &owner{
			queue: batch.NewQueue(3, time.Minute), now: start, kept: map[batch.ItemRef]int{},
			closed: map[ids.JobID]batch.CloseJob{}, stopped: map[ids.JobID]bool{},
		}
		n := rapid.IntRange(1, 60).Draw(rt, "items")
		o.step(batch.JobLoaded{Job: newJob("a", "w", n), Weight: 1})
		cancel := rapid.IntRange(-200, 60).Draw(rt, "cancel at")
		for i := 0; len(o.closed) == 0; i++ {
			if i > 5000 {
				rt.Fatalf("not closed")
			}
			if i == cancel {
				o.step(batch.CancelRequested{Job: "a"})
				o.stopped["a"] = true
			}
			o.now = o.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(rt, "pause")) * time.Millisecond)
			o.step(batch.Tick{})
			o.step(batch.ItemsRequested{Manager: "h", Service: "m", Max: rapid.IntRange(1, 8).Draw(rt, "max")})
			o.handle(rt)
			if rapid.Bool().Draw(rt, "commit") {
				done := o.pending
				o.pending = nil
				o.step(batch.ResultsCommitted{Results: done})
			}
		}
		for ref, times := range o.kept {
			if times != 1 {
				rt.Fatalf("%v kept %d times", ref, times)
			}
		}
		c := o.closed["a"]
		if c.State == batch.Completed && (len(o.kept) != n || c.Completed+c.Failed != n) {
			rt.Fatalf("closed with %d of %d kept: %+v", len(o.kept), n, c)
		}
		if o.afterEnd > 0 {
			rt.Fatalf("%d items given out after the cancel", o.afterEnd)
		}
	})
}

// handle does something with each item that is out: an answer, two, none or a return.
func (o *owner) handle(rt *rapid.T) {
	out := o.out
	o.out = nil
	for _, ref := range out {
		result := batch.ItemFinished{Result: batch.Result{Job: ref.Job, Index: ref.Index}}
		switch rapid.IntRange(0, 9).Draw(rt, "fate") {
		case 0: // lost
		case 1:
			o.step(batch.ItemReturned{Item: ref, Manager: "h", Yielded: true})
		case 2:
			o.step(batch.ItemReturned{Item: ref, Manager: "h", Reason: "failed"})
		case 3:
			o.step(result)
			o.step(result)
		case 4:
			o.step(batch.ManagersChanged{})
			o.step(result) // late
		default:
			o.step(result)
		}
	}
}

// TestFairShare gives out items of workspaces with much and with little work: each
// gets its max-min fair share by weight.
func TestFairShare(t *testing.T) {
	c := qt.New(t)
	q := batch.NewQueue(3, time.Hour)
	now := start
	q.Step(now, batch.JobLoaded{Job: newJob("large", "a", 5000), Weight: 1})
	q.Step(now, batch.JobLoaded{Job: newJob("heavy", "b", 5000), Weight: 2})
	q.Step(now, batch.JobLoaded{Job: newJob("small", "c", 30), Weight: 1})
	given := map[ids.JobID]int{}
	for range 400 {
		for _, cmd := range q.Step(now, batch.ItemsRequested{Manager: "h", Service: "m", Max: 3}) {
			d, _ := cmd.(batch.AssignItems)
			for _, i := range d.Items {
				given[i.Job]++
				q.Step(now, batch.ItemFinished{Result: batch.Result{Job: i.Job, Index: i.Index}})
			}
		}
	}
	c.Assert(given["small"], qt.Equals, 30)
	c.Assert(given["large"] >= 385 && given["large"] <= 395, qt.IsTrue, qt.Commentf("%v", given))
	c.Assert(given["heavy"] >= 775 && given["heavy"] <= 785, qt.IsTrue, qt.Commentf("%v", given))
}

// TestPoisonousItem ends an item that takes servers down at once.
func TestPoisonousItem(t *testing.T) {
	c := qt.New(t)
	q := batch.NewQueue(3, time.Hour)
	q.Step(start, batch.JobLoaded{Job: newJob("a", "w", 1), Weight: 1})
	q.Step(start, batch.ItemsRequested{Manager: "h", Service: "m", Max: 1})
	ref := batch.ItemRef{Job: "a", Index: 0}
	cmds := q.Step(start, batch.ItemReturned{Item: ref, Manager: "h", Poisonous: true, Reason: "poison"})
	c.Assert(cmds, qt.DeepEquals, []batch.Command{batch.FailItem{Item: ref, Reason: "poison"}})
}

// FuzzParseInput checks that no input makes the parser panic, and that what it
// accepts can be packed and found again.
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
			t.Fatal("rows are not where they should be")
		}
	})
}

// TestBadInput names the row of each fault.
func TestBadInput(t *testing.T) {
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
