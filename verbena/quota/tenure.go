package quota

import (
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/rules"
)

// Tenure says since when and under which epoch the host owns a bucket's shard,
// and what the former owner has said.
type Tenure struct {
	Epoch ids.Epoch
	Since time.Time
	// Handed are the balances that the former owner has handed over. A bucket that
	// is not among them is full if Complete is true, else nothing is known of it.
	HandedOver []Balance
	Complete   bool
}

// Settled tells whether buckets that the owner holds no state of are full: it knew
// so from the start, or all that a former owner may have given has expired.
func (t Tenure) UntrackedAreFull(now time.Time, timing Timing) bool {
	return t.Complete || now.Sub(t.Since) > timing.ShareTTL+timing.Margin
}

// Balance is a bucket as its owner hands it over.
type Balance struct {
	Bucket Bucket  `cbor:"1,keyasint"`
	Level  float64 `cbor:"2,keyasint"`
	// Granted, LentRate and LentBurst are what hosts may still use.
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
