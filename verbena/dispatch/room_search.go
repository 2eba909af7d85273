package dispatch

import "verbenaledge.example/verbena/memory"

// roomSearch spares the search of a server for requests that need at least as much room as one that found none.
type roomSearch struct {
	lacking memory.Tokens
	// reserved is the request that a server is reserved for, or nil.
	reserved *waiter
}

func (rs *roomSearch) isHopeless(w *waiter, r SlotRequest) bool {
	return rs.reserved != w && rs.lacking > 0 && r.Footprint.Own >= rs.lacking
}

// add records a request that found no server. If it could use only some of the servers, it says nothing about others.
func (rs *roomSearch) add(sel selection, r SlotRequest) {
	if !sel.lacksRoom || sel.unsuitable || len(r.Exclude) > 0 || r.Resumption != nil {
		return
	}
	if rs.lacking == 0 || r.Footprint.Size < rs.lacking {
		rs.lacking = r.Footprint.Size
	}
}
