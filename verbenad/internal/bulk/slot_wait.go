package bulk

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/slots"
)

var (
	itemsMoved          = metrics.NewCounter("verbenad_items_moved_total")
	itemsWithoutService = metrics.NewCounter("verbenad_items_without_service_total")
)

// slotWait is an item's wait for a slot of a service, or for a service while none is known.
type slotWait struct {
	// service is empty while there is none.
	service ids.ServiceName
	cancel  context.CancelFunc
	// begun is set if the item has a part of its output, or a server failed to complete it.
	begun bool
}

// target returns where the item's route leads in the current configuration.
func (i *itemRun) target(ctx context.Context) (target routeTarget, ok bool) {
	return i.targetOf(ctx, nil)
}

// targetOf returns the item's target. Until the next call, cancelWait is called once the route no longer leads there.
func (i *itemRun) targetOf(ctx context.Context, cancelWait context.CancelFunc) (target routeTarget, ok bool) {
	type answer struct {
		target routeTarget
		ok     bool
	}
	found := make(chan answer, 1)
	begun := i.events > 0 || i.emptyAnswers > 0 || i.failures > 0 || len(i.exclude) > 0
	i.owner.post(func() {
		i.wait = nil
		target, ok := i.owner.targetOf(&i.record.Job)
		if ok && cancelWait != nil {
			i.wait = &slotWait{service: target.service, cancel: cancelWait, begun: begun}
		}
		found <- answer{target, ok}
	})
	select {
	case a := <-found:
		return a.target, a.ok
	case <-ctx.Done():
		return target, false
	}
}

// acquire waits for a slot of the service that the item's route leads to. It returns no slot if the wait ended or the route leads
// elsewhere by then, and ok is false if the route is gone or ctx ended.
func (i *itemRun) acquire(ctx context.Context) (target routeTarget, slot *slots.Slot, ok bool) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	target, ok = i.targetOf(ctx, cancel)
	if !ok {
		return target, nil, false
	}
	if target.service == "" {
		i.awaitService(waitCtx)
		return target, nil, ctx.Err() == nil
	}
	i.followRoute(target.service)
	slot, err := i.owner.slots.Acquire(waitCtx, i.slotRequest(target.service))
	current, ok := i.target(ctx)
	refused, isRefused := slots.AsRefusedError(err)
	i.tooLarge = isRefused && refused.Reason == dispatch.TooLarge && ok && current.service == target.service
	if err == nil && ok && ctx.Err() == nil && current.service == target.service {
		return current, slot, true
	}
	if err == nil {
		i.owner.slots.Release(slot, dispatch.Outcome{Result: dispatch.Cancelled})
	}
	if ok && current.service != target.service {
		itemsMoved.Inc()
		log.WithFields(log.Fields{
			"job": i.record.Job.ID, "item": i.item.ID, "route": i.route, "service": target.service, "new_service": current.service,
		}).Info("route of a waiting item leads to another service")
	}
	return current, nil, ok
}

// awaitService waits until a configuration changes where the item's route leads, or the run ends.
func (i *itemRun) awaitService(waitCtx context.Context) {
	itemsWithoutService.Inc()
	log.WithFields(log.Fields{
		"job": i.record.Job.ID, "item": i.item.ID, "route": i.route, "configuration": i.owner.configuration.Load(),
		"job_configuration": i.record.Job.Configuration,
	}).Info("item waits for a service")
	<-waitCtx.Done()
}
