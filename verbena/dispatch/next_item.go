package dispatch

import (
	"cmp"
	"time"
)

// itemRequest returns the request of a batch item, without its condition on the version once it should begin again at another.
func (p *pool) itemRequest(now time.Time, w *waiter) SlotRequest {
	req := w.request
	if req.Resumption != nil && (now.Sub(w.since) >= otherVersionAfter || !p.hasOther(now, req)) {
		req.Resumption = nil
	}
	return req
}

// nextItem returns the first batch item that can start now, and its server. An item that waits for a server of the version
// that began its output doesn't hold up the others.
func (p *pool) nextItem(now time.Time, search *roomSearch) (w *waiter, s *server, in Inputs) {
	for _, w := range p.batchQueue {
		req := p.itemRequest(now, w)
		if w != p.batchQueue[0] && search.findsNoRoom(now, w, req) || req.Resumption != nil && w.awaitsList() {
			continue
		}
		sel := p.selectServer(now, w.key.Host, req)
		if w == p.batchQueue[0] {
			p.plan.observe(now, max(0, sel.effective-float64(p.onlineRuns+p.batchReserve())), sel.effective)
		}
		if sel.free <= p.batchReserve() {
			return nil, nil, in
		}
		if s := cmp.Or(sel.best, sel.lastResort); s != nil {
			if w.resumption != nil {
				w.resumption.MayHaveRestarted = s.mayHaveRestarted(now) || w.awaitsList()
			}
			return w, s, p.inputs(sel)
		}
		if !sel.lacksRoom && req.Resumption == nil {
			return nil, nil, in
		}
		w.lacksRoom = sel.lacksRoom
		search.add(now, p, sel, req)
	}
	return nil, nil, in
}
