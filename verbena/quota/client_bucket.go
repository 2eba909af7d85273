package quota

import (
	"math"
	"slices"
	"time"

	"verbenaledge.example/verbena/ids"
)

// clientBucket is what a host holds of one bucket, and the requests that wait for it.
type clientBucket struct {
	host           ids.HostID
	grants         []heldGrant
	closedGrants   []ClosedGrant
	share          *shareBucket
	closedShares   []unreportedShare
	lastRequest    time.Time
	requestPending bool
	waiting        []waitingRequest
	requestRate    float64
	rateAt         time.Time
	lastUsed       time.Time
}

// heldGrant is a grant at the host that may spend it.
type heldGrant struct {
	id        GrantID
	remaining int
	expires   time.Time
}

// unreportedShare is a closed share that the owner has not acknowledged yet.
type unreportedShare struct {
	ClosedShare
	expires time.Time
}

// waitingRequest is a request that waits for a token.
type waitingRequest struct {
	ticket Ticket
	since  time.Time
}

// mustReport reports whether a request must be sent although no token is wanted: to report what was closed, or
// to renew the share.
func (cb *clientBucket) mustReport(now time.Time) bool {
	if len(cb.closedGrants) > 0 || len(cb.closedShares) > 0 {
		return true
	}
	return cb.currentRate(now) > 0 && now.Sub(cb.lastRequest) >= shareRenewInterval
}

func (cb *clientBucket) isEmpty() bool {
	return len(cb.grants) == 0 && cb.share == nil && len(cb.closedGrants) == 0 && len(cb.closedShares) == 0
}

// closeIdle closes the grants and the share if they have been idle for too long.
func (cb *clientBucket) closeIdle(now time.Time) {
	idle := now.Sub(cb.lastUsed)
	if idle >= idleGrantLimit {
		cb.closeGrants()
	}
	if idle >= idleShareLimit {
		cb.closeShare(now)
	}
}

func (cb *clientBucket) countRequest(now time.Time) {
	age := now.Sub(cb.rateAt).Seconds() / rateWindow.Seconds()
	cb.requestRate = cb.requestRate*math.Exp(-age) + 1/rateWindow.Seconds()
	cb.rateAt = now
	cb.lastUsed = now
}

func (cb *clientBucket) spend(now time.Time) bool {
	cb.dropExpired(now)
	if cb.share != nil && cb.share.spend(now) {
		return true
	}
	for i := range cb.grants {
		if cb.grants[i].remaining == 0 {
			continue
		}
		cb.grants[i].remaining--
		if cb.grants[i].remaining == 0 {
			cb.closedGrants = append(cb.closedGrants, ClosedGrant{ID: cb.grants[i].id})
			cb.grants = append(cb.grants[:i], cb.grants[i+1:]...)
		}
		return true
	}
	return false
}

// admitWaiting admits waiting requests, oldest first, while there are tokens.
func (cb *clientBucket) admitWaiting(now time.Time) (cmds []Command) {
	for len(cb.waiting) > 0 && cb.spend(now) {
		cmds = append(cmds, Admitted{cb.waiting[0].ticket})
		cb.waiting = cb.waiting[1:]
	}
	return cmds
}

// requestAhead requests tokens before they run out.
func (cb *clientBucket) requestAhead(now time.Time, b Bucket) []Command {
	if cb.requestPending || cb.remaining(now) >= cb.expectedUse()/2 {
		return nil
	}
	return cb.requestMissing(now, b)
}

func (cb *clientBucket) requestMissing(now time.Time, b Bucket) []Command {
	if cb.requestPending {
		return nil
	}
	want := len(cb.waiting) + cb.expectedUse() - cb.remaining(now)
	if want <= 0 {
		return nil
	}
	return []Command{cb.request(now, b, want)}
}

func (cb *clientBucket) request(now time.Time, b Bucket, want int) Command {
	cb.requestPending = true
	cb.lastRequest = now
	req := TokenRequest{Bucket: b, Host: cb.host, Want: want, RequestRate: cb.currentRate(now), ClosedGrants: cb.closedGrants}
	for _, e := range cb.closedShares {
		e.Remaining = e.expires.Sub(now)
		req.ClosedShares = append(req.ClosedShares, e.ClosedShare)
	}
	if cb.share != nil {
		req.Share = HeldShare{Share: cb.share.Share, Remaining: cb.share.expires.Sub(now)}
	}
	return SendRequest{req}
}

// currentRate returns the host's current rate of requests, 0 if it is too small for a share.
func (cb *clientBucket) currentRate(now time.Time) float64 {
	rate := cb.requestRate * math.Exp(-now.Sub(cb.rateAt).Seconds()/rateWindow.Seconds())
	if rate < minShareRate {
		return 0
	}
	return rate
}

// applyShare applies the share in the owner's response.
func (cb *clientBucket) applyShare(now time.Time, e ResponseReceived) {
	x := e.Response.Share
	switch {
	case x.ID == GrantID{}:
		return
	case cb.share != nil && cb.share.ID == x.ID:
		cb.share.renew(now, x, e.SentAt)
	default:
		cb.closeShare(now)
		cb.share = newShareBucket(now, x, e.SentAt)
	}
}

func (cb *clientBucket) closeShare(now time.Time) {
	if cb.share == nil {
		return
	}
	cb.share.fill(now)
	cb.closedShares = append(cb.closedShares, unreportedShare{
		ClosedShare{ID: cb.share.ID, Rate: cb.share.Rate, Burst: cb.share.Burst, Unused: cb.share.level}, cb.share.expires,
	})
	cb.share = nil
}

// expectedUse returns how many tokens the host expects to use before the next request is answered.
func (cb *clientBucket) expectedUse() int {
	return int(cb.requestRate * lookahead.Seconds())
}

func (cb *clientBucket) remaining(now time.Time) (n int) {
	if cb.share != nil {
		cb.share.fill(now)
		n = int(cb.share.level)
	}
	for _, g := range cb.grants {
		n += g.remaining
	}
	return n
}

func (cb *clientBucket) dropExpired(now time.Time) {
	kept := cb.grants[:0]
	for _, g := range cb.grants {
		if now.Before(g.expires) {
			kept = append(kept, g)
		}
	}
	cb.grants = kept
	if cb.share != nil && !now.Before(cb.share.expires) {
		cb.share = nil
	}
}

func (cb *clientBucket) closeGrants() {
	for _, g := range cb.grants {
		cb.closedGrants = append(cb.closedGrants, ClosedGrant{ID: g.id, Unused: g.remaining})
	}
	cb.grants = nil
}

// dropReported drops the closed grants and shares that the owner has acknowledged.
func (cb *clientBucket) dropReported(req TokenRequest) {
	cb.closedGrants = slices.DeleteFunc(slices.Clone(cb.closedGrants), func(c ClosedGrant) bool { return slices.Contains(req.ClosedGrants, c) })
	cb.closedShares = slices.DeleteFunc(slices.Clone(cb.closedShares), func(e unreportedShare) bool {
		return slices.ContainsFunc(req.ClosedShares, func(c ClosedShare) bool { return c.ID == e.ID })
	})
}

func (cb *clientBucket) refuseOverdue(now time.Time, maxWait time.Duration) (cmds []Command) {
	kept := cb.waiting[:0:0]
	for _, w := range cb.waiting {
		if now.Sub(w.since) < maxWait {
			kept = append(kept, w)
			continue
		}
		cmds = append(cmds, Refused{Ticket: w.ticket, RetryAfter: overdueRetryAfter})
	}
	cb.waiting = kept
	return cmds
}
