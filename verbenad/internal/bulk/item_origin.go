package bulk

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/completion"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/origin"
	"verbenaledge.example/verbenad/internal/slots"
)

var itemsRestarted = metrics.NewCounter("verbenad_items_restarted_total")

// restartTime is how long a server whose connection broke may serve as another version under its former entry: three
// heartbeats.
const restartTime = 4 * time.Second

// serverStart is one start of a server.
type serverStart struct {
	id          ids.BackendID
	incarnation directory.Incarnation
}

func startOf(s directory.Server) serverStart { return serverStart{s.ID, s.Incarnation} }

func originOf(s directory.Server) origin.Origin {
	return origin.Origin{Service: s.Service, Version: s.SoftwareVersion}
}

// lostServer is the server at which the item's last run broke off.
type lostServer struct {
	start serverStart
	at    time.Time
}

// resumption returns what the item's slot request says of the output from which the next send resumes, nil without any.
func (i *itemRun) resumption() *dispatch.Resumption {
	if partial := i.partial.Load(); partial != nil && partial.Events > i.events {
		return &dispatch.Resumption{Known: true, Origin: *partial.Origin}
	}
	if i.events > 0 {
		return &dispatch.Resumption{Known: true, Origin: i.origin}
	}
	return nil
}

// followRoute drops output of another service than the one to which the route leads now.
func (i *itemRun) followRoute(service ids.ServiceName) {
	if partial := i.partial.Load(); partial != nil && partial.Origin.Service != service {
		i.partial.CompareAndSwap(partial, nil)
	}
	if i.events > 0 && i.origin.Service != service {
		i.beginAgain("other_service", directory.Server{Service: service})
	}
}

// prepare drops the output if the granted server may not resume it.
func (i *itemRun) prepare(slot *slots.Slot) {
	i.resumeFromPartial(originOf(slot.Server))
	if i.events > 0 {
		if reason := i.whyNotAt(slot); reason != "" {
			i.beginAgain(reason, slot.Server)
		}
	}
	if i.events == 0 {
		i.origin, i.beganAt, i.originUncertain = originOf(slot.Server), startOf(slot.Server), slot.VersionUncertain
		i.begunAt = i.owner.clock.Now()
	}
}

// resumeFromPartial replaces the output by a former owner's partial answer if that has more events, unless the granted
// server could resume only the output.
func (i *itemRun) resumeFromPartial(granted origin.Origin) {
	partial := i.partial.Swap(nil)
	if partial != nil && partial.Events > i.events && (*partial.Origin == granted || i.origin != granted) {
		i.output, i.outputBytes = partial.Text, objects.EncodedSize(partial.Text)
		i.events, i.lastEventID = partial.Events, partial.LastEventID
		i.origin, i.beganAt, i.originUncertain = *partial.Origin, serverStart{}, false
		i.stream, i.emptyAnswers, i.agreeing = completion.Stream{}, 0, nil
		i.stream.Resume()
	}
}

// whyNotAt returns why the granted server may not resume the output, or "".
func (i *itemRun) whyNotAt(slot *slots.Slot) (reason string) {
	if originOf(slot.Server) != i.origin {
		return "other_version"
	}
	if listed, ok := i.owner.listedServer(slot.Server.ID); ok && originOf(listed) != i.origin {
		return "listed_as_other_version"
	}
	if i.originUncertain {
		return "origin_uncertain"
	}
	if slot.VersionUncertain || slot.Resumption != nil && slot.Resumption.MayHaveRestarted {
		return "may_have_restarted"
	}
	if i.lost.start == startOf(slot.Server) && i.owner.clock.Now().Sub(i.lost.at) < restartTime {
		return "may_have_restarted"
	}
	// A server that has started again as another version serves for a moment under its former entry.
	if began, ok := i.owner.listedServer(i.beganAt.id); ok && startOf(began) != i.beganAt && originOf(began) != i.origin {
		return "origin_uncertain"
	}
	// It may have left before a list has shown the new start.
	if i.owner.hasLeft(i.beganAt) && i.owner.clock.Now().Sub(i.begunAt) < origin.Retention {
		return "origin_uncertain"
	}
	return ""
}

// beginAgain drops the output so that the item begins again at a server.
func (i *itemRun) beginAgain(reason string, s directory.Server) {
	itemsRestarted.Inc()
	log.WithFields(log.Fields{
		"job": i.record.Job.ID, "item": i.item.ID, "server": s.ID, "service": s.Service, "version": s.SoftwareVersion,
		"began_service": i.origin.Service, "began_version": i.origin.Version, "events_dropped": i.events, "reason": reason,
	}).Info("item begins again")
	i.dropOutput()
}

func (i *itemRun) dropOutput() {
	i.output, i.outputBytes, i.events, i.lastEventID = nil, 0, 0, ""
	i.origin, i.beganAt = origin.Origin{}, serverStart{}
	i.stream, i.emptyAnswers, i.agreeing = completion.Stream{}, 0, nil
}
