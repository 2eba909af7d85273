package dispatch

import (
	"cmp"
	"slices"
	"time"

	"verbenaledge.example/verbena/memory"
)

// yieldingTokens returns the memory that batch items will give back that were asked to yield, by server.
func (p *pool) yieldingTokens() map[*server]memory.Tokens {
	var yielding map[*server]memory.Tokens
	for _, r := range p.batchRuns {
		if !r.yielding {
			continue
		}
		if yielding == nil {
			yielding = make(map[*server]memory.Tokens)
		}
		yielding[r.server] += r.request.Footprint.Own
	}
	return yielding
}

// makeRoom tells the fewest batch items of one server to yield whose memory lets a caller's request in, unless enough is about to be
// given back. The request waits until then: the server must not hold both.
func (sc *Scheduler) makeRoom(now time.Time, w *waiter, req SlotRequest, sel selection) (awaiting bool) {
	p := w.pool
	w.lacksRoom = sel.lacksRoom
	if p.memoryTokens == 0 || req.Footprint.Size == 0 || p.disabled[BatchYields] || len(p.batchRuns) == 0 {
		return false
	}
	yielding := p.yieldingTokens()
	if p.awaitsYielding(now, w.key, req, yielding) {
		return true
	}
	itemsOf := make(map[*server][]*run)
	for _, r := range p.batchRuns {
		if !r.yielding && r.server.accepts(now, w.key.Host, req) {
			itemsOf[r.server] = append(itemsOf[r.server], r)
		}
	}
	var fewest []*run
	for s, items := range itemsOf {
		set := yieldingSet(items, p.lackingTokens(s, &req.Footprint, yielding[s]))
		if len(set) > 0 && (fewest == nil || len(set) < len(fewest) || len(set) == len(fewest) && set[0].yieldsBefore(fewest[0])) {
			fewest = set
		}
	}
	for _, r := range fewest {
		r.yielding = true
		r.server.yieldingSlots++
		sc.commands = append(sc.commands, Yield{Key: r.key})
	}
	return len(fewest) > 0
}

// yieldingSet returns the fewest items that hold the lacking tokens together, or none. Of equally small sets it returns one that has the
// items first that yield first.
func yieldingSet(items []*run, lacking memory.Tokens) (set []*run) {
	slices.SortFunc(items, func(a, b *run) int { return cmp.Compare(b.request.Footprint.Own, a.request.Footprint.Own) })
	n, sum := 0, memory.Tokens(0)
	for n < len(items) && sum < lacking {
		sum += items[n].request.Footprint.Own
		n++
	}
	if sum < lacking {
		return nil
	}
	bySize := slices.Clone(items)
	slices.SortFunc(items, func(a, b *run) int {
		if a.yieldsBefore(b) {
			return -1
		}
		return 1
	})
	for _, r := range items {
		if n == len(set) {
			break
		}
		bySize = slices.DeleteFunc(bySize, func(o *run) bool { return o == r })
		rest := r.request.Footprint.Own
		for _, o := range bySize[:min(len(bySize), n-len(set)-1)] {
			rest += o.request.Footprint.Own
		}
		if rest >= lacking {
			set, lacking = append(set, r), lacking-r.request.Footprint.Own
		}
	}
	return set
}

// awaitsYielding reports whether the request has room once items have left that were asked to yield.
func (p *pool) awaitsYielding(now time.Time, k Key, req SlotRequest, yielding map[*server]memory.Tokens) bool {
	for s, tokens := range yielding {
		if s.usable(now) && !s.keptFromClass(k, req.Class) && req.mayRunOn(now, s) && p.lackingTokens(s, &req.Footprint, tokens) <= 0 {
			return true
		}
	}
	return false
}
