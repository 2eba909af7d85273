package dispatch

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaledge.example/verbena/crash"
)

// publishInterval is the minimum time between two snapshots of the crash reports, and the minimum age of those that
// are sent.
const publishInterval = 200 * time.Millisecond

// receiveReports takes over the crash reports of another host.
func (sc *Scheduler) receiveReports(now time.Time, e CrashReportsReceived) {
	if e.Replace {
		sc.crashes.Replace(now, e.Reports)
		sc.publishedRevision = sc.crashes.Revision() // the sender knows them
		return
	}
	sc.crashes.Merge(now, e.Reports)
}

// publishReports sends the crash reports in force to other hosts when they have changed.
func (sc *Scheduler) publishReports(now time.Time) {
	if !sc.reportsUnpublished() || now.Sub(sc.publishedAt) < publishInterval {
		return
	}
	sc.publishedAt = now
	list, complete := sc.crashes.Snapshot(now, publishInterval)
	if complete {
		sc.publishedRevision = sc.crashes.Revision()
	}
	if sum := checksum(list); sum != sc.publishedSum {
		sc.publishedSum = sum
		sc.commands = append(sc.commands, CrashReportsChanged{Reports: list})
	}
}

// reportsUnpublished reports whether the crash reports have changed since they were last sent.
func (sc *Scheduler) reportsUnpublished() bool {
	return sc.publishedRevision != sc.crashes.Revision()
}

// checksum returns a hash of what other hosts need of the reports; 0 for none.
func checksum(list []crash.Report) uint64 {
	if len(list) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, r := range list {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(r.ID))) // a hash never fails
		_, _ = d.WriteString(string(r.Host) + "@")
		for _, c := range r.Candidates {
			_, _ = d.WriteString(string(c) + ",")
		}
		for _, v := range r.SoundOn {
			_, _ = d.WriteString(string(v) + ";")
		}
		if r.OtherCause {
			_, _ = d.WriteString("+")
		}
	}
	return d.Sum64()
}
