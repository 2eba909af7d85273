package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
)

const (
	// readPatience bounds a read beyond the wait that its caller allows.
	readPatience = 1200 * time.Millisecond
	// jobPatience bounds other calls on jobs; a write that got no answer is settled within it.
	jobPatience = 3 * time.Second
)

// batchHost tells whether a host name has a route for batch jobs.
func batchHost(c *catalog.Catalog, host string) bool {
	for i := range c.Routes {
		if c.Routes[i].Kind == catalog.KindBatch && c.Routes[i].Host == host {
			return true
		}
	}
	return false
}

// jobCall answers a call on a job that exists.
func (h *Handler) jobCall(q *request, c *catalog.Catalog, call bulk.Call) {
	if c.RequiresKeys() {
		w, ok := c.WorkspaceByKey(q.call.Key)
		if !ok {
			h.refuse(q, http.StatusUnauthorized, 0, "unknown_key")
			return
		}
		q.workspace = w
	}
	call.Workspace = q.workspaceID()
	call.Wait = q.call.Wait
	call.Remaining = jobPatience
	if call.Op == bulk.ReadResults {
		call.Remaining = call.Wait + readPatience
	}
	h.answerJob(q, call)
}

// submit hands a new job to the owner of its shard.
func (h *Handler) submit(q *request) {
	if q.r.Method != http.MethodPost {
		h.refuse(q, http.StatusMethodNotAllowed, 0, "method")
		return
	}
	job, err := h.calls.NewJob(q.call.ID, q.body)
	if err != nil {
		log.WithError(err).WithField("request_id", q.call.ID).Warn("batch job can't be read")
		h.refuse(q, http.StatusBadRequest, 0, "bad_job")
		return
	}
	now := h.clock.Now()
	job.Workspace, job.Route, job.Host = q.workspaceID(), q.route.Name, q.r.Host
	job.Submitted, job.Due, job.GiveUpAt = now, now.Add(q.route.ResultsDueAfter), now.Add(q.route.GiveUpAfter)
	h.answerJob(q, bulk.Call{
		Op: bulk.Submit, Job: job.ID, Workspace: job.Workspace, New: job, TokenCap: q.route.TokenCap,
		Remaining: min(jobPatience, patience(q.call.Remaining, jobPatience)-jobMargin),
	})
}

// jobMargin is left of a caller's patience for the way of the answer.
const jobMargin = 100 * time.Millisecond

func (h *Handler) answerJob(q *request, call bulk.Call) {
	ctx, cancel := context.WithTimeout(q.r.Context(), call.Remaining)
	defer cancel()
	reply := h.jobs.Call(ctx, call)
	if call.Op != bulk.ReadResults || reply.Code != bulk.Done {
		log.WithFields(log.Fields{
			"job": call.Job, "item": call.Item, "op": call.Op.String(), "workspace": call.Workspace, "outcome": reply.Code.String(),
			"shard": bulk.ShardOf(call.Workspace), "took_ms": h.clock.Now().Sub(q.start).Milliseconds(),
		}).Info("batch call answered")
	}
	h.calls.JobReply(q.w, q.call.ID, call, reply)
}
