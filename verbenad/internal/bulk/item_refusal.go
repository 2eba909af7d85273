package bulk

import (
	"context"
	"errors"
	"net/http"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/completion"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

const (
	// maxRefusalBytes bounds how much is read of an answer that isn't an event stream.
	maxRefusalBytes = 1 << 20
	// refusalPartBytes is how much of such an answer is read at once.
	refusalPartBytes = 4 << 10
	// statusCannotBeDone is a server's status for an item that can never succeed.
	statusCannotBeDone = http.StatusUnprocessableEntity
)

// classifyRefusal returns the dispatch result of an answer that isn't an event stream, and its effect on the item.
func (i *itemRun) classifyRefusal(
	runCtx context.Context, slot *slots.Slot, route *catalog.Route, a *upstream.Response,
) (dispatch.Result, sendResult) {
	if a.Info.NotExecuted {
		_, header := i.owner.protocol.ItemRequest(i.item)
		result := slots.RefusalResult(a.Status, i.owner.protocol.ParseRequest(header))
		if result == dispatch.Rejected {
			i.rejections.add(slot.Server.ID)
		}
		return result, itemRetry
	}
	if !a.Info.Signed {
		return dispatch.Broken, itemRetry
	}
	i.rejections = rejections{}
	if err := readToEnd(a, maxRefusalBytes); err != nil {
		result := i.classifyError(runCtx, slot, err)
		if result == dispatch.Cancelled {
			return result, itemYielded
		}
		return result, itemRetry
	}
	if a.Status == statusCannotBeDone {
		i.reason = reasonCannotBeDone
		return dispatch.Served, itemErrored
	}
	if a.Status == http.StatusInternalServerError {
		i.failures = i.knownFailures().Count + 1
		i.reason = reasonFailedTooOften
		i.endingFailures = i.record.Job.EndingFailures(route.MaxAttempts, catalog.Version(i.owner.configuration.Load()))
		if i.failures >= i.endingFailures {
			return dispatch.Failed, itemErrored
		}
	}
	return dispatch.Failed, itemRetry
}

var errRefusalTooLong = errors.New("answer that isn't a stream exceeds the limit")

// readToEnd reads a body that ends within a number of bytes. It returns an error if it is broken off or longer.
func readToEnd(b completion.Body, limit int) error {
	part := make([]byte, min(limit, refusalPartBytes))
	for read := 0; read < limit; {
		n, end := b.ReadBody(part)
		read += n
		switch end := end.(type) {
		case nil:
		case completion.Whole, completion.Claimed:
			if read >= limit {
				return errRefusalTooLong
			}
			return nil
		case completion.BrokenOff:
			return end.Err
		}
	}
	return errRefusalTooLong
}
