// Package platform is the daemon's view of the platform's store: values with versions under names,
// conditional updates, watches and the host list. It speaks through the one client for objects.
package platform

import (
	"context"
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
)

// MaxValueBytes is the most that a value may hold: the store takes 1 MB, and a value grows by a third in JSON.
const MaxValueBytes = 700_000

// Store is what the daemons and tools need of the platform.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// List returns the objects under a prefix, ordered by name; without values unless asked.
	List(ctx context.Context, prefix string, values bool) (Listing, error)
	// Create writes an object that must not exist, or returns ErrConflict.
	Create(ctx context.Context, name string, value []byte) (ids.Version, error)
	// Update writes an object that must have the given version, or returns ErrConflict.
	Update(ctx context.Context, name string, expected ids.Version, value []byte) (ids.Version, error)
	// Delete removes an object that must have the given version, or returns ErrConflict.
	Delete(ctx context.Context, name string, expected ids.Version) error
	// Watch waits for changes under a prefix that are newer than after; none is no error.
	Watch(ctx context.Context, prefix string, after ids.Version, wait time.Duration) (Listing, error)
	// Hosts returns the host list; unchanged since after gives a list with no servers and the same version.
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

// HostList is the platform's lagging view of hosts.
type HostList struct {
	Version ids.Version      `json:"version"`
	Servers []backend.Server `json:"servers"`
}
