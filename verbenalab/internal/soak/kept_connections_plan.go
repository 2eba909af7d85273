package soak

// KeptConnectionsPlan says how connections are used around each stop of a host.
type KeptConnectionsPlan struct {
	// Connections are open at each stop. Each has carried one request by then.
	Connections, Stops int
	// Used is when each connection is used once more.
	Used TimeWindow
}
