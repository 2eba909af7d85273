package callerguard

// Reason says why a connection was refused or closed.
type Reason string

// The reasons.
const (
	// HeadTooLarge means that a head exceeded its limit.
	HeadTooLarge Reason = "head_too_large"
	// HeadTooSlow means that a head wasn't complete in time.
	HeadTooSlow Reason = "head_too_slow"
	// IdleTooLong means that no request began in time.
	IdleTooLong Reason = "idle_too_long"
	// NoMemory means that the memory for heads was short.
	NoMemory Reason = "no_memory"
	// NoConnections means that the number of connections was at its limit.
	NoConnections Reason = "no_connections"
	// Unframed means that the end of a request's body wasn't found.
	Unframed Reason = "unframed"
)
