package bulk

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/limit"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

// Why items are listed as errored.
const (
	// reasonCannotBeDone is a server's 422.
	reasonCannotBeDone = "cannot_be_done"
	// reasonFailedTooOften is the last of as many answers of 500 as the route allows.
	reasonFailedTooOften = "failed_too_often"
	// reasonGivenUp is the end of the route's time for the job's items.
	reasonGivenUp = "given_up"
	// reasonRouteGone is a configuration without the job's route.
	reasonRouteGone = "route_gone"
	// reasonTooLarge is a size that no server of the service can hold.
	reasonTooLarge = "too_large"
	// reasonUnsafePath is a path that can't be sent.
	reasonUnsafePath = "unsafe_path"
)

// itemsErrored counts the items that are listed as errored for a reason.
func itemsErrored(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("verbenad_items_errored_total{reason=%q}", reason))
}

// logErrored counts and logs an item that is listed as errored without an answer of a server that decides it. The ages of its job are by
// the clock of the entry host that accepted it, and since this host has known it.
func (o *Owner) logErrored(r *bulk.Record, item bulk.ItemID, reason string, more log.Fields) {
	itemsErrored(reason).Inc()
	now, elapsed := o.clock.Now(), o.elapsed.Now()
	fields := log.Fields{
		"job": r.Job.ID, "item": item, "workspace": r.Job.Workspace, "route": r.Job.Route, "configuration": o.configuration.Load(),
		"job_configuration": r.Job.Configuration,
		"submitted_ago_ms":  now.Sub(r.Job.Submitted).Milliseconds(), "known_ms": elapsed.Sub(r.KnownSince).Milliseconds(),
		"give_up_in_ms": r.GiveUpAt.Sub(elapsed).Milliseconds(), "reason": reason, "outcome": "errored",
	}
	for k, v := range more {
		fields[k] = v
	}
	log.WithFields(fields).Warn("item ended")
}

// progressFields returns what the item's run has come to.
func (i *itemRun) progressFields() log.Fields {
	return log.Fields{"sends": i.sends, "failures": i.failures, "events": i.events, "yields": i.yields}
}

// logPlaced logs which server a send of the item goes to, and the inputs of that decision.
func (i *itemRun) logPlaced(slot *slots.Slot) {
	fields := log.Fields{
		"job": i.record.Job.ID, "item": i.item.ID, "service": slot.Server.Service, "server": slot.Server.ID, "resume_after": i.lastEventID,
		"placed_by": slot.Placer.String(), "free_slots": slot.Inputs.Free, "slots": slot.Inputs.Slots, "outcome": "placed",
		"workspace_share": slot.Inputs.Share.String(),
	}
	if known := i.owner.slots.KnownLimit(slot.Server.ID); known.Kind == limit.Named {
		fields["server_limit"] = known.PerSecond
	}
	log.WithFields(fields).Info("item placed")
}

// logTurnedAway logs an answer that isn't a stream of the item's events, and what tells it from an answer to an earlier send.
func (i *itemRun) logTurnedAway(slot *slots.Slot, a *upstream.Response) {
	log.WithFields(log.Fields{
		"job": i.record.Job.ID, "item": i.item.ID, "server": slot.Server.ID, "status": a.Status, "not_executed": a.Info.NotExecuted,
		"server_running": a.Info.Load.Running, "server_waiting": a.Info.Load.Waiting, "failures": i.failures, "outcome": "not_served",
		"sends": i.sends, "first_ms": a.TimeToHeaders.Milliseconds(), "relayed": a.Relayed, "server_connection": a.Connection.Number,
		"server_connection_requests": a.Connection.Requests, "server_connection_repeated": a.Connection.Repeated,
	}).Info("server turned an item away")
}

// logEnd logs how a run of the item ended that a server's answer decided.
func (i *itemRun) logEnd(outcome string, slot *slots.Slot) {
	now, elapsed := i.owner.clock.Now(), i.owner.elapsed.Now()
	log.WithFields(log.Fields{
		"job": i.record.Job.ID, "item": i.item.ID, "server": slot.Server.ID, "workspace": i.record.Job.Workspace,
		"events": i.events, "failures": i.failures, "sends": i.sends, "due_in_ms": i.record.DueAt.Sub(elapsed).Milliseconds(),
		"submitted_ago_ms": now.Sub(i.record.Job.Submitted).Milliseconds(), "known_ms": elapsed.Sub(i.record.KnownSince).Milliseconds(),
		"yields": i.yields, "slot_wait_ms": slot.Waited.Milliseconds(), "free_slots": slot.Inputs.Free, "slots": slot.Inputs.Slots,
		"ending_failures": i.endingFailures, "configuration": i.owner.configuration.Load(), "job_configuration": i.record.Job.Configuration,
		"reason": i.reason, "framing": i.framing.String(), "outcome": outcome,
	}).Info("item ended")
}
