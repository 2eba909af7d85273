// Package platform carries out what the decisions ask of the platform.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/lease"
	api "verbenaledge.example/verbena/platform"
)

const (
	configPrefix = "config/"
	watchWait    = time.Second
	writeLimit   = 3 * time.Second
)

// Poster takes events for the decisions.
type Poster interface {
	Post(e core.Event)
}

// Holder is what a lease object says of its host.
type LeaseHolder struct {
	Host    ids.HostID `json:"host"`
	Zone    ids.ZoneID `json:"zone"`
	Address string     `json:"address"`
	// Guards may break the lease; others only when all guards' own are gone.
	Guards []ids.HostID `json:"guards,omitempty"`
}

// Executor speaks to the platform for the control goroutine.
type Executor struct {
	store api.Store
	clock clock.Clock
	post  Poster
	self  LeaseHolder
}

// NewExecutor returns an executor that reports to the poster.
func NewExecutor(store api.Store, c clock.Clock, post Poster, self LeaseHolder) *Executor {
	return &Executor{store: store, clock: c, post: post, self: self}
}

// ObjectName returns where a shared document stands.
func ObjectName(n gossip.Name) string {
	return configPrefix + string(n)
}

// ReadConfig reads or watches the shared documents.
func (x *Executor) ReadConfig(ctx context.Context, cmd core.ReadConfig) {
	asked := x.clock.Now()
	var (
		l   api.Listing
		err error
	)
	if cmd.Wait {
		l, err = x.store.Watch(ctx, configPrefix, cmd.After, watchWait)
	} else {
		l, err = x.store.List(ctx, configPrefix, true)
	}
	if err != nil {
		x.post.Post(core.PlatformFailed{Command: cmd})
		return
	}
	if cmd.Wait && len(l.Objects) == 0 {
		// The platform has waited and seen no change since.
		asked = asked.Add(watchWait)
	}
	e := core.ConfigRead{RequestedAt: asked, Revision: l.Revision}
	for _, o := range l.Objects {
		if !o.Deleted {
			e.Documents = append(e.Documents, gossip.Document{
				Name: gossip.Name(o.Name[len(configPrefix):]), Version: o.Version, Value: o.Value,
			})
		}
	}
	x.post.Post(e)
}

// ReadHosts reads the host list.
func (x *Executor) ReadHosts(ctx context.Context, cmd core.ReadHosts) {
	asked := x.clock.Now()
	l, err := x.store.Hosts(ctx, cmd.After)
	if err != nil {
		x.post.Post(core.PlatformFailed{Command: cmd})
		return
	}
	x.post.Post(core.HostsRead{RequestedAt: asked, List: l})
}

// WriteLease creates, renews or removes the host's own lease.
func (x *Executor) WriteLease(ctx context.Context, cmd lease.Command) {
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	switch cmd := cmd.(type) {
	case lease.Create:
		name := lease.ID{Host: x.self.Host, Term: cmd.Term}.ObjectName()
		v, err := x.store.Create(ctx, name, x.value(cmd.Guards))
		x.leaseDone(lease.Written{Term: cmd.Term, Version: v, Sent: cmd.Sent, Guards: cmd.Guards}, err)
	case lease.Renew:
		v, err := x.renew(ctx, cmd)
		x.leaseDone(lease.Written{Term: cmd.Term, Version: v, Sent: cmd.Sent, Guards: cmd.Guards}, err)
	case lease.Remove:
		name := lease.ID{Host: x.self.Host, Term: cmd.Term}.ObjectName()
		x.remove(ctx, name, cmd.Expected)
	}
}

// renew writes the lease again. Only its holder ever updates it, so that another
// version is that of a renewal whose answer was lost.
func (x *Executor) renew(ctx context.Context, cmd lease.Renew) (v ids.Version, err error) {
	name := lease.ID{Host: x.self.Host, Term: cmd.Term}.ObjectName()
	v, err = x.store.Update(ctx, name, cmd.Expected, x.value(cmd.Guards))
	if !errors.Is(err, api.ErrConflict) {
		return v, err
	}
	o, err := x.store.Get(ctx, name)
	if err != nil {
		return 0, err
	}
	return x.store.Update(ctx, name, o.Version, x.value(cmd.Guards))
}

func (x *Executor) leaseDone(w lease.Written, err error) {
	if err == nil {
		x.post.Post(core.LeaseWritten{Written: w})
		return
	}
	lost := errors.Is(err, api.ErrNotFound)
	x.post.Post(core.LeaseWriteFailed{Failed: lease.WriteFailed{Term: w.Term, Lost: lost}})
}

func (x *Executor) remove(ctx context.Context, name string, expected ids.Version) {
	err := x.store.Delete(ctx, name, expected)
	if !errors.Is(err, api.ErrConflict) {
		return
	}
	if o, err := x.store.Get(ctx, name); err == nil {
		_ = x.store.Delete(ctx, name, o.Version) // it ends by itself otherwise
	}
}

// ListLeases lists the leases of all hosts.
func (x *Executor) ListLeases(ctx context.Context, cmd core.ListLeases) {
	asked := x.clock.Now()
	l, err := x.store.List(ctx, lease.Prefix, false)
	if err != nil {
		x.post.Post(core.PlatformFailed{Command: cmd})
		return
	}
	e := core.LeasesListed{RequestedAt: asked, AnsweredAt: x.clock.Now(), Revision: l.Revision}
	for _, o := range l.Objects {
		if id, ok := lease.ParseObjectName(o.Name); ok {
			e.Leases = append(e.Leases, lease.Entry{ID: id, Version: o.Version})
		}
	}
	x.post.Post(e)
}

// ReadWards reads the leases of hosts that this one guards.
func (x *Executor) ReadGuardedLeases(ctx context.Context, cmd core.ReadGuardedLeases) {
	e := core.GuardedLeasesRead{RequestedAt: x.clock.Now()}
	for _, id := range cmd.Leases {
		o, err := x.store.Get(ctx, id.ObjectName())
		if errors.Is(err, api.ErrNotFound) {
			continue
		}
		if err != nil {
			x.post.Post(core.PlatformFailed{Command: cmd})
			return
		}
		e.Leases = append(e.Leases, lease.Entry{ID: id, Version: o.Version})
	}
	e.AnsweredAt = x.clock.Now()
	x.post.Post(e)
}

// BreakLease deletes another host's lease at the version seen.
func (x *Executor) BreakLease(ctx context.Context, cmd core.BreakLease) {
	err := x.store.Delete(ctx, cmd.Lease.ID.ObjectName(), cmd.Lease.Version)
	settled := err == nil || errors.Is(err, api.ErrConflict) || errors.Is(err, api.ErrNotFound)
	x.post.Post(core.LeaseBreakEnded{Lease: cmd.Lease, OK: err == nil, OutcomeKnown: settled})
}

// ReadLease reads the guards of another host's lease.
func (x *Executor) ReadLeaseGuards(ctx context.Context, cmd core.ReadLeaseGuards) {
	o, err := x.store.Get(ctx, cmd.Lease.ID.ObjectName())
	if err != nil || o.Version != cmd.Lease.Version {
		return // it has been renewed or is gone
	}
	var h LeaseHolder
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return // a newer form, which its own guards can read
	}
	x.post.Post(core.LeaseGuardsRead{Lease: cmd.Lease, Guards: h.Guards})
}

// WriteShards writes the shard map.
func (x *Executor) WriteShardMap(ctx context.Context, cmd core.WriteShardMap) {
	var (
		v   ids.Version
		err error
	)
	if cmd.Expected == 0 {
		v, err = x.store.Create(ctx, ObjectName(gossip.Shards), cmd.Value)
	} else {
		v, err = x.store.Update(ctx, ObjectName(gossip.Shards), cmd.Expected, cmd.Value)
	}
	x.post.Post(core.ShardMapWritten{Version: v, Value: cmd.Value, OK: err == nil})
}

func (x *Executor) value(guards []ids.HostID) []byte {
	h := x.self
	h.Guards = guards
	data, err := json.Marshal(h)
	if err != nil {
		panic(fmt.Sprintf("marshal lease: %v", err)) // it holds only strings
	}
	return data
}
