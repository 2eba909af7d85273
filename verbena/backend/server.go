// Package backend describes the backend servers that the platform lists.
package backend

import "verbenaledge.example/verbena/ids"

// State is where a listed host stands in its life.
type State string

// The states of a listed host.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role tells entry hosts from backend servers.
type Role string

// The roles of a listed host.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// Server is one line of the platform's host list.
type Server struct {
	ID      ids.BackendID   `json:"id" cbor:"1,keyasint"`
	Role    Role            `json:"role" cbor:"2,keyasint"`
	Service ids.ServiceName `json:"service,omitempty" cbor:"3,keyasint,omitempty"`
	Zone    ids.ZoneID      `json:"zone" cbor:"4,keyasint"`
	// Address is IP:port; for an entry host, that of its peer listener.
	Address string `json:"address" cbor:"5,keyasint"`
	// Admin is IP:port of an entry host's operator listener.
	Admin string `json:"admin,omitempty" cbor:"6,keyasint,omitempty"`
	State State  `json:"state" cbor:"7,keyasint"`
}
