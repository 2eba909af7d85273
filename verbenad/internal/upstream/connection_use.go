package upstream

// ConnectionUse is how the connection that brought a response has been used.
type ConnectionUse struct {
	// Number is unique among the connections to servers of this process.
	Number uint64
	// Requests counts the requests that the connection has carried, this one included.
	Requests int
	// Repeated is set if the connection had carried the same request before.
	Repeated bool
}
