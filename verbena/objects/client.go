// Package objects defines the interface to a store of objects with revisions and watches.
package objects

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Kind names a set of objects in the store.
type Kind string

// Revision counts the changes of the store. 0 is no revision.
type Revision uint64

// Object is a stored object.
type Object struct {
	Name     string
	Revision Revision
	Spec     json.RawMessage
	Status   json.RawMessage
}

// Listing holds the objects of a kind at a revision of the store.
type Listing struct {
	Revision Revision
	Objects  []Object
}

// Event is a change of one object.
type Event struct {
	Object  Object
	Removed bool
}

// Changes holds the events of a kind up to a revision of the store.
type Changes struct {
	Revision Revision
	Events   []Event
}

// Errors that a Client returns.
var (
	ErrNotFound  = errors.New("object not found")
	ErrConflict  = errors.New("object exists already or has changed; read it before writing again")
	ErrCompacted = errors.New("history is gone; list again")
	// ErrTooLarge means that the call was not executed because the object would exceed the store's size limit.
	ErrTooLarge = errors.New("object exceeds the store's size limit; write less in one object")
	// ErrRefused means that the call was not executed.
	ErrRefused = errors.New("store refused the call; try again later")
	// ErrUnknown means that the call may have been executed or may be executed later.
	ErrUnknown = errors.New("no answer from the store; read before writing again")
)

// Client calls the store. Writes that fail with ErrUnknown may still take effect later.
type Client interface {
	// List returns all objects of a kind. A stale listing may be seconds old and is cheap.
	List(ctx context.Context, kind Kind, stale bool) (Listing, error)
	// Get returns one object.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// Create writes an object that must not exist; with ErrConflict it returns the existing object, if the store sent it.
	Create(ctx context.Context, kind Kind, name string, spec any) (Object, error)
	// Replace writes the spec of an object; revision 0 accepts any.
	Replace(ctx context.Context, kind Kind, name string, at Revision, spec any) (Object, error)
	// SetStatus writes the status of an object; revision 0 accepts any.
	SetStatus(ctx context.Context, kind Kind, name string, at Revision, status any) (Object, error)
	// Delete removes an object; revision 0 accepts any.
	Delete(ctx context.Context, kind Kind, name string, at Revision) error
	// Watch waits for changes after a revision. It returns no error if none comes within the wait.
	Watch(ctx context.Context, kind Kind, after Revision, wait time.Duration) (Changes, error)
}
