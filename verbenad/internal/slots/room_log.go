package slots

import (
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
)

// roomEndsAfter is how long a service must have had room for all before its shortage counts as over, so that bursts in a row
// give one pair of log lines.
const roomEndsAfter = 10 * time.Second

// shortage is a time in which several workspaces wanted more slots of a service than were free.
type shortage struct {
	began, last time.Time
}

// roomLog logs when room becomes short in a service, and when it no longer is. Its caller bounds the services.
type roomLog struct {
	shortages map[ids.ServiceName]shortage
}

func (l *roomLog) record(now time.Time, service ids.ServiceName, u dispatch.Usage) {
	s, known := l.shortages[service]
	switch {
	case u.RoomShort && known:
		s.last = now
		l.shortages[service] = s
	case u.RoomShort:
		if l.shortages == nil {
			l.shortages = make(map[ids.ServiceName]shortage)
		}
		l.shortages[service] = shortage{began: now, last: now}
		log.WithFields(log.Fields{
			"service": service, "slots": u.Slots, "queue": u.Waiting, "beyond_share": u.BeyondShare, "workspace": u.MostUsing,
		}).Info("workspaces want more slots than there are")
	case known && now.Sub(s.last) >= roomEndsAfter:
		delete(l.shortages, service)
		log.WithFields(log.Fields{"service": service, "lasted_ms": s.last.Sub(s.began).Milliseconds()}).Info("there are slots for all workspaces again")
	}
}
