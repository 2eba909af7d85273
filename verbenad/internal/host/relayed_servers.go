package host

import (
	"sync/atomic"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/upstream"
)

// relayedServers connects to listed servers for other hosts.
type relayedServers struct {
	*upstream.Client
	listed *atomic.Pointer[map[ids.BackendID]directory.Server]
}

// Listed returns a server of the list to which new requests may be sent.
func (r *relayedServers) Listed(id ids.BackendID) (s directory.Server, ok bool) {
	list := r.listed.Load()
	if list == nil {
		return s, false
	}
	s, ok = (*list)[id]
	return s, ok && !s.Evacuated
}
