package bulk

import (
	"context"
	"time"
	"unicode/utf8"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbenad/internal/hostlink"
)

const (
	// gatherTime is how long progress on a job is gathered into one report; its runs end within milliseconds once
	// its shard is given up.
	gatherTime = 20 * time.Millisecond
	// progressWait is how long the items of a shard that was taken over wait for the former owner's report; that
	// host learns of the takeover and gathers its reports within 100 ms.
	progressWait = 250 * time.Millisecond
	// reportTimeout is how long a report is sent again while the new owner doesn't know that it owns the shard. A host whose store was
	// unavailable learns of changes up to 3 s after that.
	reportTimeout = 5 * time.Second
	// reportRetryPause is the pause before a report is sent again.
	reportRetryPause = 100 * time.Millisecond
	// maxEarlyReports bounds the reports that wait for a shard to be loaded; each covers one job.
	maxEarlyReports = 1000
)

var (
	reportsSent            = metrics.NewCounter("verbenad_progress_passed_total")
	resultsReceived        = metrics.NewCounter("verbenad_results_carried_total")
	partialAnswersReceived = metrics.NewCounter("verbenad_items_carried_total")
	partialAnswersDropped  = metrics.NewCounter("verbenad_partial_answers_dropped_total")
)

// OwnerClient calls the owner of a workspace's shard.
type OwnerClient interface {
	Call(ctx context.Context, c bulk.Call) bulk.Reply
}

// progressReport is progress on a job that is to be sent to the shard's new owner.
type progressReport struct {
	record   *bulk.Record
	progress bulk.Progress
}

// endProgressWait ends the wait for the former owner's reports and starts the shard's items.
func (o *Owner) endProgressWait(s bulk.Shard, sh *shard) {
	if o.shards[s] != sh {
		return
	}
	for _, r := range o.ledger.Records(s) {
		r.AwaitingProgress = false
	}
	o.start()
}

// queueReport adds progress to the job's report to the shard's new owner, which is sent after gatherTime.
func (o *Owner) queueReport(r *bulk.Record, p bulk.Progress) {
	if report, ok := o.reports[r.Job.ID]; ok {
		report.progress.Add(p)
		return
	}
	o.reports[r.Job.ID] = &progressReport{record: r, progress: p}
	time.AfterFunc(gatherTime, func() { o.post(func() { o.sendReport(r.Job.ID) }) })
}

func (o *Owner) sendReport(id ids.JobID) {
	report := o.reports[id]
	delete(o.reports, id)
	call := bulk.Call{Op: bulk.HandOverProgress, Job: id, Workspace: report.record.Job.Workspace, Progress: &report.progress}
	if _, ok := o.shards[report.record.Shard]; ok {
		o.handleReport(hostlink.JobsCall{Shard: report.record.Shard, Call: call}) // this host owns it again
		return
	}
	o.reportsInFlight++
	go func() {
		reply := o.callNewOwner(call)
		reportsSent.Inc()
		log.WithFields(log.Fields{
			"job": id, "shard": report.record.Shard, "results": len(report.progress.Results), "begun": len(report.progress.PartialAnswers),
			"outcome": reply.Code.String(),
		}).Info("progress passed on")
		o.post(func() { o.reportsInFlight-- })
	}()
}

// callNewOwner sends a report. While the new owner replies that it has nothing of it, it is sent again, for reportTimeout.
func (o *Owner) callNewOwner(report bulk.Call) (reply bulk.Reply) {
	ctx, cancel := context.WithTimeout(o.ctx, reportTimeout)
	defer cancel()
	for {
		if reply = o.owners.Call(o.ctx, report); reply.Code != bulk.Unavailable || ctx.Err() != nil {
			return reply
		}
		clock.Sleep(ctx, reportRetryPause)
	}
}

// ProgressSent reports whether all reports to new owners have been sent and answered.
func (o *Owner) ProgressSent(ctx context.Context) bool {
	sent, ok := query(ctx, o, func() bool { return len(o.reports)+o.reportsInFlight == 0 })
	return ok && sent
}

// dropShard removes a shard's jobs and reports their pending results and the failures of earlier runs to the new owner. Running items
// are reported as their runs end.
func (o *Owner) dropShard(s bulk.Shard) {
	for _, r := range o.ledger.Records(s) {
		delete(o.commits, r.Job.ID)
		p := bulk.Progress{Results: append([]bulk.Result(nil), r.Pending...), Failures: r.Failures()}
		if !p.Empty() && !r.Ended {
			o.queueReport(r, p)
		}
	}
	o.ledger.DropShard(s)
}

// reportRun reports the result, or the partial answer and failures, of a run whose shard was given up.
func (o *Owner) reportRun(run *itemRun, result bulk.Result, done bool) {
	if run.record.Ended {
		return
	}
	var p bulk.Progress
	switch {
	case done:
		p.Results = []bulk.Result{result}
	case !utf8.ValidString(run.lastEventID):
		// Text in the report, which hosts of former releases can't read; another id would be resumed elsewhere.
		log.WithFields(log.Fields{"job": run.record.Job.ID, "item": run.item.ID, "events_dropped": run.events}).
			Warn("partial answer not handed over: its last event id is no UTF-8")
	case run.events > 0 && !run.originUncertain:
		p.PartialAnswers = []bulk.PartialAnswer{
			{Item: run.item.ID, Text: run.output, Events: run.events, LastEventID: run.lastEventID, Origin: &run.origin},
		}
	}
	if f := run.knownFailures(); !done && f.Count > 0 {
		p.Failures = []bulk.ItemFailures{f}
	}
	if !p.Empty() {
		o.queueReport(run.record, p)
	}
}

// handleReport applies a former owner's report, at once or when the shard is loaded. If both owners have a result
// for an item, the one that becomes visible first is kept.
func (o *Owner) handleReport(q hostlink.JobsCall) bulk.Reply {
	sh, ok := o.shards[q.Shard]
	switch {
	case !ok || q.Call.Progress == nil:
		return unavailable
	case sh.ready:
		o.applyReport(q.Call)
	case len(sh.earlyReports) < maxEarlyReports:
		sh.earlyReports = append(sh.earlyReports, q.Call)
	}
	return bulk.Reply{Code: bulk.Done}
}

func (o *Owner) applyReport(c bulk.Call) {
	r, ok := o.ledger.Job(c.Job, c.Workspace)
	if !ok || r.Ended {
		return
	}
	r.AwaitingProgress = false
	for _, rs := range c.Progress.Results {
		if size := objects.EncodedSize(rs.Output); size > o.maxSegmentBytes() {
			// Releases that counted outputs before encoding let them grow beyond what can be stored.
			log.WithFields(log.Fields{"job": c.Job, "item": rs.Item, "bytes": size, "outcome": "too_large"}).Warn("result of a former owner dropped")
			continue
		}
		rs.Output = bulk.ListedOutput(rs.Output) // former releases report it as the server sent it
		run := o.runs[runKey{c.Job, rs.Item}]
		if !o.addResult(r, rs) {
			continue
		}
		resultsReceived.Inc()
		if run != nil {
			run.cancel()
		}
	}
	for _, p := range c.Progress.PartialAnswers {
		if p.Origin == nil {
			partialAnswersDropped.Inc() // the version that wrote it isn't known
			continue
		}
		partialAnswersReceived.Inc()
		if run := o.runs[runKey{c.Job, p.Item}]; run != nil {
			run.partial.Store(&p) // its next send resumes from it
			continue
		}
		r.AddPartial(p)
	}
	o.applyFailures(r, c.Progress.Failures)
	log.WithFields(log.Fields{
		"job": c.Job, "results": len(c.Progress.Results), "begun": len(c.Progress.PartialAnswers), "outcome": "carried",
	}).Info("progress of a former owner")
}

// applyFailures adds a former owner's counts to items that wait or run.
func (o *Owner) applyFailures(r *bulk.Record, list []bulk.ItemFailures) {
	for _, f := range list {
		r.AddFailures(f)
		if run := o.runs[runKey{r.Job.ID, f.Item}]; run != nil {
			run.reportedFailures.Store(max(run.reportedFailures.Load(), int64(f.Count)))
		}
	}
}
