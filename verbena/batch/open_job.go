package batch

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// openJob is an open job with the state of its items.
type openJob struct {
	Job
	committed *Bitmap
	// finished includes items whose result is not committed yet.
	finished *Bitmap
	failed   int
	nextItem ids.ItemIndex
	requeued []ids.ItemIndex
	running  map[ids.ItemIndex]assignment
	attempts map[ids.ItemIndex]int
	closing  bool
	// paused is true while the job's shard is being handed over to another owner.
	paused bool
}

// assignment records which manager runs an item, and when the item is considered lost.
type assignment struct {
	manager   ids.HostID
	expiresAt time.Time
}

func (j *openJob) pending() int {
	if j.State != Open || j.paused {
		return 0
	}
	j.skipFinished()
	return j.Items - int(j.nextItem) + len(j.requeued)
}

// skipFinished skips queued items whose result has arrived meanwhile.
func (j *openJob) skipFinished() {
	for len(j.requeued) > 0 && j.finished.Has(j.requeued[0]) {
		j.requeued = j.requeued[1:]
	}
	for int(j.nextItem) < j.Items && j.finished.Has(j.nextItem) {
		j.nextItem++
	}
}

func (j *openJob) takeNext() (i ids.ItemIndex) {
	j.skipFinished()
	if n := len(j.requeued); n > 0 {
		i, j.requeued = j.requeued[0], j.requeued[1:]
		return i
	}
	i = j.nextItem
	j.nextItem++
	return i
}

// closeIfDone returns a CloseJob command once every item is committed, or once a
// cancelled job has no result left to commit.
func (j *openJob) closeIfDone() []Command {
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

func (j *openJob) progress() Progress {
	return Progress{
		Job: j.Job, Committed: j.committed.Count(), Finished: j.finished.Count(),
		Running: len(j.running), Failed: j.failed,
	}
}
