package bulk

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
)

// minOrphanAge is how long parts without their job's own object are kept, at least, and the time between sweeps, each of which
// lists all parts of a shard. A submission writes the parts first and ends within resolveTimeout; what it wrote without an
// answer takes effect within seconds.
const minOrphanAge = time.Hour

// orphans are parts of jobs that the owner doesn't know.
type orphans map[ids.JobID][]objects.Object

// sweepParts deletes parts without a job until the shard is given up: submissions that failed after their parts were written
// leave them.
func (o *Owner) sweepParts(ctx context.Context, s bulk.Shard, sh *shard) {
	revisions := make(map[string]objects.Revision)
	for clock.Sleep(ctx, o.orphanAge); ctx.Err() == nil; clock.Sleep(ctx, o.orphanAge) {
		found, err := o.findOrphans(ctx, s)
		if err != nil {
			log.WithError(err).WithField("shard", s).Warn("parts without a job not listed")
			continue
		}
		seen := make(map[string]objects.Revision)
		for id, parts := range found {
			var old []objects.Object
			for _, p := range parts {
				seen[p.Name] = p.Revision
				if revisions[p.Name] == p.Revision {
					old = append(old, p)
				}
			}
			if len(old) > 0 {
				o.startOrphanDeletion(ctx, s, sh, id, old)
			}
		}
		revisions = seen
	}
}

// findOrphans lists the parts of jobs that the owner doesn't know. The listing may be stale: it only has to hold what is old.
func (o *Owner) findOrphans(ctx context.Context, s bulk.Shard) (found orphans, err error) {
	l, err := o.store.List(ctx, kindParts(s), true)
	if err != nil {
		return nil, err
	}
	known, ok := query(ctx, o, func() map[ids.JobID]bool {
		known := make(map[ids.JobID]bool)
		for _, r := range o.ledger.Records(s) {
			known[r.Job.ID] = true
		}
		return known
	})
	if !ok {
		return nil, ctx.Err()
	}
	found = make(orphans)
	for _, p := range l.Objects {
		if id := jobOf(p.Name); !known[id] {
			found[id] = append(found[id], objects.Object{Name: p.Name, Revision: p.Revision})
		}
	}
	return found, nil
}

// startOrphanDeletion deletes parts in the background, unless their job is being submitted or deleted. Until it has ended the
// job's id isn't accepted, since the new job's parts would have the same names.
func (o *Owner) startOrphanDeletion(ctx context.Context, s bulk.Shard, sh *shard, id ids.JobID, parts []objects.Object) {
	o.post(func() {
		if _, submitted := o.submissions[id]; submitted || o.deletions[id] > 0 || o.shards[s] != sh || !o.lease.Owns(s) {
			return
		}
		o.deletions[id]++
		go func() {
			defer o.post(func() { o.endDeletion(id) })
			if err := o.deleteOrphans(ctx, s, id, parts); err != nil {
				log.WithError(err).WithField("job", id).Warn("parts without a job not deleted yet")
			}
		}()
	})
}

// deleteOrphans deletes parts that haven't changed, unless their job's own object exists.
func (o *Owner) deleteOrphans(ctx context.Context, s bulk.Shard, id ids.JobID, parts []objects.Object) error {
	_, err := o.store.Get(ctx, kindJobs(s), string(id))
	if err == nil {
		return nil
	}
	if !errors.Is(err, objects.ErrNotFound) {
		return fmt.Errorf("read job %s: %w", id, err)
	}
	for _, p := range parts {
		if err := ignoreNotFound(o.store.Delete(ctx, kindParts(s), p.Name, p.Revision)); err != nil {
			return fmt.Errorf("delete part %s: %w", p.Name, err)
		}
	}
	log.WithFields(log.Fields{"job": id, "shard": s, "parts": len(parts)}).Info("parts without a job deleted")
	return nil
}
