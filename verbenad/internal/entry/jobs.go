package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
)

const (
	// readMargin is how long reading a job's results may take beyond the wait that its caller asks for.
	readMargin = 1200 * time.Millisecond
	// jobCallTimeout bounds other calls on jobs. Within it, the job's owner can find out whether a write to the store that
	// got no answer took effect.
	jobCallTimeout = 3 * time.Second
	// jobReplyTime is how long before a host ends its requests a wait for results ends, and the last call on a job is begun.
	jobReplyTime = 200 * time.Millisecond
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
func (h *Handler) serveJobCall(req *request, c *catalog.Catalog, call bulk.Call) {
	if c.RequiresKeys() {
		w, ok := c.WorkspaceByKey(req.info.Key)
		if !ok {
			h.refuse(req, http.StatusUnauthorized, 0, "unknown_key")
			return
		}
		req.workspace = w
	}
	if !call.NamesStorable() {
		h.refuse(req, http.StatusNotFound, 0, "not_found")
		return
	}
	call.Workspace = req.workspaceID()
	call.Wait = req.info.Wait
	call.Remaining = jobCallTimeout
	if call.Op == bulk.ReadResults {
		call.Remaining = call.Wait + readMargin
		call.MaxBytes = h.replies.beginRead()
		defer h.replies.endRead()
	}
	h.callJobOwner(req, call)
}

// submitJob sends a new job to the owner of its shard.
func (h *Handler) submitJob(req *request) {
	if req.httpRequest.Method != http.MethodPost {
		h.refuse(req, http.StatusMethodNotAllowed, 0, "method")
		return
	}
	decoded := int64(0)
	defer func() { h.memory.release(decoded) }()
	job, err := h.jobProtocol.ParseJob(req.info.ID, req.body, func(bytes int64) bool {
		if !h.memory.reserve(bytes) {
			return false
		}
		decoded = bytes
		return true
	})
	if errors.Is(err, bulk.ErrNoMemory) {
		h.refuse(req, http.StatusServiceUnavailable, unavailableRetryAfter, "no_memory")
		return
	}
	if err != nil {
		log.WithError(err).WithField("request_id", req.info.ID).Warn("cannot parse the batch job")
		h.refuseInvalid(req, "bad_job", err)
		return
	}
	now := h.clock.Now()
	job.Workspace, job.Route, job.Host = req.workspaceID(), req.route.Name, req.httpRequest.Host
	job.Configuration, job.MaxAttempts = req.configVersion, req.route.MaxAttempts
	job.Submitted, job.Due, job.GiveUpAt = now, now.Add(req.route.ResultsDueAfter), now.Add(req.route.GiveUpAfter)
	h.callJobOwner(req, bulk.Call{
		Op: bulk.Submit, Job: job.ID, Workspace: job.Workspace, New: job, TokenCap: req.route.TokenCap,
		Remaining: min(jobCallTimeout, effectiveTimeout(req.info.Remaining, jobCallTimeout)-responseMargin),
	})
}

// responseMargin is the part of a caller's timeout that is left for the response to reach it.
const responseMargin = 100 * time.Millisecond

// callJobOwner sends a call to the owner of its job and writes the owner's reply to the caller.
func (h *Handler) callJobOwner(req *request, call bulk.Call) {
	if left, stops := h.timeLeft(); stops {
		if left < jobReplyTime {
			h.refuse(req, http.StatusServiceUnavailable, 0, reasonStopping)
			return
		}
		call.Wait, call.Remaining = min(call.Wait, left-jobReplyTime), min(call.Remaining, left)
	}
	ctx, cancel := context.WithTimeout(req.httpRequest.Context(), call.Remaining)
	defer cancel()
	defer context.AfterFunc(h.runCtx, cancel)()
	reply := h.jobOwners.Call(ctx, call)
	if call.Op != bulk.ReadResults || reply.Code != bulk.Done {
		log.WithFields(log.Fields{
			"job": call.Job, "item": call.Item, "op": call.Op.String(), "workspace": call.Workspace, "outcome": reply.Code.String(),
			"shard": bulk.ShardOf(call.Workspace), "took_ms": h.clock.Now().Sub(req.start).Milliseconds(),
		}).Info("batch call answered")
	}
	if held := replyBytes(reply); held > 0 { // only reads have one; others have taken effect
		if !h.replies.budget.reserve(held) {
			h.refuse(req, http.StatusServiceUnavailable, unavailableRetryAfter, "no_memory")
			return
		}
		defer h.replies.budget.release(held)
	}
	h.jobProtocol.WriteJobReply(req.writer, req.info.ID, call, reply)
}
