package dispatch

import (
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
)

const (
	// limitPublishInterval is the minimum time between two LimitsChanged, maxPublishedLimits the most limits in one. Hosts
	// need them only while they decide without the dispatcher.
	limitPublishInterval = time.Second
	maxPublishedLimits   = 64
	// publishedLimitChange is by what factor a limit must have changed to be sent again.
	publishedLimitChange = 1.25
)

// LimitsChanged carries limits that have changed, for other hosts.
type LimitsChanged struct{ Limits []ServerLimit }

func (LimitsChanged) command() {}

// unpublishedLimits are the servers whose limits have changed since they were sent, in the order of the changes.
type unpublishedLimits struct {
	order  []ids.BackendID
	listed map[ids.BackendID]bool
	// publishedAt is when limits were last sent, published what was sent of each server with a limit.
	publishedAt time.Time
	published   map[ids.BackendID]limit.RequestsPerSecond
}

func newUnpublishedLimits() unpublishedLimits {
	return unpublishedLimits{listed: make(map[ids.BackendID]bool), published: make(map[ids.BackendID]limit.RequestsPerSecond)}
}

func (u *unpublishedLimits) add(id ids.BackendID) {
	if !u.listed[id] {
		u.order, u.listed[id] = append(u.order, id), true
	}
}

// publishLimits sends other hosts the limits that have changed.
func (sc *Scheduler) publishLimits(now time.Time) {
	u := &sc.unpublishedLimits
	if len(u.order) == 0 || sc.local() || now.Sub(u.publishedAt) < limitPublishInterval {
		return
	}
	var changed []ServerLimit
	for len(u.order) > 0 && len(changed) < maxPublishedLimits {
		id := u.order[0]
		u.order = u.order[1:]
		delete(u.listed, id)
		l := ServerLimit{Server: id}
		if s, ok := sc.servers[id]; ok {
			l.Statement = s.limit.Statement()
			l.Age = s.limit.Age(now)
		}
		if u.changes(l) {
			changed = append(changed, l)
		}
	}
	if len(changed) > 0 {
		u.publishedAt = now
		sc.commands = append(sc.commands, LimitsChanged{Limits: changed})
	}
}

// changes records a limit as sent. It reports whether that differs enough from what was sent before.
func (u *unpublishedLimits) changes(l ServerLimit) bool {
	before, sent := u.published[l.Server]
	perSecond := l.Statement.PerSecond
	if l.Statement.Kind != limit.Named {
		delete(u.published, l.Server)
		return sent
	}
	if sent && (perSecond == before || perSecond < before*publishedLimitChange && before < perSecond*publishedLimitChange) {
		return false
	}
	u.published[l.Server] = perSecond
	return true
}
