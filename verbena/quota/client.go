package quota

import (
	"maps"
	"slices"
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// lookahead is how far ahead a host requests tokens.
	lookahead = 100 * time.Millisecond
	// idleGrantLimit is how long a host keeps grants that it doesn't use.
	idleGrantLimit = 300 * time.Millisecond
	// rateWindow is the time constant over which a host's rate of requests is smoothed.
	rateWindow = time.Second
	// maxWaiting is how many requests may wait for tokens of one bucket.
	maxWaiting = 1024
	// shareRenewInterval is how often a host renews its share, idleShareLimit how long it keeps one that it doesn't
	// use.
	shareRenewInterval = time.Second
	idleShareLimit     = 5 * time.Second
	// minShareRate is the rate of requests, in tokens per second, below which a host asks for no share.
	minShareRate = 0.2
	// unusedBucketTTL is how long a host keeps an empty bucket that it doesn't use.
	unusedBucketTTL = time.Minute
	// overdueRetryAfter is the Retry-After of requests that have waited too long for a token.
	overdueRetryAfter = time.Second
)

// Ticket identifies a request that waits for a token.
type Ticket uint64

// Client is a host's side of the quota: it spends grants and a share, and requests more tokens in time.
type Client struct {
	host    ids.HostID
	maxWait time.Duration
	buckets map[Bucket]*clientBucket
}

// NewClient returns a client whose requests wait for a token for at most maxWait.
func NewClient(h ids.HostID, maxWait time.Duration) *Client {
	return &Client{host: h, maxWait: maxWait, buckets: map[Bucket]*clientBucket{}}
}

// Step applies one event and returns the commands that follow from it.
func (c *Client) Step(now time.Time, e Event) (cmds []Command) {
	switch e := e.(type) {
	case TokenNeeded:
		return c.tokenNeeded(now, e)
	case ResponseReceived:
		return c.responseReceived(now, e)
	case RequestFailed:
		return c.requestFailed(now, e)
	case Tick:
		return c.tick(now)
	}
	return nil
}

// Len returns the number of buckets in use.
func (c *Client) Len() int {
	return len(c.buckets)
}

func (c *Client) tokenNeeded(now time.Time, e TokenNeeded) []Command {
	cb := c.buckets[e.Bucket]
	if cb == nil {
		cb = &clientBucket{host: c.host, rateAt: now}
		c.buckets[e.Bucket] = cb
	}
	cb.countRequest(now)
	cmds := cb.admitWaiting(now)
	if len(cb.waiting) == 0 && cb.spend(now) {
		cmds = append(cmds, Admitted{e.Ticket})
		return append(cmds, cb.requestAhead(now, e.Bucket)...)
	}
	if len(cb.waiting) >= maxWaiting {
		return append(cmds, Refused{Ticket: e.Ticket, RetryAfter: c.maxWait})
	}
	cb.waiting = append(cb.waiting, waitingRequest{e.Ticket, now})
	return append(cmds, cb.requestMissing(now, e.Bucket)...)
}

func (c *Client) responseReceived(now time.Time, e ResponseReceived) []Command {
	cb := c.buckets[e.Request.Bucket]
	if cb == nil {
		return nil
	}
	cb.requestPending = false
	cb.dropReported(e.Request)
	cb.applyShare(now, e)
	if e.Response.Grant.Tokens > 0 {
		cb.grants = append(cb.grants, heldGrant{e.Response.Grant.ID, e.Response.Grant.Tokens, e.SentAt.Add(e.Response.Grant.TTL)})
	}
	cmds := cb.admitWaiting(now)
	if len(cb.waiting) == 0 {
		return cmds
	}
	if e.Response.RetryAfter == 0 {
		return append(cmds, cb.requestMissing(now, e.Request.Bucket)...)
	}
	for _, w := range cb.waiting {
		cmds = append(cmds, Refused{Ticket: w.ticket, RetryAfter: e.Response.RetryAfter, RateExceeded: true})
	}
	cb.waiting = nil
	return cmds
}

func (c *Client) requestFailed(now time.Time, e RequestFailed) []Command {
	cb := c.buckets[e.Request.Bucket]
	if cb == nil {
		return nil
	}
	cb.requestPending = false
	cmds := cb.refuseOverdue(now, c.maxWait)
	if len(cb.waiting) > 0 {
		cmds = append(cmds, RetryLater{Bucket: e.Request.Bucket})
	}
	return cmds
}

func (c *Client) tick(now time.Time) (cmds []Command) {
	for _, b := range c.activeBuckets(now) {
		cb := c.buckets[b]
		cb.dropExpired(now)
		cmds = append(cmds, cb.admitWaiting(now)...)
		cmds = append(cmds, cb.refuseOverdue(now, c.maxWait)...)
		cb.closeIdle(now)
		switch {
		case cb.requestPending:
		case len(cb.waiting) > 0:
			cmds = append(cmds, cb.requestMissing(now, b)...)
		case cb.mustReport(now):
			cmds = append(cmds, cb.request(now, b, 0))
		case cb.isEmpty() && now.Sub(cb.lastUsed) > unusedBucketTTL:
			delete(c.buckets, b)
		}
	}
	return cmds
}

// Drain closes all grants and shares because the host is stopping.
func (c *Client) Drain(now time.Time) (cmds []Command) {
	for _, b := range c.sortedBuckets() {
		cb := c.buckets[b]
		cb.closeGrants()
		cb.closeShare(now)
		if len(cb.closedGrants)+len(cb.closedShares) > 0 {
			cb.requestRate = 0
			cmds = append(cmds, cb.request(now, b, 0))
		}
	}
	return cmds
}

// activeBuckets returns the buckets that a tick may change.
func (c *Client) activeBuckets(now time.Time) (list []Bucket) {
	for b, cb := range c.buckets {
		idle := len(cb.waiting) == 0 && !cb.requestPending && cb.isEmpty() && now.Sub(cb.lastUsed) <= unusedBucketTTL && cb.currentRate(now) == 0
		if !idle {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, Bucket.Compare)
	return list
}

// sortedBuckets returns the buckets in a stable order, so that a replay gives the same commands.
func (c *Client) sortedBuckets() []Bucket {
	return slices.SortedFunc(maps.Keys(c.buckets), Bucket.Compare)
}
