package bulk

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"verbenaledge.example/verbena/clock"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

const (
	// silentAfter ends a run whose server sends nothing; events come several times a second.
	silentAfter = 3 * time.Second
	// againAfter is the pause before an item that failed runs again.
	againAfter = 100 * time.Millisecond
	// refusalLimit bounds what is read of an answer that is no stream, in bytes.
	refusalLimit = 1 << 20
	// cannotBeDone is the status of a server for an item that can never be done.
	cannotBeDone = http.StatusUnprocessableEntity
)

var (
	itemsDone    = metrics.NewCounter("verbenad_items_done_total")
	itemsYielded = metrics.NewCounter("verbenad_items_yielded_total")
	itemsFailed  = metrics.NewCounter("verbenad_item_runs_failed_total")
	itemSeconds  = metrics.NewHistogram("verbenad_item_seconds")
)

// itemRun is an item on its way to a result. Its text survives the servers that made it.
type itemRun struct {
	owner  *Owner
	record *bulk.Record
	item   bulk.Item
	route  string

	text     []byte
	events   int
	last     string
	failures int
	yields   int
	cancel   context.CancelFunc
	// carried is the beginning of the answer that a former owner had; it is used with the next send.
	carried atomic.Pointer[bulk.PartialAnswer]
	// reason is why the item ends without a result.
	reason  string
	exclude []ids.BackendID
}

// run sends the item to servers until it has a result. done is false if it was stopped before.
func (i *itemRun) run(ctx context.Context) (result bulk.Result, done bool) {
	start := i.owner.clock.Now()
	for ctx.Err() == nil {
		route, service, ok := i.service(ctx)
		if !ok {
			return bulk.Result{Item: i.item.ID, State: bulk.Errored}, ctx.Err() == nil
		}
		lease, err := i.owner.slots.Acquire(ctx, i.ask(service))
		if err != nil {
			clock.Sleep(ctx, againAfter)
			continue
		}
		verdict := i.send(ctx, route, lease)
		switch verdict {
		case itemComplete:
			itemsDone.Inc()
			itemSeconds.Update(i.owner.clock.Now().Sub(start).Seconds())
			i.owner.sizes.learn(i.item.Tokens, i.events)
			i.reason = ""
			i.report("completed", lease)
			return bulk.Result{Item: i.item.ID, State: bulk.Completed, Output: string(i.text)}, true
		case itemImpossible:
			i.report("errored", lease)
			return bulk.Result{Item: i.item.ID, State: bulk.Errored}, true
		case itemYielded:
			itemsYielded.Inc()
			i.yields++
		case itemAgain:
			itemsFailed.Inc()
			clock.Sleep(ctx, againAfter)
		}
	}
	return result, false
}

// itemVerdict says how a send of an item ended.
type itemVerdict int

const (
	itemAgain itemVerdict = iota
	itemYielded
	itemComplete
	itemImpossible
)

// service finds where the item's route leads now.
func (i *itemRun) service(ctx context.Context) (r *catalog.Route, name ids.ServiceName, ok bool) {
	found := make(chan *catalog.Route, 1)
	i.owner.post(func() {
		r, _ := i.owner.catalog.Route(i.route)
		found <- r
	})
	select {
	case r = <-found:
	case <-ctx.Done():
	}
	if r == nil {
		return nil, "", false
	}
	name, ok = r.PickService(0)
	return r, name, ok
}

func (i *itemRun) ask(service ids.ServiceName) dispatch.SlotRequest {
	now := i.owner.clock.Now()
	return dispatch.SlotRequest{
		Service: service, Workspace: i.record.Job.Workspace, Class: dispatch.Batch, Objective: i.record.Job.Due.Sub(now),
		Remaining: i.record.Job.GiveUpAt.Sub(now), StreamEvents: i.owner.sizes.left(i.item.Tokens, i.events), Exclude: i.exclude,
	}
}

// send runs the item on one server, from the last whole event on.
func (i *itemRun) send(whole context.Context, route *catalog.Route, l *slots.Slot) (v itemVerdict) {
	ctx, cancel := context.WithCancel(whole)
	defer cancel()
	i.carryOn()
	var o dispatch.Outcome
	defer func() { i.owner.slots.Release(l, o) }()
	go func() {
		select {
		case <-l.Yielded:
			cancel()
		case <-ctx.Done():
		}
	}()
	silence := time.AfterFunc(silentAfter, cancel)
	defer silence.Stop()
	stall := i.owner.slots.WatchForStall(l)
	defer stall.Stop()
	id, header := i.owner.protocol.ItemRequest(i.item)
	answer, err := i.owner.client.Send(ctx, i.owner.protocol, upstream.Request{
		ID: id, Method: http.MethodPost, Target: i.item.Path, Host: i.record.Job.Host, Body: i.item.Body, Server: l.Server,
		Header: i.owner.protocol.Forward(header, exchange.ForwardInfo{Server: l.Server.ID, Workspace: i.record.Job.Workspace, LastEventID: i.last}),
	})
	if err != nil {
		o.Result = i.broken(whole, l, err)
		if o.Result == dispatch.Cancelled {
			return itemYielded
		}
		return itemAgain
	}
	defer answer.Close()
	stall.Progress()
	o.TimeToFirstByte = answer.TimeToHeaders
	if answer.Status != http.StatusOK || !answer.Reply.Signed {
		o.Result, v = i.refused(route, answer)
		log.WithFields(log.Fields{
			"job": i.record.Job.ID, "item": i.item.ID, "server": l.Server.ID, "status": answer.Status, "not_executed": answer.Reply.NotExecuted,
			"server_running": answer.Reply.Load.Running, "server_waiting": answer.Reply.Load.Waiting, "failures": i.failures, "outcome": "not_served",
		}).Info("server turned an item away")
		return v
	}
	progress := func() {
		stall.Progress()
		silence.Reset(silentAfter)
	}
	return i.read(whole, l, answer, &o, progress)
}

// carryOn goes on from a former owner's beginning if it is further.
func (i *itemRun) carryOn() {
	if b := i.carried.Swap(nil); b != nil && b.Events > i.events {
		i.text, i.events, i.last = b.Text, b.Events, b.LastEventID
	}
}

// broken says what a send without a whole answer tells of its server.
func (i *itemRun) broken(whole context.Context, l *slots.Slot, err error) dispatch.Result {
	select {
	case <-l.Yielded:
		return dispatch.Cancelled
	default:
	}
	if whole.Err() != nil {
		return dispatch.Cancelled
	}
	log.WithError(err).WithFields(log.Fields{"job": i.record.Job.ID, "item": i.item.ID, "server": l.Server.ID}).Warn("item's run broke off")
	i.exclude = []ids.BackendID{l.Server.ID}
	var e *upstream.Error
	if errors.As(err, &e) && !e.Connected {
		return dispatch.Unreachable
	}
	return dispatch.Broken
}

// refused takes an answer that is no stream.
func (i *itemRun) refused(route *catalog.Route, a *upstream.Response) (dispatch.Result, itemVerdict) {
	if a.Reply.NotExecuted {
		if a.Status == http.StatusMisdirectedRequest {
			return dispatch.Gone, itemAgain
		}
		return dispatch.Full, itemAgain
	}
	n, err := io.Copy(io.Discard, io.LimitReader(a, refusalLimit))
	if err != nil || n == refusalLimit || !a.Reply.Signed {
		return dispatch.Broken, itemAgain
	}
	if a.Status == cannotBeDone {
		i.reason = "cannot_be_done"
		return dispatch.Served, itemImpossible
	}
	if a.Status == http.StatusInternalServerError {
		i.failures++
		i.reason = "failed_too_often"
		if i.failures >= route.MaxAttempts {
			return dispatch.Failed, itemImpossible
		}
	}
	return dispatch.Failed, itemAgain
}

// read takes the events of a run.
func (i *itemRun) read(whole context.Context, l *slots.Slot, a *upstream.Response, o *dispatch.Outcome, progress func()) itemVerdict {
	events := upstream.NewEvents(a)
	start := i.owner.clock.Now()
	for {
		batch, err := events.Next()
		if errors.Is(err, io.EOF) {
			o.Result, o.Elapsed = dispatch.Served, i.owner.clock.Now().Sub(start)
			return itemComplete
		}
		if err != nil {
			if o.Result = i.broken(whole, l, err); o.Result == dispatch.Cancelled {
				return itemYielded
			}
			return itemAgain
		}
		if upstream.HasEvent(batch) {
			progress() // comments say nothing of the server's work
		}
		if found := upstream.Parse(batch); !a.HasEmbeddedResponse(batch) && i.takeAll(found) {
			o.StreamEvents += len(found)
			continue
		}
		o.Result = dispatch.Broken
		i.exclude = []ids.BackendID{l.Server.ID}
		log.WithFields(log.Fields{"item": i.item.ID, "server": l.Server.ID, "last": i.last, "bytes": len(i.text)}).Warn("events out of order, or without end")
		i.text, i.events, i.last = nil, 0, ""
		return itemAgain
	}
}

// takeAll appends events. It is false for events that don't follow, and for a text that no result can hold.
func (i *itemRun) takeAll(events []upstream.Event) bool {
	for _, e := range events {
		if !i.take(e) || len(i.text) > i.owner.valueBytes/segmentShare {
			return false
		}
	}
	return true
}

// take appends one event's data.
func (i *itemRun) take(e upstream.Event) bool {
	if last, err := strconv.ParseInt(i.last, 10, 64); err == nil {
		if next, err := strconv.ParseInt(e.ID, 10, 64); err == nil && next != last+1 {
			return false
		}
	}
	if i.events > 0 {
		i.text = append(i.text, '\n')
	}
	i.text = append(i.text, e.Data...)
	i.events++
	if e.ID != "" {
		i.last = e.ID
	}
	return true
}

func (i *itemRun) report(outcome string, l *slots.Slot) {
	log.WithFields(log.Fields{
		"job": i.record.Job.ID, "item": i.item.ID, "server": l.Server.ID, "workspace": i.record.Job.Workspace,
		"events": i.events, "failures": i.failures, "due_in_ms": i.record.Job.Due.Sub(i.owner.clock.Now()).Milliseconds(),
		"yields": i.yields, "slot_wait_ms": l.Waited.Milliseconds(), "free_slots": l.Inputs.Free, "slots": l.Inputs.Slots, "reason": i.reason, "outcome": outcome,
	}).Info("item ended")
}
