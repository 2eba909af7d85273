package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/ids"
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

// isJobCall reports whether a request that has the form of a call on a batch job is one. Jobs outlive their routes, so it is one
// wherever no route claims its path. maybe is set if only the jobs themselves can tell: a route takes all paths of the host name.
func isJobCall(r *http.Request, c *catalog.Catalog) (is, maybe bool) {
	switch {
	case c.HasBatchRoute(r.Host):
		return true, false
	case r.ContentLength != 0:
		return false, false // its body would be awaited before a refusal
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, claimed := c.Match(r.Host, path)
	if !claimed {
		return true, false
	}
	return false, route.Prefix == "/"
}

// serveJobCall answers a call on an existing job. It returns false, and answers nothing, if maybe is set and there is no such job.
func (h *Handler) serveJobCall(req *request, c *catalog.Catalog, call bulk.Call, maybe bool) (served bool) {
	call.Wait = req.info.Wait
	call.Remaining = jobCallTimeout
	if call.Op == bulk.ReadResults {
		call.Remaining = call.Wait + readMargin
		call.MaxBytes = h.replies.beginRead()
		defer h.replies.endRead()
	}
	reply, answered := bulk.Reply{Code: bulk.NotFound}, true
	workspaces, known := jobWorkspaces(req, c)
	if !call.NamesStorable() {
		workspaces = nil
	}
	for n := 0; n < len(workspaces) && answered && reply.Code == bulk.NotFound; n++ {
		call.Workspace = workspaces[n]
		reply, answered = h.askJobOwner(req, call)
	}
	switch {
	case !answered:
	case reply.Code == bulk.NotFound && maybe:
		return false
	case reply.Code == bulk.NotFound && !known:
		h.refuse(req, http.StatusUnauthorized, 0, "unknown_key")
	case reply.Code == bulk.NotFound:
		h.refuse(req, http.StatusNotFound, 0, "not_found")
	default:
		h.writeJobReply(req, call, reply)
	}
	return true
}

// jobWorkspaces returns the workspaces whose jobs the caller may name: that of its key, and none for jobs that were submitted without
// one. known is set if the caller has a key or needs none.
func jobWorkspaces(req *request, c *catalog.Catalog) (workspaces []ids.WorkspaceID, known bool) {
	if !c.RequiresKeys() {
		return []ids.WorkspaceID{""}, true
	}
	w, known := c.WorkspaceByKey(req.info.Key)
	if known {
		req.workspace = w
		workspaces = append(workspaces, w.ID)
	}
	if known || req.info.Key == "" {
		workspaces = append(workspaces, "")
	}
	return workspaces, known
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
	call := bulk.Call{
		Op: bulk.Submit, Job: job.ID, Workspace: job.Workspace, New: job, TokenCap: req.route.TokenCap,
		Remaining: min(jobCallTimeout, effectiveTimeout(req.info.Remaining, jobCallTimeout)-responseMargin),
	}
	if reply, answered := h.askJobOwner(req, call); answered {
		h.writeJobReply(req, call, reply)
	}
}

// responseMargin is the part of a caller's timeout that is left for the response to reach it.
const responseMargin = 100 * time.Millisecond

// askJobOwner sends a call to the owner of its job. If this host stops too soon for that, it refuses the request, and answered is false.
func (h *Handler) askJobOwner(req *request, call bulk.Call) (reply bulk.Reply, answered bool) {
	if left, stops := h.timeLeft(); stops {
		if left < jobReplyTime {
			h.refuse(req, http.StatusServiceUnavailable, 0, reasonStopping)
			return reply, false
		}
		call.Wait, call.Remaining = min(call.Wait, left-jobReplyTime), min(call.Remaining, left)
	}
	ctx, cancel := context.WithTimeout(req.httpRequest.Context(), call.Remaining)
	defer cancel()
	defer context.AfterFunc(h.runCtx, cancel)()
	reply = h.jobOwners.Call(ctx, call)
	if call.Op != bulk.ReadResults || reply.Code != bulk.Done {
		log.WithFields(log.Fields{
			"job": call.Job, "item": call.Item, "op": call.Op.String(), "workspace": call.Workspace, "outcome": reply.Code.String(),
			"shard": bulk.ShardOf(call.Workspace), "took_ms": h.clock.Now().Sub(req.start).Milliseconds(),
		}).Info("batch call answered")
	}
	return reply, true
}

// writeJobReply writes an owner's reply to the caller, and holds its memory until then.
func (h *Handler) writeJobReply(req *request, call bulk.Call, reply bulk.Reply) {
	if held := replyBytes(reply); held > 0 { // only reads have one; others have taken effect
		if !h.replies.budget.reserve(held) {
			h.refuse(req, http.StatusServiceUnavailable, unavailableRetryAfter, "no_memory")
			return
		}
		defer h.replies.budget.release(held)
	}
	h.jobProtocol.WriteJobReply(req.writer, req.info.ID, call, reply)
}
