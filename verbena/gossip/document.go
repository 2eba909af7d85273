package gossip

import "verbenaledge.example/verbena/ids"

// Name names a document that every host holds.
type Name string

// The documents.
const (
	Rules  Name = "rules"
	Keys   Name = "keys"
	Shards Name = "shards"
	Hosts  Name = "hosts"
)

// Names lists every document.
var Names = []Name{Rules, Keys, Shards, Hosts}

// Document is a value at the platform's version.
type Document struct {
	Name    Name        `cbor:"1,keyasint"`
	Version ids.Version `cbor:"2,keyasint"`
	Value   []byte      `cbor:"3,keyasint"`
	// Packed is true on the wire when the value is compressed.
	Compressed bool `cbor:"4,keyasint,omitempty"`
}

// Digest is the version of each document that a host holds.
type Digest map[Name]ids.Version
