package bulk

import (
	"context"
	"errors"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

// release gives a slot back. If an answer was broken off, or its server was silent, it first finds out whether this host has lost
// the path to the server, which says nothing about the server.
func (i *itemRun) release(slot *slots.Slot, o dispatch.Outcome) {
	err, relayed := i.brokenBy, i.relayed
	if o.Result != dispatch.Broken && o.Result != dispatch.Silent || err == nil {
		i.owner.slots.Release(slot, o)
		return
	}
	go func() {
		if i.owner.client.PathFailed(slot.Server, relayed, err) {
			o.Result = dispatch.NoPath
		}
		i.owner.slots.Release(slot, o)
	}()
}

// classifyError returns the dispatch result of a send that ended before its answer was complete. Unless the send was
// cancelled, it excludes the server from the item's next slot requests.
func (i *itemRun) classifyError(runCtx context.Context, slot *slots.Slot, err error) dispatch.Result {
	select {
	case <-slot.Yielded:
		return dispatch.Cancelled
	default:
	}
	if runCtx.Err() != nil {
		return dispatch.Cancelled
	}
	log.WithError(err).WithFields(log.Fields{"job": i.record.Job.ID, "item": i.item.ID, "server": slot.Server.ID}).Warn("item's run broke off")
	i.exclude = []ids.BackendID{slot.Server.ID}
	i.lost = lostServer{start: startOf(slot.Server), at: i.owner.clock.Now()}
	i.brokenBy = err
	broken := dispatch.Broken
	if i.silent.Load() {
		broken = dispatch.Silent
	}
	var e *upstream.Error
	switch {
	case !errors.As(err, &e):
		return broken
	case e.Connected:
		i.relayed = e.Relayed
		return broken
	case e.PathBroken:
		return dispatch.NoPath
	}
	return dispatch.Unreachable
}

// knownFailures returns how many answers of 500 the item has had as far as this owner knows. If two owners have run it at once, the
// larger number counts, so that none counts twice.
func (i *itemRun) knownFailures() bulk.ItemFailures {
	return bulk.ItemFailures{Item: i.item.ID, Count: max(i.failures, int(i.reportedFailures.Load()))}
}
