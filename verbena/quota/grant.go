package quota

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// GrantID is unique among the grants of all owners of a bucket.
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

// Closed reports a grant that the host won't use any more.
type Closed struct {
	ID     GrantID `cbor:"1,keyasint"`
	Unused int     `cbor:"2,keyasint"`
}

// Ask asks the owner for tokens and closes old grants.
type Ask struct {
	Bucket Bucket   `cbor:"1,keyasint"`
	Want   int      `cbor:"2,keyasint"`
	Closed []Closed `cbor:"3,keyasint,omitempty"`
}

// Answer is the owner's reply. A grant of fewer tokens than wanted comes with
// the time at which the next one can be had.
type Answer struct {
	Grant      Grant         `cbor:"1,keyasint"`
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
}
