package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/objects"
)

const (
	// saveInterval is the minimum time between two writes of a stored object.
	saveInterval = time.Second
	// readRetryPause is the pause after a failed read of a stored object.
	readRetryPause = 300 * time.Millisecond
)

// errUnreadable means that what is stored can't be decoded. Another read would find the same.
var errUnreadable = errors.New("cannot decode the stored object")

// storedObject is an object of the store that this host reads once, at its start, and writes when its value changes.
type storedObject[T any] struct {
	store objects.Client
	kind  objects.Kind
	name  string
	// revision is the newest one that this host knows, 0 if it knows of no object. Writes are conditional: one that gets no
	// answer may be executed later, and must not replace a newer one then.
	revision objects.Revision
	// pending holds the value to write, the newest one only.
	pending chan T
}

func newStoredObject[T any](store objects.Client, kind objects.Kind, name string) *storedObject[T] {
	return &storedObject[T]{store: store, kind: kind, name: name, pending: make(chan T, 1)}
}

// save queues a value for the next write.
func (o *storedObject[T]) save(value T) {
	for {
		select {
		case o.pending <- value:
			return
		default:
		}
		select {
		case <-o.pending: // outdated
		default:
		}
	}
}

// run calls load until it succeeds, and then write with each value that is saved, until the context ends. A value whose
// write fails is written later, unless a newer one replaces it.
func (o *storedObject[T]) run(ctx context.Context, load func(context.Context) bool, write func(context.Context, T) bool) {
	for ctx.Err() == nil && !load(ctx) {
		clock.Sleep(ctx, readRetryPause)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case value := <-o.pending:
			if !write(ctx, value) {
				select {
				case o.pending <- value:
				default: // a newer one waits
				}
			}
		}
		clock.Sleep(ctx, saveInterval)
	}
}

// read returns the stored value.
func (o *storedObject[T]) read(ctx context.Context) (value T, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read %s/%s: %w", o.kind, o.name, err)
		}
	}()
	stored, err := o.store.Get(ctx, o.kind, o.name)
	if errors.Is(err, objects.ErrNotFound) {
		o.revision = 0
	}
	if err != nil {
		return value, err
	}
	o.revision = stored.Revision
	if err := json.Unmarshal(stored.Spec, &value); err != nil {
		return value, errors.Join(errUnreadable, err)
	}
	return value, nil
}

// replace replaces the stored value.
func (o *storedObject[T]) replace(ctx context.Context, value T) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write %s/%s: %w", o.kind, o.name, err)
		}
	}()
	err = o.writeAtRevision(ctx, value)
	if !errors.Is(err, objects.ErrNotFound) && !errors.Is(err, objects.ErrConflict) {
		return err
	}
	// Another host has written, or an earlier write of this host took effect without an answer.
	if _, err := o.read(ctx); err != nil && !errors.Is(err, errUnreadable) && !errors.Is(err, objects.ErrNotFound) {
		return err
	}
	return o.writeAtRevision(ctx, value)
}

func (o *storedObject[T]) writeAtRevision(ctx context.Context, value T) (err error) {
	var written objects.Object
	if o.revision == 0 {
		written, err = o.store.Create(ctx, o.kind, o.name, value)
	} else {
		written, err = o.store.Replace(ctx, o.kind, o.name, o.revision, value)
	}
	if err == nil {
		o.revision = written.Revision
	}
	return err
}
