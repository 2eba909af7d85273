// Package directory describes the backend servers that are registered in the store.
package directory

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Server is a backend server.
type Server struct {
	ID      ids.BackendID   `cbor:"1,keyasint"`
	Service ids.ServiceName `cbor:"2,keyasint"`
	// Address has the form IP:port.
	Address string     `cbor:"3,keyasint"`
	Zone    ids.ZoneID `cbor:"4,keyasint"`
	// Slots is how many requests the server can run at a time.
	Slots    int  `cbor:"5,keyasint"`
	Draining bool `cbor:"6,keyasint,omitempty"`
	// WarmupRemaining is how much longer the server will be slow after its start.
	WarmupRemaining time.Duration `cbor:"7,keyasint,omitempty"`
	// Incarnation identifies the server's start that registered this entry.
	Incarnation Incarnation `cbor:"8,keyasint,omitempty"`
	// SoftwareVersion is the version of the server's software; empty means unknown.
	SoftwareVersion SoftwareVersion `cbor:"9,keyasint,omitempty"`
	// Evacuated is set while the operator asks that nothing new is sent to the server's availability zone.
	Evacuated bool `cbor:"10,keyasint,omitempty"`
	// Revision is that of the entry. Hosts don't send it to each other.
	Revision uint64 `cbor:"-"`
}

// SoftwareVersion names a version of a server's software.
type SoftwareVersion string

// List is the set of servers at a revision of the store.
type List struct {
	Revision uint64
	Servers  map[ids.BackendID]Server
}
