package cmd

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/objects/memory"
)

func (f *fleet) submit(id string, items int) result {
	raw, err := standin.JobBody(id, items)
	qt.Assert(f.t, err, qt.IsNil)
	return f.call("POST", "/batch/x", key, map[string]string{standin.HeaderRequestID: id}, raw)
}

func (f *fleet) read(id string, after int) (l standin.JobListing, status int) {
	r := f.call("GET", standin.JobPath(id, after), key, standin.WaitHeaders(300), nil)
	if r.status == 200 {
		qt.Assert(f.t, json.Unmarshal([]byte(r.body), &l), qt.IsNil)
	}
	return l, r.status
}

// whole reads a job until all its results are there, and checks each.
func (f *fleet) whole(id string, items int) (order []string) {
	f.eventually("job "+id+" is done", func() bool {
		l, status := f.read(id, len(order))
		if status != 200 {
			return false
		}
		for _, one := range l.Results {
			order = append(order, one.ID)
			qt.Assert(f.t, one.State, qt.Equals, "completed")
			var want []string
			for n := 1; n <= 12; n++ {
				want = append(want, standin.EventText(one.ID, n))
			}
			qt.Assert(f.t, one.Output, qt.Equals, strings.Join(want, "\n"))
		}
		return len(order) == items
	})
	seen := make(map[string]bool)
	for _, one := range order {
		qt.Assert(f.t, seen[one], qt.IsFalse, qt.Commentf("%s stands twice", one))
		seen[one] = true
	}
	return order
}

func TestFleetBatch(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1000)

	c.Run("a job is accepted once and completes", func(c *qt.C) {
		c.Assert(f.submit("job-a", 9).status, qt.Equals, 202)
		c.Assert(f.submit("job-a", 9).status, qt.Equals, 202)
		order := f.whole("job-a", 9)
		again, _ := f.read("job-a", 3)
		c.Assert(again.Results[0].ID, qt.Equals, order[3])
		c.Assert(again.Total, qt.Equals, 9)
	})
	c.Run("another workspace doesn't see it", func(c *qt.C) {
		c.Assert(f.call("GET", standin.JobPath("job-a", 0), "key-of-v", nil, nil).status, qt.Equals, 404)
	})
	c.Run("a job over the cap is refused", func(c *qt.C) {
		f.pause(300 * time.Millisecond)
		r := f.submit("job-b", 150)
		c.Assert(r.status, qt.Equals, 202)
		body := f.call("GET", standin.ItemPath("job-b", "job-b-149"), key, nil, nil)
		c.Assert(body.body, qt.Equals, "job-b")
		cut := standin.Configuration(9, map[string]string{key: "w"}, 1000)
		standin.SetBatchTokenCap(cut, 1)
		c.Assert(standin.Configure(f.store, cut), qt.IsNil)
		n := 0
		f.eventually("a further job is refused", func() bool {
			n++
			return f.submit(fmt.Sprintf("job-c%d", n), 5).status == 429
		})
		accepted := n - 1
		c.Assert(f.call("DELETE", standin.JobPath("job-b", 0), key, nil, nil).status, qt.Equals, 200)
		c.Assert(f.call("DELETE", standin.JobPath("job-b", 0), key, nil, nil).status, qt.Equals, 200)
		f.pause(2 * time.Millisecond)
		c.Assert(standin.Configure(f.store, standin.Configuration(11, map[string]string{key: "w"}, 1000)), qt.IsNil)
		// Jobs accepted before the cap was in force run to their ends, or they would take the faults of what follows.
		for job := 1; job <= accepted; job++ {
			f.whole(fmt.Sprintf("job-c%d", job), 5)
		}
	})
	c.Run("items that can't be done are errored", func(c *qt.C) {
		f.faults("llm", 1, standin.Unprocessable)
		f.eventually("the job is accepted", func() bool { return f.submit("job-d", 1).status == 202 })
		f.eventually("it is listed", func() bool {
			l, _ := f.read("job-d", 0)
			return len(l.Results) == 1 && l.Results[0].State == "errored"
		})
	})
	c.Run("cut runs go on", func(c *qt.C) {
		f.faults("llm", 4, standin.CutAnswer)
		c.Assert(f.submit("job-e", 4).status, qt.Equals, 202)
		f.whole("job-e", 4)
	})
	c.Run("answers of the store that are lost double nothing", func(c *qt.C) {
		var n atomic.Int64
		f.store.SetFault(func(op memory.Op) memory.Fault {
			if (op.Verb == "create" || op.Verb == "replace") && n.Add(1)%2 == 0 {
				return memory.LoseAnswer
			}
			return memory.None
		})
		f.eventually("the job is accepted", func() bool { return f.submit("job-f", 8).status == 202 })
		f.whole("job-f", 8)
		f.store.SetFault(nil)
	})
	c.Run("an owner that stops hands over, and nothing is lost", func(c *qt.C) {
		f.pause(20 * time.Millisecond)
		c.Assert(f.submit("job-g", 12).status, qt.Equals, 202)
		f.stop[0]()
		f.stop[1]()
		f.whole("job-g", 12)
		f.whole("job-a", 9)
	})
	c.Run("no part of a job runs that the store refused", func(c *qt.C) {
		f.store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
		r := f.submit("job-h", 3)
		c.Assert(r.status, qt.Equals, 503)
		f.store.SetFault(nil)
		time.Sleep(300 * time.Millisecond)
		c.Assert(f.ran("job-h-0"), qt.Equals, 0)
	})
}
