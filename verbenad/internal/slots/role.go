package slots

// DispatchRole is a host's role towards hosts that request slots from it.
type DispatchRole int

// The roles.
const (
	// RoleNone accepts no hosts; they must connect elsewhere.
	RoleNone DispatchRole = iota
	// RoleStandby accepts hosts that can't reach the dispatcher.
	RoleStandby
	// RoleDispatcher accepts all hosts.
	RoleDispatcher
)

// accepts reports whether a host is accepted; toStandby is set if it connects to this host as the standby.
func (r DispatchRole) accepts(toStandby bool) bool {
	return r == RoleDispatcher || toStandby && r == RoleStandby
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
