package dispatch

import "time"

// crashFailures is the number of failures in a row after which a server that can't be reached has probably ended. A single
// failure may be due to the network of one host.
const crashFailures = 2

// recordRestartEvidence records what the end of a send says about whether the server may have started again, as another
// version than its entry says.
func (s *server) recordRestartEvidence(now time.Time, r *run, o Outcome) {
	switch o.Result {
	case Unreachable:
		if s.consecutiveFailures >= crashFailures {
			s.versionUncertainSince, s.versionUncertainUntil = now, now.Add(restartTime)
		}
	case Served:
		if r.start.Before(s.versionUncertainSince) {
			s.versionUncertainUntil = time.Time{} // no restart: the stream began before the suspicion
		}
	case Cancelled, Full, Gone, Failed, Broken, NoPath, Silent, Rejected: // no evidence: healthy servers break answers off, too
	}
}
