package dispatch

import (
	"time"

	"verbenaledge.example/verbena/fairness"
	"verbenaledge.example/verbena/ids"
)

// updateBatchShares decides which items start first and which ones yield first while callers leave fewer slots than items
// want, so that the items of a workspace that sends many don't keep out those of others. callersWait is set if a caller's
// request needs the slot of an item.
func (sc *Scheduler) updateBatchShares(now time.Time, p *pool, callersWait bool) {
	s := &p.batchShares
	if sc.disabled[FairRoom] || now.Sub(s.decidedAt) < sharesInterval || len(p.batchQueue)+len(p.batchRuns) == 0 {
		return
	}
	if !callersWait && now.Sub(s.checkedAt) < sharesInterval {
		return
	}
	s.checkedAt = now
	if !sc.itemsOfTwo(p) {
		sc.endBatchShares(p)
		return
	}
	_, free := p.callerSlots(now)
	free -= p.batchReserve()
	if callersWait {
		free-- // the slot that an item yields isn't shared out
	}
	if len(p.batchQueue) <= free {
		sc.endBatchShares(p)
		return
	}
	s.decide(now, float64(p.runningItems()+free), p.batchQueue.countByWorkspace(), sc.rates)
	sc.applyBatchShares(p)
}

// runningItems counts the items that weren't asked to yield.
func (p *pool) runningItems() (n int) {
	for _, r := range p.batchRuns {
		if !r.yielding {
			n++
		}
	}
	return n
}

// itemsOfTwo reports whether items of at least two workspaces that have a rate wait or run.
func (sc *Scheduler) itemsOfTwo(p *pool) bool {
	var first ids.WorkspaceID
	found := false
	isSecond := func(w ids.WorkspaceID) bool {
		if found && w == first {
			return false
		}
		if _, ok := sc.rates[w]; !ok {
			return false
		}
		if found {
			return true
		}
		first, found = w, true
		return false
	}
	for _, w := range p.batchQueue {
		if isSecond(w.request.Workspace) {
			return true
		}
	}
	for _, r := range p.batchRuns {
		if isSecond(r.request.Workspace) {
			return true
		}
	}
	return false
}

func (sc *Scheduler) endBatchShares(p *pool) {
	if p.batchShares.end() {
		sc.applyBatchShares(p)
	}
}

// applyBatchShares sets the standing of all items that wait or run.
func (sc *Scheduler) applyBatchShares(p *pool) {
	p.batchQueue.applyShares(&p.batchShares, sc.rates)
	for _, r := range p.batchRuns {
		r.standing = p.batchShares.standing(r.request.Workspace, sc.rates)
	}
}

// yieldsForShare reports whether an item yields before another because only its workspace is beyond its share.
func (r *run) yieldsForShare(o *run) bool {
	return r.standing == fairness.Beyond && o.standing != fairness.Beyond
}
