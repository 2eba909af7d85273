package callerconn

import (
	"cmp"
	"time"
)

// Limits are what a configuration allows callers. Zero values stand for the defaults.
type Limits struct {
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration
}

// The limits without a configuration.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 90 * time.Second
)

// The margins keep callers that are within the limits by their own count from being refused: it may leave out the request
// line, and their clock started earlier than the bytes arrived.
const (
	headerBytesMargin   = 4 << 10
	headerTimeoutMargin = time.Second
	idleTimeoutMargin   = time.Second
)

// maxHeadBytes bounds heads whatever the configuration says.
const maxHeadBytes = 1 << 20

// enforced returns the limits with defaults and margins.
func (l Limits) enforced() Limits {
	return Limits{
		HeaderBytes:   min(cmp.Or(max(0, l.HeaderBytes), defaultHeaderBytes)+headerBytesMargin, maxHeadBytes),
		HeaderTimeout: cmp.Or(max(0, l.HeaderTimeout), defaultHeaderTimeout) + headerTimeoutMargin,
		IdleTimeout:   cmp.Or(max(0, l.IdleTimeout), defaultIdleTimeout) + idleTimeoutMargin,
	}
}
