// Package slots decides how many batch items may run on a backend server beside online requests.
package slots

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Policy bounds the batch slots of one backend server.
type Policy struct {
	// Max is the largest number of items while no online request runs.
	Max int
	// Shared is the largest number of items beside online requests.
	Shared int
	// QuietPeriod is how long a server must be without online requests before its slots grow.
	QuietPeriod time.Duration
	// DoublingTime is the time in which the slots double.
	DoublingTime time.Duration
	// Fixed, if above 0, is the constant number of slots, regardless of online requests.
	Fixed int
}

// reportTTL is how long a host's count of online requests is used without a newer one.
const reportTTL = 3 * time.Second

// Manager computes the number of batch slots of one backend server.
type Manager struct {
	policy     Policy
	online     map[ids.HostID]report
	lastOnline time.Time
	lastGrowth time.Time
	slots      int
}

type report struct {
	seq      uint64
	running  int
	received time.Time
}

// NewManager returns a manager that starts with one slot.
func NewManager(p Policy) *Manager {
	return &Manager{policy: p, online: map[ids.HostID]report{}, slots: 1}
}

// ReportOnline records how many online requests a host runs on the server. Reports may come out of order; the one
// with the highest seq is the newest.
func (m *Manager) ReportOnline(now time.Time, h ids.HostID, seq uint64, running int) {
	if old, known := m.online[h]; known && seq <= old.seq {
		return
	}
	m.online[h] = report{seq, running, now}
	if running > 0 {
		m.lastOnline = now
	}
}

// Online returns how many online requests are known to run on the server.
func (m *Manager) Online(now time.Time) (n int) {
	for h, o := range m.online {
		if now.Sub(o.received) > reportTTL {
			delete(m.online, h)
			continue
		}
		n += o.running
	}
	return n
}

// Slots returns how many batch items may run now.
func (m *Manager) Slots(now time.Time) int {
	if m.policy.Fixed > 0 {
		return m.policy.Fixed
	}
	if m.Online(now) > 0 {
		m.lastOnline = now
		m.slots = min(m.slots, m.policy.Shared)
		m.lastGrowth = now
		return m.slots
	}
	if now.Sub(m.lastOnline) < m.policy.QuietPeriod {
		return min(m.slots, m.policy.Shared)
	}
	if now.Sub(m.lastGrowth) >= m.policy.DoublingTime {
		m.slots = min(m.policy.Max, max(1, 2*m.slots))
		m.lastGrowth = now
	}
	return m.slots
}
