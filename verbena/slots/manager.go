// Package slots decides how many batch items run on a backend server beside online work.
package slots

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Policy bounds the batch slots of one backend server.
type Policy struct {
	// Max is the most items that run while no online request does.
	Max int
	// Shared is the most items that run beside online requests.
	Shared int
	// Quiet is how long a server must be without online requests before slots grow.
	QuietPeriod time.Duration
	// Growth is the time in which the slots double.
	DoublingTime time.Duration
	// Fixed, when above 0, is a constant number of slots that ignores online work.
	Fixed int
}

// noticeTTL is how long a host's count of online requests is trusted without news.
const noticeTTL = 3 * time.Second

// Manager is the state of one backend server's slots.
type Manager struct {
	policy  Policy
	online  map[ids.HostID]notice
	busyAt  time.Time
	grownAt time.Time
	slots   int
}

type notice struct {
	seq     uint64
	running int
	at      time.Time
}

// NewManager returns a manager that starts small.
func NewManager(p Policy) *Manager {
	return &Manager{policy: p, online: map[ids.HostID]notice{}, slots: 1}
}

// Notice takes a host's count of its online requests at the server. Notices may
// come out of order; the highest number is the newest.
func (m *Manager) ReportOnline(now time.Time, h ids.HostID, seq uint64, running int) {
	if old, known := m.online[h]; known && seq <= old.seq {
		return
	}
	m.online[h] = notice{seq, running, now}
	if running > 0 {
		m.busyAt = now
	}
}

// Online returns how many online requests are known to run at the server.
func (m *Manager) Online(now time.Time) (n int) {
	for h, o := range m.online {
		if now.Sub(o.at) > noticeTTL {
			delete(m.online, h)
			continue
		}
		n += o.running
	}
	return n
}

// Slots returns how many batch items may run at this moment.
func (m *Manager) Slots(now time.Time) int {
	if m.policy.Fixed > 0 {
		return m.policy.Fixed
	}
	if m.Online(now) > 0 {
		m.busyAt = now
		m.slots = min(m.slots, m.policy.Shared)
		m.grownAt = now
		return m.slots
	}
	if now.Sub(m.busyAt) < m.policy.QuietPeriod {
		return min(m.slots, m.policy.Shared)
	}
	if now.Sub(m.grownAt) >= m.policy.DoublingTime {
		m.slots = min(m.policy.Max, max(1, 2*m.slots))
		m.grownAt = now
	}
	return m.slots
}
