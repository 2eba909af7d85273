package dispatch

import (
	"slices"
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/origin"
)

// Resumption is part of the slot request of a stream of which the caller, or the batch item, has events already. Only
// servers of the software version that began it may resume it.
type Resumption struct {
	// Stream is the zero value if the caller doesn't name one.
	Stream origin.StreamID `cbor:"1,keyasint"`
	// Origin is where the stream began, valid if Known.
	Known  bool          `cbor:"2,keyasint,omitempty"`
	Origin origin.Origin `cbor:"3,keyasint,omitempty"`
	// Services are those to which the route leads now.
	Services []ids.ServiceName `cbor:"4,keyasint,omitempty"`
}

// Evidence is how the origin of a stream is known.
type Evidence int

// The kinds of evidence.
const (
	// NoEvidence: it isn't known.
	NoEvidence Evidence = iota
	// SeenByHost: the host that asks has passed on the stream's events.
	SeenByHost
	// Recorded: another host reported it.
	Recorded
	// SoleVersion: the service's servers have had only one version for as long as callers come back.
	SoleVersion
)

// String returns the evidence's name in logs.
func (e Evidence) String() string {
	switch e {
	case NoEvidence:
		return "none"
	case SeenByHost:
		return "host"
	case Recorded:
		return "record"
	case SoleVersion:
		return "only_version"
	}
	return "unknown"
}

// ResumptionInputs are the inputs of a decision on a resumed stream, for logs.
type ResumptionInputs struct {
	Evidence Evidence `cbor:"1,keyasint,omitempty"`
	// Origin is where the stream began, without evidence where it probably did.
	Origin origin.Origin `cbor:"2,keyasint,omitempty"`
	// Age is the time since the stream was last known to run, if it was recorded.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Versions are those of the service's servers that are neither delisted nor draining.
	Versions []directory.SoftwareVersion `cbor:"4,keyasint,omitempty"`
	// MayHaveRestarted is set for a batch item if the granted server may run as another version than its entry says.
	MayHaveRestarted bool `cbor:"5,keyasint,omitempty"`
}

const (
	// reportWait is how long after a host has connected its reports on streams may be missing. unknownRetryAfter is the
	// Retry-After meanwhile, and of hosts that decide locally; later, no other attempt would find more.
	reportWait        = time.Second
	unknownRetryAfter = 300 * time.Millisecond
	// versionReturnTime is how long after its last server was listed a version may come back: crashed servers start again.
	versionReturnTime = 5 * time.Second
	// maxLoggedVersions bounds the versions that are reported for logs.
	maxLoggedVersions = 8
	// restartTime is how long a server that couldn't be reached may have started again as another version under the
	// entry of its former start: three heartbeats.
	restartTime = 4 * time.Second
	// otherVersionAfter is how long a batch item waits for a server of the version that began its output, before it
	// begins again at another one.
	otherVersionAfter = time.Second
)

// StreamsBegan carries where streams began, as reported by the hosts that pass them on.
type StreamsBegan struct{ Records []origin.Record }

// VersionsSeen carries the software versions that another host has seen.
type VersionsSeen struct{ History origin.History }

// OriginsRequested asks for all that a standby needs to resume streams.
type OriginsRequested struct{ Host ids.HostID }

func (StreamsBegan) event()     {}
func (VersionsSeen) event()     {}
func (OriginsRequested) event() {}

// StreamsRecorded reports records that hosts have sent, for the standby.
type StreamsRecorded struct{ Records []origin.Record }

// OriginsCollected answers OriginsRequested.
type OriginsCollected struct {
	Host    ids.HostID
	Records []origin.Record
	History origin.History
}

func (StreamsRecorded) command()  {}
func (OriginsCollected) command() {}

// mayRunOn reports whether the request may be sent to a server.
func (r SlotRequest) mayRunOn(now time.Time, s *server) bool {
	if excluded(r.Exclude, s.ID) {
		return false
	}
	if r.Resumption == nil {
		return true
	}
	if r.ListOutdated && s.lastFailure.After(r.ListConfirmedAt) {
		return false // it may have started again as another version, which an outdated list doesn't show
	}
	return r.Resumption.Origin == s.origin() && !s.mayHaveRestarted(now)
}

// anyVersionIfBatch returns the request without its condition on the version if it may begin again at another one.
func (r SlotRequest) anyVersionIfBatch() SlotRequest {
	if r.Class == Batch {
		r.Resumption = nil
	}
	return r
}

func (s *server) origin() origin.Origin {
	return origin.Origin{Service: s.Service, Version: s.SoftwareVersion}
}

// mayHaveRestarted reports whether the server may run as another version than its entry says.
func (s *server) mayHaveRestarted(now time.Time) bool { return now.Before(s.versionUncertainUntil) }

// stepOrigins applies an event on the origins of streams.
func (sc *Scheduler) stepOrigins(now time.Time, e Event) {
	switch e := e.(type) {
	case StreamsBegan:
		sc.recordStreams(now, e.Records)
	case VersionsSeen:
		sc.versions.Continue(now, e.History)
	case OriginsRequested:
		sc.commands = append(sc.commands, OriginsCollected{Host: e.Host, Records: sc.origins.Recent(now), History: sc.versions.History(now)})
	}
}

// recordStreams records where streams began.
func (sc *Scheduler) recordStreams(now time.Time, list []origin.Record) {
	for i, r := range list {
		list[i].Unconfirmed = r.Unconfirmed || sc.versionsUncertain(now, r.Origin.Service)
		sc.origins.Add(now, list[i])
	}
	if len(list) > 0 {
		sc.commands = append(sc.commands, StreamsRecorded{Records: list})
	}
}

// resolveOrigin finds out where a resumed stream began, and moves the request to that service. It refuses a stream that
// can't be resumed.
func (sc *Scheduler) resolveOrigin(now time.Time, w *waiter) (resolved bool) {
	r := *w.request.Resumption
	w.request.ListOutdated, w.request.ListConfirmedAt = sc.list.outdated, sc.list.confirmedAt
	in := sc.findOrigin(now, r)
	r.Origin, r.Known = in.Origin, in.Evidence != NoEvidence
	w.request.Resumption, w.resumption = &r, in
	switch {
	case !r.Known:
		w.pool.addVersions(in)
		sc.refuseUnknown(now, w)
		return false
	case len(r.Services) > 0 && !slices.Contains(r.Services, r.Origin.Service):
		sc.refuseResumption(now, w, OtherService, 0)
		return false
	}
	w.request.Service, w.pool = r.Origin.Service, sc.pool(r.Origin.Service)
	w.pool.addVersions(in)
	if sc.needsNewerList(now, r.Origin.Service) {
		w.list = &sc.list
	}
	switch {
	case w.request.Class != Online:
	case w.pool.presentServersFor(w.request) == 0:
		sc.refuseResumption(now, w, NoServerOfVersion, sc.versionRetryAfter(now, w))
		return false
	case sc.versionsUncertain(now, r.Origin.Service):
		sc.refuseResumption(now, w, VersionsUncertain, clampRetryAfter(unknownRetryAfter, w.request.Remaining))
		return false
	}
	return true
}

// refuseUnknown refuses a stream of which it isn't certain where it began. If no server is left of the version that probably
// began it, it can't be resumed in any case.
func (sc *Scheduler) refuseUnknown(now time.Time, w *waiter) {
	o := w.request.Resumption.Origin
	if o != (origin.Origin{}) && sc.pool(o.Service).presentServersFor(w.request) == 0 {
		w.request.Service, w.pool = o.Service, sc.pool(o.Service)
		sc.refuseResumption(now, w, NoServerOfVersion, sc.versionRetryAfter(now, w))
		return
	}
	retryAfter := time.Duration(0)
	if sc.local() || sc.list.outdated || now.Sub(sc.hostConnectedAt) < reportWait {
		retryAfter = clampRetryAfter(unknownRetryAfter, w.request.Remaining)
	}
	sc.refuseResumption(now, w, UnknownOrigin, retryAfter)
}

// local reports whether this scheduler decides for its own host only, which has no records of other hosts' streams.
func (sc *Scheduler) local() bool { return sc.salt != "" }

// findOrigin looks up where a stream began. A host that decides locally doesn't learn how servers fail at other hosts, and
// trusts an outdated list of servers in nothing.
func (sc *Scheduler) findOrigin(now time.Time, r Resumption) *ResumptionInputs {
	if sc.local() && sc.list.outdated {
		return &ResumptionInputs{}
	}
	if r.Known {
		return &ResumptionInputs{Evidence: SeenByHost, Origin: r.Origin}
	}
	var probable origin.Origin
	if r.Stream != (origin.StreamID{}) {
		o, age, ok := sc.origins.Lookup(now, r.Stream, sc.list.currentFor)
		if ok {
			return &ResumptionInputs{Evidence: Recorded, Origin: o, Age: age}
		}
		probable = o
	}
	if !sc.list.outdated && len(r.Services) == 1 {
		if version, ok := sc.versions.Sole(now, r.Services[0]); ok {
			return &ResumptionInputs{Evidence: SoleVersion, Origin: origin.Origin{Service: r.Services[0], Version: version}}
		}
	}
	return &ResumptionInputs{Origin: probable}
}

func (sc *Scheduler) refuseResumption(now time.Time, w *waiter, reason Reason, retryAfter time.Duration) {
	sc.commands = append(sc.commands, Refuse{
		Key: w.key, Reason: reason, RetryAfter: retryAfter, Inputs: w.pool.inputs(w.pool.selectServer(now, w.key.Host, w.request)), Resumption: w.resumption,
	})
}

// addVersions adds the versions of the service's servers to the inputs of a decision.
func (p *pool) addVersions(in *ResumptionInputs) {
	seen := make(map[directory.SoftwareVersion]bool)
	for _, s := range p.servers {
		if s.present() && !seen[s.SoftwareVersion] && len(in.Versions) < maxLoggedVersions {
			seen[s.SoftwareVersion] = true
			in.Versions = append(in.Versions, s.SoftwareVersion)
		}
	}
}

// presentServersFor counts the servers that are neither delisted nor draining and of the version that the request needs.
func (p *pool) presentServersFor(r SlotRequest) (n int) {
	for _, s := range p.servers {
		if s.present() && (r.Resumption == nil || r.Resumption.Origin == s.origin()) {
			n++
		}
	}
	return n
}

// hasVersion reports whether a server of a version is listed, draining or not.
func (p *pool) hasVersion(v directory.SoftwareVersion) bool {
	for _, s := range p.servers {
		if !s.delisted && s.SoftwareVersion == v {
			return true
		}
	}
	return false
}
