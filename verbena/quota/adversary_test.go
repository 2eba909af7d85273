package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/quota"
	"verbenaledge.example/verbena/rules"
)

// hoarder keeps what it is given to the last moment and spends it all at once: the
// worst that a host may do within the rules.
type hoarder struct {
	id     ids.HostID
	grants []hoard
	share  quota.Share
	level  float64
	filled time.Time
	end    time.Time
}

type hoard struct {
	tokens int
	end    time.Time
}

func (h *hoarder) fill(now time.Time) {
	if now.After(h.end) {
		now = h.end
	}
	if now.After(h.filled) {
		h.level = min(h.share.Burst, h.level+h.share.Rate*now.Sub(h.filled).Seconds())
		h.filled = now
	}
}

func (h *hoarder) take(now, sent time.Time, a quota.TokenResponse) {
	if a.Grant.Tokens > 0 {
		h.grants = append(h.grants, hoard{a.Grant.Tokens, sent.Add(a.Grant.TTL)})
	}
	if a.Share.ID == (quota.GrantID{}) {
		return
	}
	h.fill(now)
	if a.Share.ID != h.share.ID {
		h.share, h.level, h.filled = a.Share, min(a.Share.Tokens, a.Share.Burst), now
	} else if a.Share.Revision > h.share.Revision {
		h.share = a.Share
		h.level = min(h.level+h.share.Tokens, h.share.Burst)
	}
	h.end = sent.Add(a.Share.TTL)
}

func (h *hoarder) spendAll(now time.Time) (n int) {
	for _, g := range h.grants {
		if now.Before(g.end) {
			n += g.tokens
		}
	}
	h.grants = nil
	if now.Before(h.end) {
		h.fill(now)
		n += int(h.level)
		h.level -= float64(int(h.level))
	}
	return n
}

// TestNoExcessByHoarders lets hosts hoard over changes of the owner and of the
// rule, and checks every window.
func TestNoExcessByHoarders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rules.Limit{
			RatePerSecond: rapid.Float64Range(0.5, 100).Draw(rt, "rate"),
			Burst:         float64(rapid.IntRange(1, 100).Draw(rt, "burst")),
		}
		now := start
		ledger, tenure := quota.NewLedger(timing), quota.Tenure{Epoch: 1, Since: start, Complete: true}
		hosts := make([]*hoarder, rapid.IntRange(1, 5).Draw(rt, "hosts"))
		for i := range hosts {
			hosts[i] = &hoarder{id: ids.HostID(fmt.Sprint(i)), filled: start}
		}
		var admitted []time.Time
		for range rapid.IntRange(5, 120).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 50, 500, 900, 15000}).Draw(rt, "pause")) * time.Millisecond)
			h := hosts[rapid.IntRange(0, len(hosts)-1).Draw(rt, "host")]
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0:
				next := quota.Tenure{Epoch: tenure.Epoch + 1, Since: now}
				if rapid.Bool().Draw(rt, "handed over") {
					next.HandedOver = ledger.Balances(now, tenure, func(quota.Bucket) bool { return true })
					next.Complete = tenure.UntrackedAreFull(now, timing)
				}
				ledger, tenure = quota.NewLedger(timing), next
			case 1:
				for _, h := range hosts {
					admitted = append(admitted, slices.Repeat([]time.Time{now}, h.spendAll(now))...)
				}
			default:
				a := quota.TokenRequest{
					Bucket: bucket, Host: h.id, Want: rapid.SampledFrom([]int{0, 1, 100}).Draw(rt, "want"),
					RequestRate: rapid.SampledFrom([]float64{0, 1, 10, 50}).Draw(rt, "use"), Share: quota.HeldShare{Share: h.share, Remaining: h.end.Sub(now)},
				}
				sent := now
				now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 100, 500}).Draw(rt, "way")) * time.Millisecond)
				answer := ledger.Grant(now, tenure, limit, a)
				if rapid.IntRange(0, 5).Draw(rt, "answer lost") > 0 {
					h.take(now, sent, answer)
				}
			}
		}
		if x := excess(limit, admitted); x > rounding {
			rt.Fatalf("admitted %.3f over the limit of %v", x, limit)
		}
	})
}
