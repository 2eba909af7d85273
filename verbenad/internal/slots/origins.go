package slots

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/origin"
	"verbenaledge.example/verbenad/internal/hostlink"
)

var (
	streamsRecorded = metrics.NewCounter("verbenad_stream_origins_recorded_total")
	otherVersions   = metrics.NewCounter("verbenad_slots_of_other_versions_total")
)

// maxOtherVersions bounds how often a slot at a server of another version is given back for one request. Only placers
// that don't know software versions grant such slots.
const maxOtherVersions = 8

// ReportStreamBegan tells the placers where a stream began, so that any host can resume it there. It is called before the
// caller gets the stream's first event, and at intervals while the stream lasts.
func (c *Client) ReportStreamBegan(r origin.Record) {
	c.mu.Lock()
	defer c.unlockAndEnqueue()
	c.streams.ObserveList(c.listState().Outdated())
	c.streams.Add(c.clock.Now(), r)
	list := []origin.Record{r}
	for _, conn := range []*placerConn{c.dispatcher, c.standby} {
		if conn.registered {
			conn.send(hostlink.Frame{Streams: list})
		}
	}
}

// addOwnOrigin adds where a stream began to a request that resumes it, if this host passed on its first event. The caller
// holds mu.
func (c *Client) addOwnOrigin(request *dispatch.SlotRequest) {
	r := request.Resumption
	if r == nil || r.Known {
		return
	}
	if o, _, ok := c.streams.Lookup(c.clock.Now(), r.Stream, 0); ok {
		known := *r
		known.Known, known.Origin = true, o
		request.Resumption = &known
	}
}

// mayResumeAt reports whether a granted server may resume the request's stream. A placer of a former release doesn't
// resolve where a stream began and may grant any server.
func (p *pendingRequest) mayResumeAt(r reply) bool {
	resumption := p.request.Resumption
	if resumption == nil || p.request.Class == dispatch.Batch {
		return true // a batch item begins again at another version
	}
	granted := origin.Origin{Service: r.server.Service, Version: r.server.SoftwareVersion}
	switch {
	case r.resumption != nil:
		return r.resumption.Origin == granted
	case resumption.Known:
		return resumption.Origin == granted
	}
	return false
}

// returnOtherVersion gives back a slot at a server that may not resume the request's stream. If another server may, the
// request is submitted again.
func (c *Client) returnOtherVersion(p *pendingRequest, t dispatch.Ticket, r reply) {
	otherVersions.Inc()
	log.WithFields(log.Fields{
		"server": r.server.ID, "version": r.server.SoftwareVersion, "placed_by": r.placer.String(), "known": p.request.Resumption.Known,
	}).Warn("slot of another version returned")
	c.reportOutcome(r.placer, dispatch.Outcome{Ticket: t, Result: dispatch.Full}) // the request's rate is given back
	reason := dispatch.NoServerOfVersion
	if !p.request.Resumption.Known {
		reason = dispatch.UnknownOrigin
	}
	if reason == dispatch.UnknownOrigin || len(p.request.Exclude) >= maxOtherVersions || slices.Contains(p.request.Exclude, r.server.ID) {
		p.replies <- reply{refused: &RefusedError{Reason: reason, Inputs: r.inputs, Placer: r.placer, Resumption: r.resumption}}
		return
	}
	p.request.Exclude = append(p.request.Exclude[:len(p.request.Exclude):len(p.request.Exclude)], r.server.ID)
	p.subtractElapsed(c.clock.Now())
	c.submit(p)
}

// AddOrigins adds what another host knows of the origins of streams.
func (d *Dispatcher) AddOrigins(records []origin.Record, history *origin.History) {
	if history != nil {
		d.runner.Enqueue(dispatch.VersionsSeen{History: *history})
	}
	if len(records) > 0 {
		d.runner.Enqueue(dispatch.StreamsBegan{Records: records})
	}
}

// sendToStandby sends records to the standby, or all of them if it is another host than before.
func (d *Dispatcher) sendToStandby(records []origin.Record) {
	streamsRecorded.Add(len(records))
	if d.role() != RoleDispatcher {
		return
	}
	standby := d.standby()
	d.mu.Lock()
	m := d.members[standby]
	if former := d.members[d.lastStandby]; former != nil && d.lastStandby != standby {
		former.hasOrigins = false // it misses records from now on
	}
	d.lastStandby = standby
	informed := m != nil && m.hasOrigins
	if m != nil {
		m.hasOrigins = true
	}
	d.mu.Unlock()
	switch {
	case m == nil:
	case informed:
		_ = m.link.Send(hostlink.Frame{Streams: records}) // the reader of a closed link handles the disconnect
	default:
		go d.runner.Enqueue(dispatch.OriginsRequested{Host: standby}) // this is the scheduler's goroutine, which must not wait for its own queue
	}
}

// sendOrigins sends a standby all that it needs to resume streams.
func (d *Dispatcher) sendOrigins(host ids.HostID, records []origin.Record, history origin.History) {
	log.WithFields(log.Fields{"peer": host, "streams": len(records), "versions": len(history.Versions)}).Info("origins of streams sent")
	d.send(host, hostlink.Frame{Streams: records, Versions: &history})
}
