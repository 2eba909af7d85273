package origin

import (
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

// Origin is the service and the software version at which a stream began.
type Origin struct {
	Service ids.ServiceName           `cbor:"1,keyasint"`
	Version directory.SoftwareVersion `cbor:"2,keyasint,omitempty"`
}

// Record says where a stream began.
type Record struct {
	Stream StreamID `cbor:"1,keyasint"`
	Origin Origin   `cbor:"2,keyasint"`
	// Server and Incarnation are of the server that brought the first event.
	Server      ids.BackendID         `cbor:"3,keyasint,omitempty"`
	Incarnation directory.Incarnation `cbor:"4,keyasint,omitempty"`
	// Age is the time since the stream was last known to run.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// Unconfirmed is set if the list of servers was outdated when the stream began, so that the server may have been another
	// start than Incarnation, of another version.
	Unconfirmed bool `cbor:"6,keyasint,omitempty"`
	// Settled is set once a current list has shown Incarnation so long after the stream began that no later start of the
	// server can have begun it.
	Settled bool `cbor:"7,keyasint,omitempty"`
}
