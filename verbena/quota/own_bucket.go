package quota

import "time"

// ownBucket is a share at the host that holds it.
type ownBucket struct {
	Share
	level   float64
	filled  time.Time
	expires time.Time
}

func newOwnBucket(now time.Time, s Share, sent time.Time) *ownBucket {
	return &ownBucket{Share: s, level: min(s.Tokens, s.Burst), filled: now, expires: sent.Add(s.TTL)}
}

// renew lengthens the share and may resize it. An answer that comes late changes
// neither.
func (b *ownBucket) renew(now time.Time, s Share, sent time.Time) {
	b.fill(now)
	if s.Revision > b.Revision {
		b.Revision, b.Rate, b.Burst = s.Revision, s.Rate, s.Burst
		b.level = min(b.level+s.Tokens, b.Burst)
	}
	if e := sent.Add(s.TTL); e.After(b.expires) {
		b.expires = e
	}
}

func (b *ownBucket) fill(now time.Time) {
	if !now.After(b.filled) {
		return
	}
	b.level = min(b.Burst, b.level+b.Rate*now.Sub(b.filled).Seconds())
	b.filled = now
}

func (b *ownBucket) spend(now time.Time) bool {
	b.fill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
