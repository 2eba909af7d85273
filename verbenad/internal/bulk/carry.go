package bulk

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/hostlink"
)

const (
	// passAfter gathers what is known of a job: its runs end within milliseconds once its shard is given up.
	passAfter = 20 * time.Millisecond
	// carryWait is how long the items of a shard that was taken over wait for the progress that its former owner
	// reports: it learns of the takeover and gathers its reports within a tenth of a second.
	carryWait = 250 * time.Millisecond
	// maxEarly bounds the calls that wait for a shard to be read; each is a job's.
	maxEarly = 1000
)

var (
	progressPassed = metrics.NewCounter("verbenad_progress_passed_total")
	resultsCarried = metrics.NewCounter("verbenad_results_carried_total")
	begunCarried   = metrics.NewCounter("verbenad_items_carried_total")
)

// Owners reaches the owner of a workspace's shard.
type OwnerClient interface {
	Call(ctx context.Context, c bulk.Call) bulk.Reply
}

// passing is progress on its way to a new owner.
type passing struct {
	record   *bulk.Record
	progress bulk.Progress
}

// release lets the items of a shard start that was taken over.
func (o *Owner) release(s bulk.Shard, h *shard) {
	if o.shards[s] != h {
		return
	}
	for _, r := range o.ledger.Records(s) {
		r.AwaitingProgress = false
	}
	o.start()
}

// pass queues a report to a shard's new owner; the reports on a job are gathered and sent together.
func (o *Owner) pass(r *bulk.Record, p bulk.Progress) {
	if out, ok := o.passing[r.Job.ID]; ok {
		out.progress.Add(p)
		return
	}
	o.passing[r.Job.ID] = &passing{record: r, progress: p}
	time.AfterFunc(passAfter, func() { o.post(func() { o.passNow(r.Job.ID) }) })
}

func (o *Owner) passNow(id ids.JobID) {
	out := o.passing[id]
	delete(o.passing, id)
	call := bulk.Call{Op: bulk.HandOverProgress, Job: id, Workspace: out.record.Job.Workspace, Progress: &out.progress}
	if _, ok := o.shards[out.record.Shard]; ok {
		o.carry(hostlink.JobsCall{Shard: out.record.Shard, Call: call}) // this host owns it again
		return
	}
	o.sending++
	go func() {
		reply := o.owners.Call(o.ctx, call)
		progressPassed.Inc()
		log.WithFields(log.Fields{
			"job": id, "shard": out.record.Shard, "results": len(out.progress.Results), "begun": len(out.progress.PartialAnswers), "outcome": reply.Code.String(),
		}).Info("progress passed on")
		o.post(func() { o.sending-- })
	}()
}

// Passed tells whether all reports to new owners have been sent and answered.
func (o *Owner) ProgressSent(ctx context.Context) bool {
	passed, ok := ask(ctx, o, func() bool { return len(o.passing)+o.sending == 0 })
	return ok && passed
}

// giveUp passes on the results of a shard's jobs that are not visible yet; the runs of its items follow as they end.
func (o *Owner) giveUp(s bulk.Shard) {
	for _, r := range o.ledger.Records(s) {
		if len(r.Pending) > 0 && !r.Ended {
			o.pass(r, bulk.Progress{Results: append([]bulk.Result(nil), r.Pending...)})
		}
	}
	o.ledger.DropShard(s)
}

// passRun reports the outcome of a run whose shard was given up, or how far it has come.
func (o *Owner) passRun(run *itemRun, result bulk.Result, done bool) {
	switch {
	case run.record.Ended:
	case done:
		o.pass(run.record, bulk.Progress{Results: []bulk.Result{result}})
	case run.events > 0:
		o.pass(run.record, bulk.Progress{PartialAnswers: []bulk.PartialAnswer{{Item: run.item.ID, Text: run.text, Events: run.events, LastEventID: run.last}}})
	}
}

// carry takes a former owner's report. If an item has a result of either owner, the one that becomes visible
// first is kept.
func (o *Owner) carry(q hostlink.JobsCall) bulk.Reply {
	h, ok := o.shards[q.Shard]
	switch {
	case !ok || q.Call.Progress == nil:
		return unavailable
	case h.ready:
		o.apply(q.Call)
	case len(h.early) < maxEarly:
		h.early = append(h.early, q.Call)
	}
	return bulk.Reply{Code: bulk.Done}
}

func (o *Owner) apply(c bulk.Call) {
	r, ok := o.ledger.Job(c.Job, c.Workspace)
	if !ok || r.Ended {
		return
	}
	r.AwaitingProgress = false
	for _, one := range c.Progress.Results {
		run := o.runs[runKey{c.Job, one.Item}]
		if !o.finish(r, one) {
			continue
		}
		resultsCarried.Inc()
		if run != nil {
			run.cancel()
		}
	}
	for _, b := range c.Progress.PartialAnswers {
		begunCarried.Inc()
		if run := o.runs[runKey{c.Job, b.Item}]; run != nil {
			run.carried.Store(&b) // it goes on from there with its next send
			continue
		}
		r.AddPartial(b)
	}
	log.WithFields(log.Fields{
		"job": c.Job, "results": len(c.Progress.Results), "begun": len(c.Progress.PartialAnswers), "outcome": "carried",
	}).Info("progress of a former owner")
}
