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
	// readMargin is how long a read may take beyond the wait that its caller asks for.
	readMargin = 1200 * time.Millisecond
	// jobCallTimeout bounds other calls on jobs. A write that got no answer is resolved within it.
	jobCallTimeout = 3 * time.Second
)

// hasBatchRoute reports whether a host name has a route for batch jobs.
func hasBatchRoute(c *catalog.Catalog, host string) bool {
	for i := range c.Routes {
		if c.Routes[i].Kind == catalog.KindBatch && c.Routes[i].Host == host {
			return true
		}
	}
	return false
}

// serveJobCall answers a call on an existing job.
func (h *Handler) serveJobCall(q *request, c *catalog.Catalog, call bulk.Call) {
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
	call.Remaining = jobCallTimeout
	if call.Op == bulk.ReadResults {
		call.Remaining = call.Wait + readMargin
	}
	h.callJobOwner(q, call)
}

// submitJob sends a new job to the owner of its shard.
func (h *Handler) submitJob(q *request) {
	if q.r.Method != http.MethodPost {
		h.refuse(q, http.StatusMethodNotAllowed, 0, "method")
		return
	}
	job, err := h.jobProtocol.NewJob(q.call.ID, q.body)
	if err != nil {
		log.WithError(err).WithField("request_id", q.call.ID).Warn("cannot parse the batch job")
		h.refuse(q, http.StatusBadRequest, 0, "bad_job")
		return
	}
	now := h.clock.Now()
	job.Workspace, job.Route, job.Host = q.workspaceID(), q.route.Name, q.r.Host
	job.Submitted, job.Due, job.GiveUpAt = now, now.Add(q.route.ResultsDueAfter), now.Add(q.route.GiveUpAfter)
	h.callJobOwner(q, bulk.Call{
		Op: bulk.Submit, Job: job.ID, Workspace: job.Workspace, New: job, TokenCap: q.route.TokenCap,
		Remaining: min(jobCallTimeout, effectiveTimeout(q.call.Remaining, jobCallTimeout)-responseMargin),
	})
}

// responseMargin is the part of a caller's timeout that is left for the response to reach it.
const responseMargin = 100 * time.Millisecond

// callJobOwner sends a call to the owner of its job and writes the owner's reply to the caller.
func (h *Handler) callJobOwner(q *request, call bulk.Call) {
	ctx, cancel := context.WithTimeout(q.r.Context(), call.Remaining)
	defer cancel()
	reply := h.jobOwners.Call(ctx, call)
	if call.Op != bulk.ReadResults || reply.Code != bulk.Done {
		log.WithFields(log.Fields{
			"job": call.Job, "item": call.Item, "op": call.Op.String(), "workspace": call.Workspace, "outcome": reply.Code.String(),
			"shard": bulk.ShardOf(call.Workspace), "took_ms": h.clock.Now().Sub(q.start).Milliseconds(),
		}).Info("batch call answered")
	}
	h.jobProtocol.JobReply(q.w, q.call.ID, call, reply)
}
