// Package memory provides a platform.Store over an in-memory object store, for tests.
package memory

import (
	"context"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbena/platform"
)

// Store is a platform.Store over an in-memory object store.
type Store struct {
	*platform.ObjectStore
	Objects *memory.Store
}

// New returns an empty store.
func New() *Store {
	m := memory.New()
	return &Store{ObjectStore: platform.NewStore(m), Objects: m}
}

// SetDown makes all calls fail, or succeed again.
func (s *Store) SetDown(down bool) {
	if !down {
		s.Objects.SetFault(nil)
		return
	}
	s.Objects.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
}

// PutHost writes a host's entry in the host list.
func PutHost(ctx context.Context, c objects.Client, b backend.Server) (err error) {
	_, err = c.Create(ctx, platform.KindHosts, string(b.ID), b)
	if err != nil {
		_, err = c.Replace(ctx, platform.KindHosts, string(b.ID), 0, b)
	}
	return err
}

// Put writes an object that must have the expected version; version 0 means that it must not exist.
func (s *Store) Put(name string, expected ids.Version, value []byte) (ids.Version, error) {
	if expected == 0 {
		return s.Create(context.Background(), name, value)
	}
	return s.Update(context.Background(), name, expected, value)
}
