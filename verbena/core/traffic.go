package core

import (
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/quota"
	"verbenaledge.example/verbena/refusal"
	"verbenaledge.example/verbena/route"
	"verbenaledge.example/verbena/rules"
	"verbenaledge.example/verbena/timeline"
)

const backendRetryAfter = time.Second

// noLimitRetryAfter is the Retry-After of a token request for a bucket to which no rule of its owner gives a limit.
const noLimitRetryAfter = time.Second

func (c *Core) stepTraffic(e Event) {
	switch e := e.(type) {
	case AdmissionRequested:
		c.admit(e)
	case RouteRequested:
		c.route(e)
	case BackendCallEnded:
		c.backendCallEnded(e)
	}
}

func (c *Core) admit(e AdmissionRequested) {
	if c.poison.Classify(c.now, e.Fingerprint) == poison.Poisonous {
		c.refuse(e.Ticket, refusal.New(refusal.Poisonous, 0, "this request has taken down %d backend servers and isn't run again", poison.MaxCrashedBackends))
		return
	}
	c.lastID++
	t := quota.Ticket(c.lastID)
	c.admissions[t] = e
	c.retryBudget.Earn(e.Bucket.Workspace)
	c.stepQuota(quota.TokenNeeded{Ticket: t, Bucket: e.Bucket})
}

// stepQuota applies an event to the quota client and executes its commands.
func (c *Core) stepQuota(e quota.Event) {
	for _, cmd := range c.quotaClient.Step(c.now, e) {
		c.executeQuotaCommand(cmd)
	}
}

func (c *Core) executeQuotaCommand(cmd quota.Command) {
	switch cmd := cmd.(type) {
	case quota.Admitted:
		c.emitAdmitted(c.removeAdmission(cmd.Ticket))
	case quota.Refused:
		r := refusal.New(refusal.RateExceeded, cmd.RetryAfter, "the workspace is over its rate and burst")
		if !cmd.RateExceeded {
			r = refusal.New(refusal.QuotaUnavailable, cmd.RetryAfter, "the owner of the workspace's rate can't be reached")
		}
		c.refuse(c.removeAdmission(cmd.Ticket).Ticket, r)
	case quota.SendRequest:
		c.requestTokens(cmd.Request)
	case quota.RetryLater:
		// The next tick asks again.
	}
}

func (c *Core) emitAdmitted(a AdmissionRequested) {
	if c.config.RecordAdmissions {
		c.record(timeline.Event{Kind: timeline.RequestAdmitted, Workspace: a.Bucket.Workspace, Detail: string(a.Bucket.Service)})
	}
	c.emit(Admitted{a.Ticket})
}

func (c *Core) removeAdmission(t quota.Ticket) AdmissionRequested {
	a := c.admissions[t]
	delete(c.admissions, t)
	return a
}

func (c *Core) refuse(t Ticket, r *refusal.Refusal) {
	c.emit(Refused{t, r})
}

func (c *Core) requestTokens(req quota.TokenRequest) {
	owner, known := c.ownerOf(req.Bucket.ShardName())
	switch {
	case !known:
		c.stepQuota(quota.RequestFailed{Request: req})
	case owner == c.config.Host:
		resp, ok := c.grantTokens(req)
		if !ok {
			c.stepQuota(quota.RequestFailed{Request: req})
			return
		}
		c.stepQuota(quota.ResponseReceived{Request: req, Response: resp, SentAt: c.now})
	default:
		c.call(owner, &peer.QuotaRequest{From: c.config.Host, Request: req}, nil)
	}
}

// grantTokens answers a token request if this host owns the bucket.
func (c *Core) grantTokens(req quota.TokenRequest) (resp quota.TokenResponse, ok bool) {
	owned, ok := c.ownedShardFor(req.Bucket.ShardName())
	if !ok {
		return quota.TokenResponse{}, false
	}
	limit, ok := c.limitOf(req.Bucket)
	if !ok {
		return quota.TokenResponse{RetryAfter: noLimitRetryAfter}, true
	}
	return c.ledger.Grant(c.now, c.quotaTenure(req.Bucket, owned), limit, req), true
}

// quotaTenure returns the tenure of a bucket's shard.
func (c *Core) quotaTenure(b quota.Bucket, owned ownedShard) quota.Tenure {
	s, _ := c.shards.ForName(b.ShardName())
	return c.tenureOf(s, owned)
}

// tenureOf returns the tenure of an owned shard, with the former owner's handover if that is known.
func (c *Core) tenureOf(s ids.ShardID, owned ownedShard) quota.Tenure {
	tenure := quota.Tenure{Epoch: owned.epoch, Since: owned.since, Complete: owned.epoch == 1}
	if h := c.handovers[s]; h != nil && h.Epoch+1 == owned.epoch {
		tenure.HandedOver, tenure.Complete = h.Balances, h.Complete
	}
	return tenure
}

func (c *Core) limitOf(b quota.Bucket) (l rules.Limit, ok bool) {
	if b.Workspace == "" {
		o, ok := c.rules.Opens[b.Service]
		return o.Limit, ok
	}
	a, ok := c.rules.Allow(b.Workspace, b.Service)
	return a.Limit, ok
}

func (c *Core) route(e RouteRequested) {
	if e.Retry && !c.retryBudget.Spend(e.Workspace) {
		c.refuse(e.Ticket, refusal.New(refusal.RetryBudget, backendRetryAfter, "the workspace has no retries left"))
		return
	}
	verdict := poison.Clean
	if !e.Batch {
		verdict = c.poison.Classify(c.now, e.Fingerprint)
	}
	if verdict == poison.Poisonous {
		c.refuse(e.Ticket, refusal.New(refusal.Poisonous, 0, "this request has taken down %d backend servers and isn't run again", poison.MaxCrashedBackends))
		return
	}
	e.Request.Suspect = verdict == poison.Suspect
	if e.Request.Suspect && e.since.IsZero() {
		e.since, e.triedBefore = c.now, len(e.Request.Tried)
	}
	s, err := c.routes.Pick(c.now, e.Request)
	if err != nil && e.Request.Suspect && c.now.Sub(e.since) < suspectWaitLimit {
		c.waitingSuspects = append(c.waitingSuspects, e)
		return
	}
	if err != nil {
		c.refuse(e.Ticket, refusal.New(refusal.NoBackend, backendRetryAfter, "%s", err))
		return
	}
	if e.Retry {
		c.record(timeline.Event{Kind: timeline.RequestRetried, Workspace: e.Workspace, Backend: s.ID})
	}
	if e.Request.Suspect {
		c.placeSuspect(e, s)
		return
	}
	c.emitRouted(e, s)
}

func (c *Core) emitRouted(e RouteRequested, s backend.Server) {
	c.emit(Routed{e.Ticket, s, e.Request.Suspect})
	if !e.Batch {
		c.countOnline(s.ID, 1)
	}
}

func (c *Core) backendCallEnded(e BackendCallEnded) {
	c.recordChanges(c.routes.Step(c.now, route.Finished{Backend: e.Backend, Outcome: e.Outcome, Suspect: e.Suspect}))
	if e.Load >= 0 {
		c.routes.Step(c.now, route.LoadReported{Backend: e.Backend, Running: e.Load})
	}
	if e.Leaving {
		c.recordChanges(c.routes.Step(c.now, route.LeavingReported{Backend: e.Backend}))
	}
	if e.Suspect {
		c.releaseSuspectSlot(e.Backend, e.Outcome == route.Failed)
	}
	if !e.Batch {
		c.countOnline(e.Backend, -1)
	}
}

// recordChanges records changes of backend servers and notifies the neighbours of servers that leave.
func (c *Core) recordChanges(changes []route.Change) {
	leaving := false
	for _, ch := range changes {
		kind := map[route.ChangeKind]timeline.Kind{
			route.Failing: timeline.BackendFailing, route.Recovered: timeline.BackendRecovered, route.Leaving: timeline.BackendLeaving,
		}[ch.Kind]
		c.record(timeline.Event{Kind: kind, Backend: ch.Backend})
		leaving = leaving || ch.Kind == route.Leaving
	}
	if !leaving {
		return
	}
	for _, h := range c.neighbours {
		c.call(h, c.gossipMessage(nil), nil)
	}
}

// workspaceShardName returns the name of the shard whose owner handles a workspace's crash reports.
func workspaceShardName(w ids.WorkspaceID) string {
	return quota.Bucket{Workspace: w}.ShardName()
}
