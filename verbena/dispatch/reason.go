package dispatch

// Reason is why a slot request was refused.
type Reason int

// The reasons.
const (
	// OverRate: the workspace exceeds its rate.
	OverRate Reason = iota + 1
	// Overload: a start in time is unlikely.
	Overload
	// NoServer: no server of the service can take requests.
	NoServer
	// TooLate: the request waited so long that it can't be answered before its deadline.
	TooLate
	// Crashing: the request, or others that are alike, was running in several crashes, one of them on trial.
	Crashing
	// CrashingPart: a part of the request's prompt has crashed several servers.
	CrashingPart
	// UnknownOrigin: servers have several software versions, and at which the stream began isn't known.
	UnknownOrigin
	// NoServerOfVersion: no server of the version at which the stream began can take requests.
	NoServerOfVersion
	// OtherService: the stream began at a service to which its route doesn't lead any more.
	OtherService
	// VersionsUncertain: the list of servers is outdated, so that they may run as other versions than their entries say.
	VersionsUncertain
	// LimitedServers: servers name limits, so that a start in time is unlikely.
	LimitedServers
	// ColdServers: servers are cold, so that a start in time is unlikely.
	ColdServers
	// TooLarge: no server of the service has the memory that the request needs.
	TooLarge
)

// IsTemporary reports whether the same request may be granted a slot a little later.
func (r Reason) IsTemporary() bool {
	switch r {
	case Overload, NoServer, LimitedServers, ColdServers, VersionsUncertain:
		return true
	case OverRate, TooLate, Crashing, CrashingPart, UnknownOrigin, NoServerOfVersion, OtherService, TooLarge:
	}
	return false
}

// String returns the reason's name in logs.
func (r Reason) String() string {
	switch r {
	case OverRate:
		return "over_rate"
	case Overload:
		return "overload"
	case NoServer:
		return "no_server"
	case TooLate:
		return "too_late"
	case Crashing:
		return "crashing"
	case CrashingPart:
		return "crashing_part"
	case UnknownOrigin:
		return "stream_version_unknown"
	case NoServerOfVersion:
		return "no_server_of_version"
	case OtherService:
		return "stream_of_other_service"
	case VersionsUncertain:
		return "server_versions_uncertain"
	case LimitedServers:
		return "server_limits"
	case ColdServers:
		return "cold_servers"
	case TooLarge:
		return "too_large"
	}
	return "unknown"
}
