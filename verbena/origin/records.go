package origin

import (
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

const (
	// Retention is the minimum time for which a record is kept after its stream was last known to run. Callers come back
	// within milliseconds of a broken connection and retry until their deadline.
	Retention = 30 * time.Second
	// RenewInterval is the time after which the record of a stream that still runs is added again.
	RenewInterval = 5 * time.Second
	// recentTime covers the streams that run, and those that callers may still take up after a loss.
	recentTime = 2 * RenewInterval
	// maxRecords bounds each of the two generations of records.
	maxRecords = 150_000
	// entryLag is how long a server that has started again may serve before its new entry is known.
	entryLag = 2 * time.Second
	// returnTime is how long after an outage of the store the entries of servers that started in it may take to come.
	returnTime = 2 * entryLag
)

// Records holds where streams began. Records are kept in two generations, the older of which is dropped as a whole.
type Records struct {
	current, previous *generation
	rotatedAt         time.Time
	limit             int
	// epoch is the time from which the stored times count, that of the first event.
	epoch time.Time
	// listed holds the servers last listed, and those that were removed within the retention time.
	listed map[ids.BackendID]listedStart
	// listOutdated is set while the list doesn't show the present servers.
	listOutdated bool
}

// listedStart is the start of a server that the list shows, or showed last.
type listedStart struct {
	incarnation directory.Incarnation
	version     directory.SoftwareVersion
	// removedAt is when the server was removed from the list, zero while it is listed.
	removedAt time.Time
}

// NewRecords returns an empty set.
func NewRecords() *Records {
	return &Records{current: newGeneration(), previous: newGeneration(), limit: maxRecords}
}

// ObserveList sets whether the list of servers is outdated. It is called before Add.
func (rs *Records) ObserveList(outdated bool) { rs.listOutdated = outdated }

// Add adds a record or replaces an older one of the same stream. It ignores one of a server's former start that was another
// software version.
func (rs *Records) Add(now time.Time, r Record) {
	rs.rotate(now)
	s, listed := rs.listed[r.Server]
	if listed && s.incarnation > r.Incarnation && s.version != r.Origin.Version {
		return // placed by an outdated entry: either start may have brought the first event
	}
	at := now.Add(-r.Age).Sub(rs.epoch)
	old, known := rs.find(r.Stream)
	switch {
	case known && old.at > at:
		return
	case known:
		rs.goOn(&r, old, at)
	case listed && !s.removedAt.IsZero() && !r.Settled && now.Add(-r.Age).After(s.removedAt.Add(-returnTime)):
		r.Unconfirmed = true // placed by an outdated entry, of a server that may have started again before it left
	}
	rs.current.add(at, r)
}

// goOn changes a further record of a stream to what the earlier one says of its beginning: a stream goes on as it began.
func (rs *Records) goOn(r *Record, old entry, at time.Duration) {
	switch {
	case old.unconfirmed:
		r.Unconfirmed, r.Server, r.Incarnation = true, old.server.id, old.server.incarnation
	case *old.origin == r.Origin:
		r.Unconfirmed = false
		r.Settled = r.Settled || old.settled || rs.settles(old, at)
		if !r.Settled {
			r.Server, r.Incarnation = old.server.id, old.server.incarnation
		}
	}
}

// settles reports whether a current list shows the start of the server that began a stream, and would show a later one that
// served at the time of the record.
func (rs *Records) settles(old entry, at time.Duration) bool {
	s, ok := rs.listed[old.server.id]
	return ok && !rs.listOutdated && s.removedAt.IsZero() && s.incarnation == old.server.incarnation && at-old.at >= returnTime
}

// Lookup returns where a stream began, and how long ago it was last known to run. An unconfirmed record holds only if the
// list of servers, which has been current for some time, shows the same start of its server; otherwise o is where the stream
// probably began.
func (rs *Records) Lookup(now time.Time, id StreamID, currentFor time.Duration) (o Origin, age time.Duration, ok bool) {
	rs.rotate(now)
	e, ok := rs.find(id)
	if !ok {
		return o, 0, false
	}
	if e.unconfirmed && !rs.confirms(e, currentFor) {
		return *e.origin, 0, false
	}
	return *e.origin, rs.since(now, e), true
}

// confirms reports whether the list shows the start of the server to which a stream was sent, and would show a later one.
func (rs *Records) confirms(e entry, currentFor time.Duration) bool {
	s, ok := rs.listed[e.server.id]
	return ok && s.removedAt.IsZero() && currentFor >= returnTime && s.incarnation == e.server.incarnation && s.version == e.origin.Version
}

// Recent returns the records of the streams that run or ended a short time ago.
func (rs *Records) Recent(now time.Time) (list []Record) {
	rs.rotate(now)
	for _, g := range []*generation{rs.current, rs.previous} {
		for id, e := range g.records {
			age := rs.since(now, e)
			if newest, _ := rs.find(id); newest.at != e.at || age > recentTime {
				continue
			}
			list = append(list, Record{
				Stream: id, Origin: *e.origin, Server: e.server.id, Incarnation: e.server.incarnation, Age: age, Unconfirmed: e.unconfirmed,
				Settled: e.settled,
			})
		}
	}
	return list
}

// Len returns the number of records, those counted twice that were renewed.
func (rs *Records) Len() int { return len(rs.current.records) + len(rs.previous.records) }

func (rs *Records) find(id StreamID) (e entry, ok bool) {
	if e, ok = rs.current.records[id]; ok {
		return e, true
	}
	e, ok = rs.previous.records[id]
	return e, ok
}

// since returns the time since a stream was last known to run.
func (rs *Records) since(now time.Time, e entry) time.Duration { return now.Sub(rs.epoch) - e.at }

// rotate starts a new generation once the current one is full or as old as records are kept.
func (rs *Records) rotate(now time.Time) {
	if rs.epoch.IsZero() {
		rs.epoch, rs.rotatedAt = now, now
	}
	age := now.Sub(rs.rotatedAt)
	if age < Retention && len(rs.current.records) < rs.limit {
		return
	}
	rs.previous, rs.rotatedAt = rs.current, now
	if age >= 2*Retention {
		rs.previous = newGeneration()
	}
	rs.current = newGeneration()
}
