package bulk

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"verbenaledge.example/verbena/clock"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
)

func kindJobs(s bulk.Shard) objects.Kind    { return objects.Kind("verbena-" + s.Name()) }
func kindParts(s bulk.Shard) objects.Kind   { return objects.Kind("verbena-parts-" + s.Name()) }
func kindResults(s bulk.Shard) objects.Kind { return objects.Kind("verbena-results-" + s.Name()) }

func segmentName(id ids.JobID, number int) string { return fmt.Sprintf("%s.%05d", id, number) }
func partName(id ids.JobID, number int) string    { return fmt.Sprintf("%s.%05d", id, number) }

// load reads a shard's jobs and results until it succeeds or the shard is given up.
func (o *Owner) load(ctx context.Context, s bulk.Shard, sh *shard) {
	for ctx.Err() == nil {
		jobs, results, err := o.readShard(ctx, s)
		if err == nil {
			o.post(func() { o.finishLoad(s, sh, jobs, results) })
			return
		}
		log.WithError(err).WithField("shard", s).Warn("shard not loaded yet")
		clock.Sleep(ctx, retryPause)
	}
}

// storedJob is a job as stored; ended means that its caller ended it.
type storedJob struct {
	job   bulk.Job
	ended bool
}

func (o *Owner) readShard(ctx context.Context, s bulk.Shard) (jobs []storedJob, results map[ids.JobID][]bulk.Segment, err error) {
	l, err := o.store.List(ctx, kindJobs(s), false)
	if err != nil {
		return nil, nil, err
	}
	if len(l.Objects) == 0 {
		return nil, nil, nil
	}
	for _, ob := range l.Objects {
		j, err := o.decodeJob(ctx, s, ob)
		if err != nil {
			return nil, nil, err
		}
		jobs = append(jobs, j)
	}
	r, err := o.store.List(ctx, kindResults(s), false)
	if err != nil {
		return nil, nil, err
	}
	results, err = decodeSegments(r.Objects)
	return jobs, results, err
}

func (o *Owner) decodeJob(ctx context.Context, s bulk.Shard, object objects.Object) (j storedJob, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read job %s: %w", object.Name, err)
		}
	}()
	if err := json.Unmarshal(object.Spec, &j.job); err != nil {
		return j, err
	}
	if len(object.Status) > 0 {
		var status bulk.JobStatus
		if err := json.Unmarshal(object.Status, &status); err != nil {
			return j, err
		}
		j.ended = status.Ended
	}
	for n := 1; n <= j.job.Parts; n++ {
		part, err := o.store.Get(ctx, kindParts(s), partName(j.job.ID, n))
		if err != nil {
			return j, err
		}
		var items []bulk.Item
		if err := json.Unmarshal(part.Spec, &items); err != nil {
			return j, err
		}
		j.job.Items = append(j.job.Items, items...)
	}
	return j, nil
}

func decodeSegments(list []objects.Object) (segments map[ids.JobID][]bulk.Segment, err error) {
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	segments = make(map[ids.JobID][]bulk.Segment)
	for _, ob := range list {
		id, _, _ := strings.Cut(ob.Name, ".")
		var s bulk.Segment
		if err := json.Unmarshal(ob.Spec, &s); err != nil {
			return nil, fmt.Errorf("read results %s: %w", ob.Name, err)
		}
		segments[ids.JobID(id)] = append(segments[ids.JobID(id)], s)
	}
	return segments, nil
}

// finishLoad adds a shard's jobs to the ledger, unless the shard was given up meanwhile.
func (o *Owner) finishLoad(s bulk.Shard, sh *shard, jobs []storedJob, results map[ids.JobID][]bulk.Segment) {
	if o.shards[s] != sh {
		return
	}
	for _, j := range jobs {
		r := o.ledger.Add(j.job, s, false)
		for _, sg := range results[j.job.ID] {
			o.ledger.Commit(r, sg)
		}
		if j.ended {
			o.ledger.EndJob(r)
		}
		r.AwaitingProgress = r.Open()
	}
	sh.ready = true
	for _, c := range sh.earlyReports {
		o.applyReport(c)
	}
	sh.earlyReports = nil
	time.AfterFunc(progressWait, func() { o.post(func() { o.endProgressWait(s, sh) }) })
	log.WithFields(log.Fields{"shard": s, "jobs": len(jobs)}).Info("shard taken over")
	o.start()
}
