// Package platform gives the daemon access to the platform's store: named values with versions,
// conditional updates, watches and the host list. It uses an objects.Client for all calls.
package platform

import (
	"context"
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
)

// MaxValueBytes bounds a value: the store accepts 1 MB, and base64 in JSON lengthens a value by a third.
const MaxValueBytes = 700_000

// Store is the part of the platform's store that the daemon and the tools use.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// List returns the objects under a prefix, ordered by name, with their values only if values is set.
	List(ctx context.Context, prefix string, values bool) (Listing, error)
	// Create writes an object that must not exist, or returns ErrConflict.
	Create(ctx context.Context, name string, value []byte) (ids.Version, error)
	// Update writes an object that must have the given version, or returns ErrConflict.
	Update(ctx context.Context, name string, expected ids.Version, value []byte) (ids.Version, error)
	// Delete removes an object that must have the given version, or returns ErrConflict.
	Delete(ctx context.Context, name string, expected ids.Version) error
	// Watch waits for changes under a prefix that are newer than after. Having none in time is no error.
	Watch(ctx context.Context, prefix string, after ids.Version, wait time.Duration) (Listing, error)
	// Hosts returns the host list. If it hasn't changed since after, the result has that version and no servers.
	Hosts(ctx context.Context, after ids.Version) (HostList, error)
}

// Object is a stored value at a version.
type Object struct {
	Name    string      `json:"name"`
	Version ids.Version `json:"version"`
	Value   []byte      `json:"value,omitempty"`
	Deleted bool        `json:"deleted,omitempty"`
}

// Listing is a set of objects as of a revision of the whole store.
type Listing struct {
	Revision ids.Version `json:"revision"`
	Objects  []Object    `json:"objects"`
}

// HostList is the platform's list of hosts, which lags behind their state.
type HostList struct {
	Version ids.Version      `json:"version"`
	Servers []backend.Server `json:"servers"`
}
