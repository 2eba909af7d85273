package slots

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
)

var (
	limitsNamed      = metrics.NewCounter(`verbenad_server_limits_stated_total{what="named"}`)
	limitsEnded      = metrics.NewCounter(`verbenad_server_limits_stated_total{what="ended"}`)
	limitsUnreadable = metrics.NewCounter(`verbenad_server_limits_stated_total{what="unreadable"}`)
)

const (
	// loggedLimitChange is by what factor a limit must have changed since its last log line to be logged again.
	loggedLimitChange = 1.25
	// maxLoggedLimits bounds the servers that are tracked. Beyond that, all are forgotten and logged again.
	maxLoggedLimits = 4096
)

// limitLog logs what answers to this host say of limits that it doesn't know yet, without those that change by little.
type limitLog struct {
	logged map[ids.BackendID]limit.RequestsPerSecond
	// unreadable holds the servers whose last limit couldn't be read.
	unreadable map[ids.BackendID]bool
}

// limitChange is what an answer says of a server's limit.
type limitChange struct {
	server  ids.BackendID
	service ids.ServiceName
	// stated is what the answer says, before and now what is in force.
	stated, before, now limit.Statement
}

func newLimitLog() *limitLog {
	return &limitLog{logged: make(map[ids.BackendID]limit.RequestsPerSecond), unreadable: make(map[ids.BackendID]bool)}
}

// record counts what an answer says, and logs it if it differs from what this host knew.
func (l *limitLog) record(c limitChange) {
	if len(l.logged)+len(l.unreadable) > maxLoggedLimits {
		clear(l.logged)
		clear(l.unreadable)
	}
	fields := log.Fields{"server": c.server, "service": c.service}
	if c.before.Kind == limit.Named {
		fields["before"] = c.before.PerSecond
	}
	switch {
	case c.stated.Kind == limit.Unreadable:
		limitsUnreadable.Inc()
		if !l.unreadable[c.server] {
			l.unreadable[c.server] = true
			log.WithFields(fields).Warn("server's limit can't be read")
		}
		return
	case c.now.Kind == limit.Named:
		if c.stated.Kind == limit.Named {
			limitsNamed.Inc()
		}
		last, ok := l.logged[c.server]
		if !ok && c.before.Kind == limit.Named {
			last, ok = c.before.PerSecond, true // known from the dispatcher
		}
		if !ok || differs(last, c.now.PerSecond) {
			l.logged[c.server] = c.now.PerSecond
			fields["per_second"] = c.now.PerSecond
			log.WithFields(fields).Info("server names a limit")
		}
	case c.before.Kind == limit.Named:
		limitsEnded.Inc()
		delete(l.logged, c.server)
		log.WithFields(fields).Info("server names no limit any more")
	}
	delete(l.unreadable, c.server)
}

// differs reports whether two limits differ by more than loggedLimitChange.
func differs(a, b limit.RequestsPerSecond) bool {
	return a != b && (a >= b*loggedLimitChange || b >= a*loggedLimitChange)
}
