// Package directory describes the backend servers that registered themselves.
package directory

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Server is one backend server.
type Server struct {
	ID      ids.BackendID   `cbor:"1,keyasint"`
	Service ids.ServiceName `cbor:"2,keyasint"`
	// Address is IP:port.
	Address  string     `cbor:"3,keyasint"`
	Zone     ids.ZoneID `cbor:"4,keyasint"`
	Slots    int        `cbor:"5,keyasint"`
	Draining bool       `cbor:"6,keyasint,omitempty"`
	// ColdFor is how much longer the server stays slow after its start.
	WarmupRemaining time.Duration `cbor:"7,keyasint,omitempty"`
	// Incarnation is the start of the server that registered.
	Incarnation Incarnation `cbor:"8,keyasint,omitempty"`
}

// List is the set of servers at a revision of the store.
type List struct {
	Revision uint64
	Servers  map[ids.BackendID]Server
}
