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

const backendPause = time.Second

func (c *Core) stepTraffic(e Event) {
	switch e := e.(type) {
	case AdmissionRequested:
		c.admit(e)
	case RouteRequested:
		c.route(e)
	case BackendCallEnded:
		c.callEnded(e)
	}
}

func (c *Core) admit(e AdmissionRequested) {
	if c.poison.Classify(c.now, e.Fingerprint) == poison.Poisonous {
		c.refuse(e.Ticket, refusal.New(refusal.Poisonous, 0, "this request has taken down %d backend servers and isn't run again", poison.MaxCrashedBackends))
		return
	}
	c.lastID++
	t := quota.Ticket(c.lastID)
	c.admits[t] = e
	c.budget.Earn(e.Bucket.Workspace)
	c.spend(quota.TokenNeeded{Ticket: t, Bucket: e.Bucket})
}

// spend steps the host's own side of the quota and carries its commands out.
func (c *Core) spend(e quota.Event) {
	for _, cmd := range c.spender.Step(c.now, e) {
		c.spent(cmd)
	}
}

func (c *Core) spent(cmd quota.Command) {
	switch cmd := cmd.(type) {
	case quota.Admitted:
		c.admitted(c.takeAdmit(cmd.Ticket))
	case quota.Refused:
		r := refusal.New(refusal.RateExceeded, cmd.RetryAfter, "the workspace is over its rate and burst")
		if !cmd.RateExceeded {
			r = refusal.New(refusal.QuotaUnavailable, cmd.RetryAfter, "the owner of the workspace's rate can't be reached")
		}
		c.refuse(c.takeAdmit(cmd.Ticket).Ticket, r)
	case quota.SendRequest:
		c.askQuota(cmd.Request)
	case quota.RetryLater:
		// The next tick asks again.
	}
}

func (c *Core) admitted(a AdmissionRequested) {
	if c.config.RecordAdmissions {
		c.record(timeline.Event{Kind: timeline.RequestAdmitted, Workspace: a.Bucket.Workspace, Detail: string(a.Bucket.Service)})
	}
	c.emit(Admitted{a.Ticket})
}

func (c *Core) takeAdmit(t quota.Ticket) AdmissionRequested {
	a := c.admits[t]
	delete(c.admits, t)
	return a
}

func (c *Core) refuse(t Ticket, r *refusal.Refusal) {
	c.emit(Refused{t, r})
}

func (c *Core) askQuota(a quota.TokenRequest) {
	owner, known := c.ownerOf(a.Bucket.ShardName())
	switch {
	case !known:
		c.spend(quota.RequestFailed{Request: a})
	case owner == c.config.Host:
		answer, ok := c.grant(a)
		if !ok {
			c.spend(quota.RequestFailed{Request: a})
			return
		}
		c.spend(quota.ResponseReceived{Request: a, Response: answer, Sent: c.now})
	default:
		c.call(owner, &peer.QuotaRequest{From: c.config.Host, Request: a}, nil)
	}
}

// grant answers an ask as the bucket's owner, if this host is that.
func (c *Core) grant(a quota.TokenRequest) (answer quota.TokenResponse, ok bool) {
	t, ok := c.holds(a.Bucket.ShardName())
	if !ok {
		return quota.TokenResponse{}, false
	}
	limit, ok := c.limitOf(a.Bucket)
	if !ok {
		return quota.TokenResponse{RetryAfter: time.Second}, true
	}
	return c.ledger.Grant(c.now, c.quotaTenure(a.Bucket, t), limit, a), true
}

// quotaTenure adds what the shard's former owner has left behind, if that is known.
func (c *Core) quotaTenure(b quota.Bucket, t tenure) quota.Tenure {
	s, _ := c.shards.ForName(b.ShardName())
	return c.shardTenure(s, t)
}

func (c *Core) shardTenure(s ids.ShardID, t tenure) quota.Tenure {
	q := quota.Tenure{Epoch: t.epoch, Since: t.since, Complete: t.epoch == 1}
	if h := c.handed[s]; h != nil && h.Epoch+1 == t.epoch {
		q.HandedOver, q.Complete = h.Balances, h.Complete
	}
	return q
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
	if e.Retry && !c.budget.Spend(e.Workspace) {
		c.refuse(e.Ticket, refusal.New(refusal.RetryBudget, backendPause, "the workspace has no retries left"))
		return
	}
	verdict := c.poison.Classify(c.now, e.Fingerprint)
	if verdict == poison.Poisonous {
		c.refuse(e.Ticket, refusal.New(refusal.Poisonous, 0, "this request has taken down %d backend servers and isn't run again", poison.MaxCrashedBackends))
		return
	}
	e.Request.Suspect = verdict == poison.Suspect
	if e.Request.Suspect && e.since.IsZero() {
		e.since, e.tried = c.now, len(e.Request.Tried)
	}
	s, err := c.routes.Pick(c.now, e.Request)
	if err != nil && e.Request.Suspect && c.now.Sub(e.since) < suspectPatience {
		c.parked = append(c.parked, e)
		return
	}
	if err != nil {
		c.refuse(e.Ticket, refusal.New(refusal.NoBackend, backendPause, "%s", err))
		return
	}
	if e.Retry {
		c.record(timeline.Event{Kind: timeline.RequestRetried, Workspace: e.Workspace, Backend: s.ID})
	}
	if e.Request.Suspect {
		c.placeSuspect(e, s)
		return
	}
	c.routed(e, s)
}

func (c *Core) routed(e RouteRequested, s backend.Server) {
	c.emit(Routed{e.Ticket, s, e.Request.Suspect})
	if !e.Batch {
		c.noticeOnline(s.ID, 1)
	}
}

func (c *Core) callEnded(e BackendCallEnded) {
	c.apply(c.routes.Step(c.now, route.Finished{Backend: e.Backend, Outcome: e.Outcome, Suspect: e.Suspect}))
	if e.Load >= 0 {
		c.routes.Step(c.now, route.LoadReported{Backend: e.Backend, Running: e.Load})
	}
	if e.Leaving {
		c.apply(c.routes.Step(c.now, route.LeavingReported{Backend: e.Backend}))
	}
	if e.Suspect {
		c.suspectEnded(e.Backend)
	}
	if !e.Batch {
		c.noticeOnline(e.Backend, -1)
	}
}

// apply records the changes of backend servers and tells neighbours of those that leave.
func (c *Core) apply(changes []route.Change) {
	left := false
	for _, ch := range changes {
		kind := map[route.ChangeKind]timeline.Kind{
			route.Failing: timeline.BackendFailing, route.Recovered: timeline.BackendRecovered, route.Leaving: timeline.BackendLeaving,
		}[ch.Kind]
		c.record(timeline.Event{Kind: kind, Backend: ch.Backend})
		left = left || ch.Kind == route.Leaving
	}
	if !left {
		return
	}
	for _, h := range c.near {
		c.call(h, c.greeting(nil), nil)
	}
}

// workspaceOwner names the shard that keeps a workspace's suspects.
func workspaceOwner(w ids.WorkspaceID) string {
	return quota.Bucket{Workspace: w}.ShardName()
}
