package gossip

import "verbenaledge.example/verbena/ids"

// Name identifies a document that every host holds.
type Name string

// The names of the documents.
const (
	Rules  Name = "rules"
	Keys   Name = "keys"
	Shards Name = "shards"
	Hosts  Name = "hosts"
)

// Names lists every document.
var Names = []Name{Rules, Keys, Shards, Hosts}

// Document holds a document's value and the platform's version of it.
type Document struct {
	Name    Name        `cbor:"1,keyasint"`
	Version ids.Version `cbor:"2,keyasint"`
	Value   []byte      `cbor:"3,keyasint"`
	// Compressed is true in messages whose value is compressed.
	Compressed bool `cbor:"4,keyasint,omitempty"`
}

// Digest maps each document that a host holds to its version.
type Digest map[Name]ids.Version
