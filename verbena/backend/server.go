// Package backend describes the entry hosts and backend servers in the platform's host list.
package backend

import "verbenaledge.example/verbena/ids"

// State is the lifecycle state of a listed host.
type State string

// The states of a listed host.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role is whether a listed host is an entry host or a backend server.
type Role string

// The roles of a listed host.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// Server is one entry of the platform's host list.
type Server struct {
	ID      ids.BackendID   `json:"id" cbor:"1,keyasint"`
	Role    Role            `json:"role" cbor:"2,keyasint"`
	Service ids.ServiceName `json:"service,omitempty" cbor:"3,keyasint,omitempty"`
	Zone    ids.ZoneID      `json:"zone" cbor:"4,keyasint"`
	// Address is the server's IP:port; for an entry host, that of its peer listener.
	Address string `json:"address" cbor:"5,keyasint"`
	// Admin is the IP:port of an entry host's operator listener.
	Admin string `json:"admin,omitempty" cbor:"6,keyasint,omitempty"`
	State State  `json:"state" cbor:"7,keyasint"`
}
