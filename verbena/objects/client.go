// Package objects is the interface to the store of objects with revisions and watches.
package objects

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Kind names a set of objects.
type Kind string

// Revision counts the changes of the store; 0 means none.
type Revision uint64

// Object is a stored object.
type Object struct {
	Name     string
	Revision Revision
	Spec     json.RawMessage
	Status   json.RawMessage
}

// Listing is the objects of a kind at a revision of the store.
type Listing struct {
	At      Revision
	Objects []Object
}

// Event is a change of one object.
type Event struct {
	Object  Object
	Removed bool
}

// Changes are the events of a kind up to a revision.
type Changes struct {
	At     Revision
	Events []Event
}

// Errors that callers test for.
var (
	ErrNotFound  = errors.New("object not found")
	ErrConflict  = errors.New("object exists already or has changed; read it before writing again")
	ErrCompacted = errors.New("history is gone; list again")
	// ErrRefused means that the call has not been executed.
	ErrRefused = errors.New("store refused the call; try again later")
	// ErrUnknown means that the call may have been executed or may be later.
	ErrUnknown = errors.New("no answer from the store; read before writing again")
)

// Client speaks to the store. Writes that fail with ErrUnknown may take effect later.
type Client interface {
	// List returns all objects of a kind. A stale listing may be seconds old and is cheap.
	List(ctx context.Context, kind Kind, stale bool) (Listing, error)
	// Get returns one object.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// Create writes an object that must not exist; with ErrConflict it returns the object that does, if told.
	Create(ctx context.Context, kind Kind, name string, spec any) (Object, error)
	// Replace writes the spec of an object; revision 0 accepts any.
	Replace(ctx context.Context, kind Kind, name string, at Revision, spec any) (Object, error)
	// SetStatus writes the status of an object; revision 0 accepts any.
	SetStatus(ctx context.Context, kind Kind, name string, at Revision, status any) (Object, error)
	// Delete removes an object; revision 0 accepts any.
	Delete(ctx context.Context, kind Kind, name string, at Revision) error
	// Watch waits for changes after a revision; no event within the wait is no error.
	Watch(ctx context.Context, kind Kind, after Revision, wait time.Duration) (Changes, error)
}
