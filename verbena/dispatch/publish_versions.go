package dispatch

import (
	"time"

	"verbenaledge.example/verbena/origin"
)

// VersionsChanged reports that the set of listed software versions has changed, or that this host has learnt of a version
// that was listed before. It is reported only once the history is complete, so that it can replace an earlier one.
type VersionsChanged struct{ History origin.History }

func (VersionsChanged) command() {}

// publishVersions reports changes of the versions. Hosts that decide locally report none: they may not have the newest list.
func (sc *Scheduler) publishVersions(now time.Time) {
	if sc.salt != "" || sc.versions.Changes() == sc.publishedVersions || !sc.versions.Complete(now) {
		return
	}
	sc.publishedVersions = sc.versions.Changes()
	sc.commands = append(sc.commands, VersionsChanged{History: sc.versions.History(now)})
}
