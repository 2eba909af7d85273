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

// hoarder keeps everything it is given until the last moment and spends it at once: the worst that a host may
// do within the rules.
type hoarder struct {
	id       ids.HostID
	grants   []heldGrant
	share    quota.Share
	level    float64
	filledAt time.Time
	expires  time.Time
}

type heldGrant struct {
	tokens  int
	expires time.Time
}

func (h *hoarder) fill(now time.Time) {
	if now.After(h.expires) {
		now = h.expires
	}
	if now.After(h.filledAt) {
		h.level = min(h.share.Burst, h.level+h.share.Rate*now.Sub(h.filledAt).Seconds())
		h.filledAt = now
	}
}

func (h *hoarder) receive(now, sentAt time.Time, resp quota.TokenResponse) {
	if resp.Grant.Tokens > 0 {
		h.grants = append(h.grants, heldGrant{resp.Grant.Tokens, sentAt.Add(resp.Grant.TTL)})
	}
	if resp.Share.ID == (quota.GrantID{}) {
		return
	}
	h.fill(now)
	if resp.Share.ID != h.share.ID {
		h.share, h.level, h.filledAt = resp.Share, min(resp.Share.Tokens, resp.Share.Burst), now
	} else if resp.Share.Revision > h.share.Revision {
		h.share = resp.Share
		h.level = min(h.level+h.share.Tokens, h.share.Burst)
	}
	h.expires = sentAt.Add(resp.Share.TTL)
}

func (h *hoarder) spendAll(now time.Time) (n int) {
	for _, g := range h.grants {
		if now.Before(g.expires) {
			n += g.tokens
		}
	}
	h.grants = nil
	if now.Before(h.expires) {
		h.fill(now)
		n += int(h.level)
		h.level -= float64(int(h.level))
	}
	return n
}

// TestNoExcessByHoarders checks that no window admits more than its limit when hosts hoard tokens across changes
// of the owner.
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
			hosts[i] = &hoarder{id: ids.HostID(fmt.Sprint(i)), filledAt: start}
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
				req := quota.TokenRequest{
					Bucket: bucket, Host: h.id, Want: rapid.SampledFrom([]int{0, 1, 100}).Draw(rt, "want"),
					RequestRate: rapid.SampledFrom([]float64{0, 1, 10, 50}).Draw(rt, "request rate"), Share: quota.HeldShare{Share: h.share, Remaining: h.expires.Sub(now)},
				}
				sentAt := now
				now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 100, 500}).Draw(rt, "transit")) * time.Millisecond)
				resp := ledger.Grant(now, tenure, limit, req)
				if rapid.IntRange(0, 5).Draw(rt, "answer lost") > 0 {
					h.receive(now, sentAt, resp)
				}
			}
		}
		if x := excess(limit, admitted); x > rounding {
			rt.Fatalf("admitted %.3f over the limit of %v", x, limit)
		}
	})
}
