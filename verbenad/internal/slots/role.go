package slots

// Role is what a host is to the hosts that ask it for slots.
type DispatchRole int

// The roles.
const (
	// NoRole: another host is to be asked.
	RoleNone DispatchRole = iota
	// StandsBy: it takes hosts that can't reach the dispatcher.
	RoleStandby
	// Dispatches: it takes all hosts.
	RoleDispatcher
)

// takes tells whether a host that asks as it does is taken.
func (r DispatchRole) takes(standby bool) bool {
	return r == RoleDispatcher || standby && r == RoleStandby
}

// String names the role for logs.
func (r DispatchRole) String() string {
	switch r {
	case RoleNone:
		return "none"
	case RoleStandby:
		return "standby"
	case RoleDispatcher:
		return "dispatcher"
	}
	return "unknown"
}
