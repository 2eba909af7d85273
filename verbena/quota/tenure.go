package quota

import (
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/rules"
)

// Tenure is a host's ownership of a bucket's shard: since when, under which epoch, and what the former owner
// handed over.
type Tenure struct {
	Epoch ids.Epoch
	Since time.Time
	// HandedOver holds the former owner's balances. A bucket without one is full if Complete is true, else nothing
	// is known about it.
	HandedOver []Balance
	Complete   bool
}

// UntrackedAreFull reports whether buckets without state at the owner are full: either that was known from the
// start, or everything that a former owner may have given has expired.
func (t Tenure) UntrackedAreFull(now time.Time, timing Timing) bool {
	return t.Complete || now.Sub(t.Since) > timing.ShareTTL+timing.Margin
}

// Balance is the state of a bucket that an owner hands over.
type Balance struct {
	Bucket Bucket  `cbor:"1,keyasint"`
	Level  float64 `cbor:"2,keyasint"`
	// Granted, ShareRate and ShareBurst are what hosts may still use from grants and shares.
	Granted    float64 `cbor:"3,keyasint"`
	ShareRate  float64 `cbor:"4,keyasint"`
	ShareBurst float64 `cbor:"5,keyasint"`
}

func (t Tenure) balance(b Bucket, limit rules.Limit) (x Balance, known bool) {
	for _, x := range t.HandedOver {
		if x.Bucket == b {
			return x, true
		}
	}
	return Balance{Bucket: b, Level: limit.Burst}, t.Complete
}
