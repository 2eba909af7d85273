package bulk

import (
	"context"
	"encoding/json"
	"errors"
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

// jobOf returns the job of a segment or part by its name.
func jobOf(name string) ids.JobID {
	return ids.JobID(name[:max(0, strings.LastIndexByte(name, '.'))]) // the id may hold dots
}

// load reads a shard's jobs and results until it succeeds or the shard is given up.
func (o *Owner) load(ctx context.Context, s bulk.Shard, sh *shard) {
	for ctx.Err() == nil {
		l, err := o.readShard(ctx, s)
		if err == nil {
			o.post(func() { o.finishLoad(s, sh, l) })
			return
		}
		log.WithError(err).WithField("shard", s).Warn("shard not loaded yet")
		clock.Sleep(ctx, retryPause)
	}
}

// storedJob is a job as stored. ended means that its caller ended it, expired that its objects are being deleted.
type storedJob struct {
	job     bulk.Job
	ended   bool
	expired bool
}

// storedShard holds the jobs and results of a shard as stored. Jobs that are unreadable are in neither.
type storedShard struct {
	jobs       []storedJob
	results    map[ids.JobID][]bulk.Segment
	unreadable map[ids.JobID]bool
}

// errUnreadable means that an object of a job can't be decoded or is missing. Other jobs aren't concerned.
var errUnreadable = errors.New("stored job can't be read")

func (o *Owner) readShard(ctx context.Context, s bulk.Shard) (l storedShard, err error) {
	heads, err := o.store.List(ctx, kindJobs(s), false)
	if err != nil {
		return l, err
	}
	if len(heads.Objects) == 0 {
		return l, nil
	}
	l.unreadable = make(map[ids.JobID]bool)
	r, err := o.store.List(ctx, kindResults(s), false)
	if err != nil {
		return l, err
	}
	l.decodeSegments(s, r.Objects)
	for n, ob := range heads.Objects {
		heads.Objects[n] = objects.Object{} // the jobs that have been read need no second copy
		j, err := o.decodeJob(ctx, s, ob, l.done(ids.JobID(ob.Name)))
		switch {
		case err == nil:
			l.jobs = append(l.jobs, j)
		case errors.Is(err, errUnreadable):
			log.WithError(err).WithFields(log.Fields{"shard": s, "job": ob.Name, "outcome": "unreadable"}).Error("job can't be loaded")
			l.unreadable[ids.JobID(ob.Name)] = true
		default:
			return l, err
		}
	}
	return l, nil
}

// done returns the items of a job that have a result.
func (l *storedShard) done(id ids.JobID) (items map[bulk.ItemID]bool) {
	items = make(map[bulk.ItemID]bool)
	for _, s := range l.results[id] {
		for _, r := range s.Results {
			items[r.Item] = true
		}
	}
	return items
}

// decodeJob decodes a job and reads its parts, without the input of the items that are done. A job that is past its retention and lacks
// parts counts as expired: a former release deleted them first.
func (o *Owner) decodeJob(ctx context.Context, s bulk.Shard, object objects.Object, done map[bulk.ItemID]bool) (j storedJob, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read job %s: %w", object.Name, err)
		}
	}()
	var head expiredJob
	if err := json.Unmarshal(object.Spec, &head); err != nil {
		return j, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	j.job, j.expired = head.Job, head.Expired
	if len(object.Status) > 0 {
		var status bulk.JobStatus
		if err := json.Unmarshal(object.Status, &status); err != nil {
			return j, fmt.Errorf("%w: status: %w", errUnreadable, err)
		}
		j.ended = status.Ended
	}
	isDone := func(id bulk.ItemID) bool { return j.ended || done[id] }
	bulk.DropInput(j.job.Items, isDone)
	for n := 1; n <= j.job.Parts; n++ {
		items, err := o.readPart(ctx, s, j.job.ID, n)
		if errors.Is(err, errUnreadable) && o.isPastRetention(o.clock.Now(), j.job) {
			log.WithError(err).WithFields(log.Fields{"shard": s, "job": j.job.ID, "outcome": "expired"}).Info("deletion of an expired job was cut off")
			j.expired = true
			return j, nil
		}
		if err != nil {
			return j, err
		}
		bulk.DropInput(items, isDone)
		j.job.Items = append(j.job.Items, items...)
	}
	return j, nil
}

func (o *Owner) readPart(ctx context.Context, s bulk.Shard, id ids.JobID, n int) (items []bulk.Item, err error) {
	part, err := o.store.Get(ctx, kindParts(s), partName(id, n))
	switch {
	case errors.Is(err, objects.ErrNotFound):
		return nil, fmt.Errorf("%w: part %d: %w", errUnreadable, n, err)
	case err != nil:
		return nil, err
	}
	if err := json.Unmarshal(part.Spec, &items); err != nil {
		return nil, fmt.Errorf("%w: part %d: %w", errUnreadable, n, err)
	}
	return items, nil
}

// decodeSegments decodes stored segments. A job with a segment that can't be decoded becomes unreadable.
func (l *storedShard) decodeSegments(shard bulk.Shard, list []objects.Object) {
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	l.results = make(map[ids.JobID][]bulk.Segment)
	for _, ob := range list {
		id := jobOf(ob.Name)
		var s bulk.Segment
		if err := json.Unmarshal(ob.Spec, &s); err != nil {
			log.WithError(err).WithFields(log.Fields{"shard": shard, "segment": ob.Name, "outcome": "unreadable"}).Error("results can't be loaded")
			l.unreadable[id] = true
			continue
		}
		l.results[id] = append(l.results[id], s)
	}
}

// finishLoad adds a shard's jobs to the ledger, unless the shard was given up meanwhile.
func (o *Owner) finishLoad(s bulk.Shard, sh *shard, l storedShard) {
	if o.shards[s] != sh {
		return
	}
	for _, j := range l.jobs {
		switch {
		case j.expired:
			o.startDeletion(sh.ctx, s, j.job.ID, len(l.results[j.job.ID]))
		case !l.unreadable[j.job.ID]:
			o.addLoaded(s, j, l.results[j.job.ID])
		}
	}
	sh.unreadable = l.unreadable
	sh.ready = true
	for _, c := range sh.earlyReports {
		o.applyReport(c)
	}
	sh.earlyReports = nil
	go o.sweepParts(sh.ctx, s, sh)
	time.AfterFunc(progressWait, func() { o.post(func() { o.endProgressWait(s, sh) }) })
	log.WithFields(log.Fields{"shard": s, "jobs": len(l.jobs), "unreadable": len(l.unreadable)}).Info("shard taken over")
	o.start()
}

// addAccepted adds a job to the ledger that this host received and wrote to the store, or returns the record that exists already.
func (o *Owner) addAccepted(j bulk.Job, s bulk.Shard, received time.Time) *bulk.Record {
	r := o.ledger.Add(j, s, true)
	if r.KnownSince.IsZero() {
		r.KnownSince, r.DueAt, r.GiveUpAt = received, received.Add(j.DueAfter()), received.Add(j.GiveUpAfter())
	}
	return r
}

// addStored adds a job to the ledger that was read from the store, or returns the record that exists already.
func (o *Owner) addStored(j bulk.Job, s bulk.Shard, knownSince time.Time) *bulk.Record {
	r := o.ledger.Add(j, s, false)
	if r.KnownSince.IsZero() {
		elapsed, now := o.elapsed.Now(), o.clock.Now()
		r.KnownSince, r.DueAt, r.GiveUpAt = knownSince, elapsed.Add(j.Due.Sub(now)), j.GiveUpTime(knownSince, elapsed, now, o.maxClockSkew)
	}
	return r
}

func (o *Owner) addLoaded(s bulk.Shard, j storedJob, results []bulk.Segment) {
	r := o.addStored(j.job, s, o.elapsed.Now())
	for _, sg := range results {
		o.ledger.Commit(r, sg)
	}
	if j.ended {
		o.ledger.EndJob(r)
	}
	r.AwaitingProgress = r.Open()
}
