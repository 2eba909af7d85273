package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// LateStreamsReport tells how the streams ended that were asked for while hosts stopped.
type LateStreamsReport struct {
	Rows [connectionKinds]LateStreamsRow
	// Lost describes the streams that ran and ended without their end, although they could have been refused.
	Lost []string
}

// LateStreamsRow counts the streams of one kind of connection, those that were asked for early and late in the stop.
type LateStreamsRow struct{ Early, Late StreamOutcomes }

// StreamOutcomes counts streams by their ends.
type StreamOutcomes struct {
	// Whole streams are complete; Refused ones were answered with a status that promises that they didn't run.
	Whole, Refused int
	// AcceptedCuts ran and were cut with the grace period, as it is accepted of those that came early. Lost are all others that ran.
	AcceptedCuts, Lost int
	// Unread ended without an answer and didn't run.
	Unread int
	// RefusedRan were refused but ran, Other have another status.
	RefusedRan, Other int
	// ServedByRetry were refused or unread, and whole at the other host.
	ServedByRetry int
}

// add counts a stream. sent and ended are from SIGTERM, whole is the body of a complete one.
func (r *LateStreamsReport) add(kind connectionKind, c Call, sent, ended time.Duration, whole string, ran bool) (mayRetry bool) {
	o := &r.Rows[kind].Early
	if sent > lateAfter {
		o = &r.Rows[kind].Late
	}
	switch {
	case c.Complete && c.Status == http.StatusOK && c.Body == whole:
		o.Whole++
	case c.Complete && c.Status == http.StatusServiceUnavailable && !ran:
		o.Refused++
		return true
	case c.Complete && c.Status == http.StatusServiceUnavailable:
		o.RefusedRan++
	case c.Complete && c.Status != http.StatusOK:
		o.Other++
	case !ran:
		o.Unread++
		return true
	case sent <= lateAfter && ended >= acceptedCutAfter:
		o.AcceptedCuts++
	default:
		o.Lost++
		r.Lost = append(r.Lost, fmt.Sprintf("%s, %s: status %d, %d bytes, sent at %s, ended at %s", c.ID, kind, c.Status, len(c.Body), sent, ended))
	}
	return false
}

// String returns a line for each kind of connection.
func (r LateStreamsReport) String() string {
	var b strings.Builder
	for k, row := range r.Rows {
		_, _ = fmt.Fprintf(&b, "%-24s early %+v\n%-24s late  %+v\n", connectionKind(k), row.Early, "", row.Late)
	}
	return b.String()
}

// total returns the sum over all kinds of connections.
func (r LateStreamsReport) total(count func(o StreamOutcomes) int) (n int) {
	for _, row := range r.Rows {
		n += count(row.Early) + count(row.Late)
	}
	return n
}

// RefusedRan returns how many streams ran though they were refused.
func (r LateStreamsReport) RefusedRan() int {
	return r.total(func(o StreamOutcomes) int { return o.RefusedRan })
}

// EarlyOnUnusedConnections returns how the streams ended that were asked for early, on connections that hadn't been used.
func (r LateStreamsReport) EarlyOnUnusedConnections() (o StreamOutcomes) {
	for _, k := range []connectionKind{openedBefore, openedDuring} {
		early := r.Rows[k].Early
		o.Whole += early.Whole
		o.Refused += early.Refused
		o.Unread += early.Unread
	}
	return o
}
