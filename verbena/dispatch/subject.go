package dispatch

import "time"

// subject is whom the end of a send speaks of. Marks of servers and requests are set and cleared by outcomes that speak of them only;
// docs/design/marks.md lists them.
type subject interface{ subject() }

type (
	// ofServer: the server's state, whatever it was sent.
	ofServer struct{}
	// ofRequest: what the request says of itself.
	ofRequest struct{}
	// ofServerAndRequest: one of both is the cause of a failure, or both are sound.
	ofServerAndRequest struct{}
	// ofPath: the path of one host to the server.
	ofPath struct{}
	// ofNobody: the caller or the placer ended the send.
	ofNobody struct{}
)

func (ofServer) subject()           {}
func (ofRequest) subject()          {}
func (ofServerAndRequest) subject() {}
func (ofPath) subject()             {}
func (ofNobody) subject()           {}

// subject returns whom a send with this result speaks of. Results that this release doesn't know speak of nobody.
func (v Result) subject() subject {
	switch v {
	case Served, Broken, Failed:
		return ofServerAndRequest{}
	case Full, Gone, Unreachable, Silent:
		return ofServer{}
	case Rejected:
		return ofRequest{}
	case NoPath:
		return ofPath{}
	case Cancelled:
	}
	return ofNobody{}
}

// recordOfServer records an outcome that speaks of the run's server.
func (p *pool) recordOfServer(now time.Time, r *run, o Outcome) {
	r.server.recordOutcome(now, r.key.Host, o)
	p.recordSpeed(now, r.server, o)
	r.server.recordRestartEvidence(now, r, o)
}

// recordOfRequest records an outcome that speaks of the run's request.
func (sc *Scheduler) recordOfRequest(now time.Time, r *run, o Outcome) {
	if n := sc.suspects.record(now, r, o.Result); n > 0 {
		sc.commands = append(sc.commands, BrokenSendCounted{Key: r.key, Server: r.server.ID, Fingerprint: r.request.Fingerprint, Count: n})
	}
}
