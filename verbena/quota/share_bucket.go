package quota

import "time"

// shareBucket is a share at the host that holds it.
type shareBucket struct {
	Share
	level    float64
	filledAt time.Time
	expires  time.Time
}

func newShareBucket(now time.Time, s Share, sentAt time.Time) *shareBucket {
	return &shareBucket{Share: s, level: min(s.Tokens, s.Burst), filledAt: now, expires: sentAt.Add(s.TTL)}
}

// renew extends the share and may resize it. A response that arrives out of order does neither.
func (b *shareBucket) renew(now time.Time, s Share, sentAt time.Time) {
	b.fill(now)
	if s.Revision > b.Revision {
		b.Revision, b.Rate, b.Burst = s.Revision, s.Rate, s.Burst
		b.level = min(b.level+s.Tokens, b.Burst)
	}
	if e := sentAt.Add(s.TTL); e.After(b.expires) {
		b.expires = e
	}
}

func (b *shareBucket) fill(now time.Time) {
	if !now.After(b.filledAt) {
		return
	}
	b.level = min(b.Burst, b.level+b.Rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
}

func (b *shareBucket) spend(now time.Time) bool {
	b.fill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
