package quota

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// GrantID is unique among the grants and shares of all owners of a bucket.
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

// Share lets a host make tokens itself, as a bucket of its own inside the
// workspace's, until it expires. It outlives the loss of the bucket's owner.
type Share struct {
	ID GrantID `cbor:"1,keyasint"`
	// Rev counts the sizes that the share has had; a host takes only a newer one.
	Revision uint32 `cbor:"5,keyasint"`
	// Rate is in tokens a second.
	Rate  float64       `cbor:"2,keyasint"`
	Burst float64       `cbor:"3,keyasint"`
	TTL   time.Duration `cbor:"4,keyasint"`
	// Tokens come with a share that is new or larger than before.
	Tokens float64 `cbor:"7,keyasint,omitempty"`
}

// Closed reports a grant that the host won't use any more.
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
	// Left is how long the share would have lasted, when the ask was sent.
	Remaining time.Duration `cbor:"5,keyasint"`
}

// HeldShare reports a share that the host uses and wants to keep.
type HeldShare struct {
	Share
	// Left is how long the share lasts, when the ask was sent.
	Remaining time.Duration `cbor:"6,keyasint"`
}

// Ask asks the owner for tokens and closes old grants and shares.
type TokenRequest struct {
	Bucket Bucket     `cbor:"1,keyasint"`
	Host   ids.HostID `cbor:"2,keyasint"`
	Want   int        `cbor:"3,keyasint"`
	// Use is the host's own rate of requests, in tokens a second.
	RequestRate float64 `cbor:"4,keyasint,omitempty"`
	// Share is what the host holds and wants to keep; a successor of the owner that
	// gave it takes it over.
	Share        HeldShare     `cbor:"5,keyasint"`
	ClosedGrants []ClosedGrant `cbor:"6,keyasint,omitempty"`
	ClosedShares []ClosedShare `cbor:"7,keyasint,omitempty"`
}

// Answer is the owner's reply. A grant of fewer tokens than wanted comes with
// the time at which the next one can be had.
type TokenResponse struct {
	Grant      Grant         `cbor:"1,keyasint"`
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
	// Share has a zero id when the host holds none from now on.
	Share Share `cbor:"3,keyasint"`
}
