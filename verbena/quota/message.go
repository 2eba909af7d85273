package quota

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// GrantID identifies a grant or share uniquely among those of all owners of a bucket.
type GrantID struct {
	Epoch ids.Epoch `cbor:"1,keyasint"`
	Seq   uint64    `cbor:"2,keyasint"`
}

// Grant lets a host admit a number of requests until it expires.
type Grant struct {
	ID     GrantID       `cbor:"1,keyasint"`
	Tokens int           `cbor:"2,keyasint"`
	TTL    time.Duration `cbor:"3,keyasint"`
}

// Share lets a host make tokens itself until it expires, as a bucket of its own within the workspace's limit.
// It stays valid when the bucket's owner is lost.
type Share struct {
	ID GrantID `cbor:"1,keyasint"`
	// Revision counts the changes of the share's size. A host applies only a newer one.
	Revision uint32 `cbor:"5,keyasint"`
	// Rate is in tokens per second.
	Rate  float64       `cbor:"2,keyasint"`
	Burst float64       `cbor:"3,keyasint"`
	TTL   time.Duration `cbor:"4,keyasint"`
	// Tokens are moved to the host with a share that is new or larger than before.
	Tokens float64 `cbor:"7,keyasint,omitempty"`
}

// ClosedGrant reports a grant that the host won't use any more.
type ClosedGrant struct {
	ID     GrantID `cbor:"1,keyasint"`
	Unused int     `cbor:"2,keyasint"`
}

// ClosedShare reports a share that the host won't use any more.
type ClosedShare struct {
	ID     GrantID `cbor:"1,keyasint"`
	Rate   float64 `cbor:"2,keyasint"`
	Burst  float64 `cbor:"3,keyasint"`
	Unused float64 `cbor:"4,keyasint"`
	// Remaining is how long the share would still have been valid when the request was sent.
	Remaining time.Duration `cbor:"5,keyasint"`
}

// HeldShare reports a share that the host uses and wants to keep.
type HeldShare struct {
	Share
	// Remaining is how long the share was still valid when the request was sent.
	Remaining time.Duration `cbor:"6,keyasint"`
}

// TokenRequest asks the owner for tokens and closes old grants and shares.
type TokenRequest struct {
	Bucket Bucket     `cbor:"1,keyasint"`
	Host   ids.HostID `cbor:"2,keyasint"`
	Want   int        `cbor:"3,keyasint"`
	// RequestRate is the host's own rate of requests, in tokens per second.
	RequestRate float64 `cbor:"4,keyasint,omitempty"`
	// Share is what the host holds and wants to keep. If another owner gave it, this one takes it over.
	Share        HeldShare     `cbor:"5,keyasint"`
	ClosedGrants []ClosedGrant `cbor:"6,keyasint,omitempty"`
	ClosedShares []ClosedShare `cbor:"7,keyasint,omitempty"`
}

// TokenResponse is the owner's answer. If it grants fewer tokens than wanted, RetryAfter is the time until the
// next token.
type TokenResponse struct {
	Grant      Grant         `cbor:"1,keyasint"`
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
	// Share has a zero id if the owner gives or renews none.
	Share Share `cbor:"3,keyasint"`
}
