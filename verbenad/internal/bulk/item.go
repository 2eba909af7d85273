package bulk

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"verbenaledge.example/verbena/clock"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/completion"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/origin"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

const (
	// silenceTimeout ends a send whose server sends no event; normally several come each second.
	silenceTimeout = 3 * time.Second
	// itemRetryPause is the pause before a failed item is sent again.
	itemRetryPause = 100 * time.Millisecond
	// minAgreeing is how many servers have to agree with the end that another one claimed by the end of its connection. One answer
	// whose framing shows its end suffices.
	minAgreeing = 2
	// maxEmptyAnswers is after how many answers in a row that end with their connections before a further event no other
	// server is asked, if there are too few.
	maxEmptyAnswers = 3
	// eventSeparatorBytes is the encoded size of the line feed between the data of two events.
	eventSeparatorBytes = 2
)

var (
	itemsDone        = metrics.NewCounter("verbenad_items_done_total")
	itemsYielded     = metrics.NewCounter("verbenad_items_yielded_total")
	itemsFailed      = metrics.NewCounter("verbenad_item_runs_failed_total")
	itemsUnconfirmed = metrics.NewCounter("verbenad_items_unconfirmed_ends_total")
	itemSeconds      = metrics.NewHistogram("verbenad_item_seconds")
)

// itemRun runs an item until it has a result. The output received so far is kept from one server to the next of the same
// software version.
type itemRun struct {
	owner  *Owner
	record *bulk.Record
	item   bulk.Item
	route  string

	output []byte
	// outputBytes is the size of the output once it is encoded, as it counts towards a segment.
	outputBytes int
	// stream tells whether the output is complete.
	stream completion.Stream
	// emptyAnswers is the number of answers in a row that ended with their connections before a further event.
	emptyAnswers int
	// agreeing are the servers that agreed with the end that another one had claimed after the last event.
	agreeing []ids.BackendID

	events      int
	lastEventID string
	// origin is where the output began, and beganAt the server's start that wrote its first event, as far as it is known.
	// originUncertain is set if that server may have run as another version. They are meaningless without events.
	origin          origin.Origin
	beganAt         serverStart
	originUncertain bool
	// begunAt is when the output was begun.
	begunAt time.Time

	lost lostServer
	// failures counts the answers of 500, those of earlier runs included; reportedFailures is what a former owner reported meanwhile.
	failures int
	// endingFailures is how many failures end the item, as of the last one.
	endingFailures   int
	reportedFailures atomic.Int64
	// sends counts the sends by this owner.
	sends  int
	yields int
	cancel context.CancelFunc
	// tooLarge is set once a placer says that no server of the service can hold the item.
	tooLarge bool
	// wait is used by the owner's goroutine only. It is nil while the item doesn't wait for a slot.
	wait *slotWait
	// displaced is used by the owner's goroutine only. It is set once the item makes room for others.
	displaced bool
	// partial is a former owner's partial answer; the next send resumes from it.
	partial atomic.Pointer[bulk.PartialAnswer]
	// reason is why the item ends as errored.
	reason     string
	exclude    []ids.BackendID
	rejections rejections
	// framing is that of the last answer.
	framing upstream.Framing
	// brokenBy is what broke off the last send, nil if nothing did; relayed is set if it went over another host, silent if this
	// host ended it because the server sent nothing.
	brokenBy error
	relayed  bool
	silent   atomic.Bool
}

// run sends the item to servers until it has a result. done is false if ctx ended first.
func (i *itemRun) run(ctx context.Context) (result bulk.Result, done bool) {
	start := i.owner.clock.Now()
	if err := upstream.CheckTarget(i.item.Path); err != nil {
		// Stored by a release that accepted it; it must not reach a server.
		i.owner.logErrored(i.record, i.item.ID, reasonUnsafePath, log.Fields{"path_error": err.Error()})
		return bulk.Result{Item: i.item.ID, State: bulk.Errored}, true
	}
	for ctx.Err() == nil {
		target, slot, ok := i.acquire(ctx)
		if !ok && ctx.Err() != nil {
			return result, false
		}
		if !ok {
			i.owner.logErrored(i.record, i.item.ID, reasonRouteGone, i.progressFields())
			return bulk.Result{Item: i.item.ID, State: bulk.Errored}, true
		}
		if i.tooLarge {
			i.owner.logErrored(i.record, i.item.ID, reasonTooLarge, i.progressFields())
			return bulk.Result{Item: i.item.ID, State: bulk.Errored}, true
		}
		if slot == nil {
			clock.Sleep(ctx, itemRetryPause)
			continue
		}
		sent := i.send(ctx, target.route, slot)
		switch sent {
		case itemComplete:
			itemsDone.Inc()
			itemSeconds.Update(i.owner.clock.Now().Sub(start).Seconds())
			i.owner.estimator.observe(i.item.Tokens, i.events)
			i.reason = ""
			i.logEnd("completed", slot)
			return bulk.Result{Item: i.item.ID, State: bulk.Completed, Output: bulk.ListedOutput(i.output)}, true
		case itemErrored:
			itemsErrored(i.reason).Inc()
			i.logEnd("errored", slot)
			return bulk.Result{Item: i.item.ID, State: bulk.Errored}, true
		case itemYielded:
			itemsYielded.Inc()
			i.yields++
		case itemUnconfirmed:
			itemsUnconfirmed.Inc()
		case itemRetry:
			itemsFailed.Inc()
			clock.Sleep(ctx, i.rejections.pause())
		}
	}
	return result, false
}

// sendResult is the effect of a send on its item.
type sendResult int

const (
	itemRetry sendResult = iota
	itemYielded
	// itemUnconfirmed means that another server must confirm the end of the output.
	itemUnconfirmed
	itemComplete
	itemErrored
)

func (i *itemRun) slotRequest(service ids.ServiceName) dispatch.SlotRequest {
	elapsed := i.owner.elapsed.Now()
	_, header := i.owner.protocol.ItemRequest(i.item)
	info := i.owner.protocol.ParseRequest(header)
	return dispatch.SlotRequest{
		Service: service, Workspace: i.record.Job.Workspace, Class: dispatch.Batch, Objective: i.record.DueAt.Sub(elapsed),
		Remaining: i.record.GiveUpAt.Sub(elapsed), StreamEvents: i.owner.estimator.remaining(i.item.Tokens, i.events),
		Exclude: slices.Concat(i.exclude, i.rejections.servers),
		Parts:   info.SharedParts, PartTokens: info.SharedPartTokens, PromptTokens: info.PromptTokens, OutputTokens: info.OutputTokens,
		Resumption: i.resumption(),
	}
}

// send runs the item on one server, resuming after the last complete event.
func (i *itemRun) send(runCtx context.Context, route *catalog.Route, slot *slots.Slot) (result sendResult) {
	ctx, cancel := context.WithCancel(runCtx)
	defer cancel()
	i.prepare(slot)
	var o dispatch.Outcome
	i.brokenBy, i.relayed = nil, false
	defer func() { i.release(slot, o) }()
	go func() {
		select {
		case <-slot.Yielded:
			cancel()
		case <-ctx.Done():
		}
	}()
	i.silent.Store(false)
	silence := time.AfterFunc(silenceTimeout, func() {
		i.silent.Store(true)
		cancel()
	})
	defer silence.Stop()
	stall := i.owner.slots.WatchForStall(slot)
	defer stall.Stop()
	id, header := i.owner.protocol.ItemRequest(i.item)
	i.logPlaced(slot)
	i.sends++
	answer, err := i.owner.client.Send(ctx, i.owner.protocol, upstream.Request{
		ID: id, Method: http.MethodPost, Target: i.item.Path, Host: i.record.Job.Host, Body: i.item.Body, Server: slot.Server,
		OnLimit: func(s limit.Statement, late bool) { i.owner.slots.ReportLimit(slot, s, late) },
		Header:  i.owner.protocol.Forward(header, exchange.ForwardInfo{Server: slot.Server.ID, Workspace: i.record.Job.Workspace, LastEventID: i.lastEventID}),
	})
	if err != nil {
		o.Result = i.classifyError(runCtx, slot, err)
		if o.Result == dispatch.Cancelled {
			return itemYielded
		}
		return itemRetry
	}
	defer answer.Close()
	i.relayed = answer.Relayed
	stall.Progress()
	o.TimeToFirstByte, i.framing = answer.TimeToHeaders, answer.Framing()
	if answer.Status != http.StatusOK || !answer.Info.Signed || !answer.MayBeStream() {
		o.Result, result = i.classifyRefusal(runCtx, slot, route, answer)
		i.logTurnedAway(slot, answer)
		return result
	}
	i.rejections = rejections{}
	defer slots.ReadPace(i.owner.clock, answer.Info.Load, &o)()
	progress := func() {
		stall.Progress()
		silence.Reset(silenceTimeout)
	}
	return i.readEvents(runCtx, slot, answer, &o, progress)
}

// readEvents reads the answer's events until it ends or breaks off.
func (i *itemRun) readEvents(runCtx context.Context, slot *slots.Slot, a *upstream.Response, o *dispatch.Outcome, progress func()) sendResult {
	reader := upstream.NewEventReader(a)
	i.stream.BeginResponse(slot.Server.ID)
	start := i.owner.clock.Now()
	for {
		events, end := reader.Next()
		switch end := end.(type) {
		case nil:
		case completion.Whole, completion.Claimed:
			o.Elapsed = i.owner.clock.Now().Sub(start)
			return i.answerEnded(runCtx, slot, end, o)
		case completion.BrokenOff:
			if reader.HoldsPartialEvent() {
				i.stream.Refute()
			}
			return i.answerBroken(runCtx, slot, end.Err, o)
		}
		if upstream.HasEvent(events) {
			progress() // comments don't count: a server can send them without working on the item
		}
		if found := upstream.ParseEvents(events); !a.HasEmbeddedResponse(events) && i.appendEvents(found) {
			o.StreamEvents += len(found)
			if len(found) > 0 {
				i.stream.Receive()
				i.emptyAnswers, i.agreeing = 0, nil
			}
			continue
		}
		o.Result = dispatch.Broken
		i.exclude = []ids.BackendID{slot.Server.ID}
		log.WithFields(log.Fields{"item": i.item.ID, "server": slot.Server.ID, "last": i.lastEventID, "bytes": len(i.output)}).
			Warn("events out of order, output too long or another response within it")
		i.dropOutput()
		return itemRetry
	}
}

// answerEnded returns the effect of an answer that its server has ended. If only the end of its connection shows that,
// other servers are asked for the rest, as the answer may have been broken off.
func (i *itemRun) answerEnded(runCtx context.Context, slot *slots.Slot, end completion.End, o *dispatch.Outcome) sendResult {
	result, agreed := itemUnconfirmed, false
	switch i.stream.End(end, i.lastEventID != "") {
	case completion.Complete:
		o.Result = dispatch.Served
		return itemComplete
	case completion.Broken:
		result = i.answerBroken(runCtx, slot, io.ErrUnexpectedEOF, o)
	case completion.Agreed:
		agreed = true
		i.agreeing = appendMissing(i.agreeing, slot.Server.ID)
		fallthrough
	case completion.Unconfirmed:
		o.Result = dispatch.Served
		if o.StreamEvents > 0 {
			i.exclude = nil
		}
		i.exclude = appendMissing(i.exclude, slot.Server.ID)
	}
	if o.StreamEvents == 0 && i.events > 0 {
		return i.emptyAnswerEnded(slot, result, agreed)
	}
	return result
}

func appendMissing(list []ids.BackendID, id ids.BackendID) []ids.BackendID {
	if slices.Contains(list, id) {
		return list
	}
	return append(slices.Clip(list), id)
}

// emptyAnswerEnded counts an answer that brought no further event. Once minAgreeing servers agree with the one that claimed the end,
// the item is complete. Once there are maxEmptyAnswers in a row, it is complete if it may end where it is, and begins again otherwise.
func (i *itemRun) emptyAnswerEnded(slot *slots.Slot, result sendResult, agreed bool) sendResult {
	i.emptyAnswers++
	switch {
	case len(i.agreeing) >= minAgreeing:
		return itemComplete
	case i.emptyAnswers < maxEmptyAnswers:
		return result
	case agreed || i.stream.MayEnd():
		return itemComplete // no other server can be asked
	}
	i.beginAgain("end_unknown", slot.Server)
	return result
}

// answerBroken returns the effect of an answer that was broken off.
func (i *itemRun) answerBroken(runCtx context.Context, slot *slots.Slot, err error, o *dispatch.Outcome) sendResult {
	if o.Result = i.classifyError(runCtx, slot, err); o.Result == dispatch.Cancelled {
		return itemYielded
	}
	return itemRetry
}

// appendEvents appends events to the output. It returns false if one doesn't follow the last one or if the
// output exceeds what a segment can hold.
func (i *itemRun) appendEvents(events []upstream.Event) bool {
	for _, e := range events {
		if !i.appendEvent(e) || i.outputBytes > i.owner.maxSegmentBytes() {
			return false
		}
	}
	return true
}

// appendEvent appends an event's data, unless its numeric id isn't the successor of the last one.
func (i *itemRun) appendEvent(e upstream.Event) bool {
	if last, err := strconv.ParseInt(i.lastEventID, 10, 64); err == nil {
		if next, err := strconv.ParseInt(e.ID, 10, 64); err == nil && next != last+1 {
			return false
		}
	}
	if i.events > 0 {
		i.output = append(i.output, '\n')
	}
	i.output = append(i.output, e.Data...)
	i.outputBytes += eventSeparatorBytes + objects.EncodedSize(e.Data)
	i.events++
	if e.ID != "" {
		i.lastEventID = e.ID
	}
	return true
}
