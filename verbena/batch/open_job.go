package batch

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// job is an open job: which items are done, out, or to be given out again.
type job struct {
	Job
	committed *Bitmap
	// finished includes results that wait for their commit.
	finished *Bitmap
	failed   int
	next     ids.ItemIndex
	again    []ids.ItemIndex
	running  map[ids.ItemIndex]run
	attempts map[ids.ItemIndex]int
	closing  bool
	// held is true when the job is about to have another owner.
	held bool
}

// run is an item that a manager has.
type run struct {
	manager ids.HostID
	expires time.Time
}

func (j *job) pending() int {
	if j.State != Open || j.held {
		return 0
	}
	j.skip()
	return j.Items - int(j.next) + len(j.again)
}

// skip moves past items whose result came in the meantime.
func (j *job) skip() {
	for len(j.again) > 0 && j.finished.Has(j.again[0]) {
		j.again = j.again[1:]
	}
	for int(j.next) < j.Items && j.finished.Has(j.next) {
		j.next++
	}
}

func (j *job) take() (i ids.ItemIndex) {
	j.skip()
	if n := len(j.again); n > 0 {
		i, j.again = j.again[0], j.again[1:]
		return i
	}
	i = j.next
	j.next++
	return i
}

// closeIfDone asks for the end state once every item is committed, or once a
// cancelled job has no result left to commit.
func (j *job) closeIfDone() []Command {
	if j.closing {
		return nil
	}
	done := j.committed.Count()
	switch {
	case j.State == Open && done == j.Items:
		j.closing = true
		return []Command{CloseJob{j.ID, Completed, done - j.failed, j.failed}}
	case j.State == Cancelling && done == j.finished.Count():
		j.closing = true
		return []Command{CloseJob{j.ID, Cancelled, done - j.failed, j.failed}}
	}
	return nil
}

func (j *job) progress() Progress {
	return Progress{
		Job: j.Job, Committed: j.committed.Count(), Finished: j.finished.Count(),
		Running: len(j.running), Failed: j.failed,
	}
}
